// Failover: starts the leader's work when this node is elected, and ends it when the term is over.
#pragma once
#include <cstdint>

#include "dunlinknot/autoscaler/autoscaler.hpp"
#include "dunlinknot/cluster/allocation_store.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/node/catalog_keeper.hpp"
#include "dunlinknot/node/leader_loop.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"
#include "dunlinknot/workers/stop_caller.hpp"

namespace dunlinknot::node {

// Called on the event loop when the elector reports a change. Every coroutine that is spawned for a
// term receives the term's number and returns once LeaderContext::term has changed.
class Failover {
 public:
  // The components that work during a term. `roles` is null when the singleton roles are disabled.
  struct Components {
    cluster::AllocationStore& allocation_store;
    workers::HeartbeatHandler& heartbeats;
    workers::StopCaller& stop_caller;
    autoscaler::Autoscaler& autoscaler;
    roles::SingletonRoles* roles;
    LeaderLoop& leader_loop;
    CatalogKeeper& catalog_keeper;
  };
  // The referenced objects must outlive this one.
  Failover(cluster::LeaderContext& context, Components components)
      : context_(context), components_(components) {}

  // This node was elected: resets the cluster state and loads it from the key-value store.
  // Heartbeats are answered with 503 until that is complete.
  void begin_term(const leadership::Term& term);
  // The term is over: ends its coroutines and releases the singleton roles.
  void end_term();

 private:
  Task<void> load_state(uint64_t term);
  void log_failover(Nanos duration);
  void spawn_term_coroutines(uint64_t term);

  cluster::LeaderContext& context_;
  Components components_;
};

}  // namespace dunlinknot::node
