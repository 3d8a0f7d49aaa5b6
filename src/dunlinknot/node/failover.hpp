// Starts the leader's work when this node is elected and ends it when the term is over.
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

// Called by the elector, on the event loop. Every coroutine that is spawned for a term gets its
// number and ends by itself when LeaderContext::term has moved on.
class Failover {
 public:
  // The parts whose coroutines run for a term. `roles` is null when the singleton roles are off.
  struct Parts {
    cluster::AllocationStore& allocation_store;
    workers::HeartbeatHandler& heartbeats;
    workers::StopCaller& stop_caller;
    autoscaler::Autoscaler& autoscaler;
    roles::SingletonRoles* roles;
    LeaderLoop& leader_loop;
    CatalogKeeper& catalog_keeper;
  };
  // The referenced objects outlive this one.
  Failover(cluster::LeaderContext& context, Parts parts) : context_(context), parts_(parts) {}

  // This node was elected: resets the cluster state and loads it from the key-value store. Workers
  // are answered once that is done.
  void begin_term(const leadership::Term& term);
  // The term is over: ends the coroutines and releases the singleton roles.
  void end_term();

 private:
  Task<void> take_over(uint64_t term);
  void log_taken_over(Nanos took);
  void start_parts(uint64_t term);

  cluster::LeaderContext& context_;
  Parts parts_;
};

}  // namespace dunlinknot::node
