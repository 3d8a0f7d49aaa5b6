// Loads the catalog of machine types and keeps a copy of it in the key-value store.
#pragma once
#include <cstdint>
#include <vector>

#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::node {

// Every node needs the catalog to reject jobs that can never run, even while the cloud is
// unavailable. Runs on the event loop.
class CatalogKeeper {
 public:
  // The referenced objects must outlive this one.
  CatalogKeeper(cluster::LeaderContext& context, const leadership::Elector& elector,
                kv::Client& store, cloud::Client& cloud, jobs::RequestHandler& jobs);

  // Reads the catalog from the key-value store or, failing that, from the cloud, retrying until one
  // of them answers. Passes it to the users' API and, if this node leads, to the cluster state.
  // Spawned once in each process.
  Task<void> load();
  // Writes the catalog to the key-value store unless it is stored already, retrying until the term
  // ends. Spawned once in each term.
  Task<void> store(uint64_t term);

  // Empty until load() has completed.
  const std::vector<MachineType>& machine_types() const { return machine_types_; }

 private:
  bool fits_in_store(const std::string& record) const;
  kv::Transaction transaction_for(std::string record) const;

  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  kv::Client& store_;
  cloud::Client& cloud_;
  jobs::RequestHandler& jobs_;
  std::vector<MachineType> machine_types_;
};

}  // namespace dunlinknot::node
