// Reads the cloud's list of launched machines and its catalog of machine types.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/scale_in.hpp"
#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"

namespace dunlinknot::autoscaler {

// Keeps the cluster state up to date with the cloud's list, and passes failed machines to ScaleIn.
// Runs on the controller's event loop.
class MachineInventory {
 public:
  // All referenced objects must outlive the inventory.
  MachineInventory(cluster::LeaderContext& context, cloud::Client& cloud, ScaleOut& scale_out,
                   ScaleIn& scale_in);

  // Reads the machine list, and at a longer interval the catalog, until the term ends. A failed
  // read is retried in the next pass.
  Task<void> watch(uint64_t term);

 private:
  // The changes that one list entry made to the cluster state.
  struct Applied {
    bool found = false;   // the machine was not in the cluster state before
    bool failed = false;  // the machine is listed as failed for the first time
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
