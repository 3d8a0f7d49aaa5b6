// Reads what the cloud says about machines: the list of all that are launched, and the catalogue of
// types.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/scale_in.hpp"
#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"

namespace dunlinknot::autoscaler {

// Keeps the cluster state up to date with the cloud's list, and passes failed machines to ScaleIn.
// On the controller's event loop.
class MachineInventory {
 public:
  // All must outlive the inventory.
  MachineInventory(cluster::LeaderContext& context, cloud::Client& cloud, ScaleOut& scale_out,
                   ScaleIn& scale_in);

  // Reads the list, and now and then the catalogue, as long as the term lasts. What cannot be read
  // is read again in the next pass.
  Task<void> watch(uint64_t term);

 private:
  // What one entry of the list changed.
  struct Applied {
    bool found = false;   // the machine was not known before
    bool failed = false;  // it is listed as failed for the first time
  };
  Task<size_t> read_list(uint64_t term);
  Task<void> read_catalog(uint64_t term);
  void apply(const std::vector<ListedMachine>& machines, Instant now);
  Applied apply(cluster::Cluster& cluster, const ListedMachine& listed, Instant now);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  ScaleOut& scale_out_;
  ScaleIn& scale_in_;
};

}  // namespace dunlinknot::autoscaler
