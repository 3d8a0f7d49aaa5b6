// Obtains the catalog of machine types and keeps a copy of it in the key-value store.
#pragma once
#include <cstdint>
#include <vector>

#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::node {

// Every node needs the machine types to tell a job that can run from one that never can, also while
// the cloud does not answer. Runs on the event loop.
class CatalogKeeper {
 public:
  // The referenced objects outlive the keeper.
  CatalogKeeper(cluster::LeaderContext& context, const leadership::Elector& elector,
                kv::Client& store, cloud::Client& cloud, jobs::RequestHandler& jobs);

  // Asks the store, then the cloud, until one of them answers, and hands the machine types to the
  // users' API and, when this node leads, to the cluster state. Once a process.
  Task<void> learn();
  // Writes the catalog to the store unless it is there already, until the term ends. Once a term.
  Task<void> store(uint64_t term);

  // Empty until learn() is done.
  const std::vector<MachineType>& machine_types() const { return machine_types_; }

 private:
  bool storable(const std::string& record) const;
  kv::Transaction transaction_for(std::string record) const;

  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  kv::Client& store_;
  cloud::Client& cloud_;
  jobs::RequestHandler& jobs_;
  std::vector<MachineType> machine_types_;
};

}  // namespace dunlinknot::node
