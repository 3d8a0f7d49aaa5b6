// The leader's periodic work: scheduling cycles, expiry of allocations, and resignation when the
// workers cannot reach this node.
#pragma once
#include <cstdint>

#include "dunlinknot/autoscaler/autoscaler.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"
#include "dunlinknot/workers/lease_renewal_policy.hpp"

namespace dunlinknot::node {

// One instance for each process. Runs on the event loop, and only while this node leads.
class LeaderLoop {
 public:
  // The referenced objects must outlive the loop.
  LeaderLoop(cluster::LeaderContext& context, leadership::Elector& elector,
             const leadership::Peers& peers, const workers::HeartbeatHandler& heartbeats,
             const workers::LeaseRenewalPolicy& renewal_policy, autoscaler::Autoscaler& autoscaler);

  // Runs until the term ends. Spawned once in each term, after the cluster state is loaded.
  Task<void> run(uint64_t term);

  // Number of tasks preempted since this process started.
  uint64_t preemptions() const { return preemptions_; }

 private:
  void tick(Instant now);
  bool partitioned_from_workers(Instant since, Instant now) const;
  void run_scheduling_cycle(Instant now);
  Nanos pause_after(Nanos cycle_duration) const;
  void log_waiting(const scheduler::Plan& plan, Instant now);

  cluster::LeaderContext& context_;
  leadership::Elector& elector_;
  const leadership::Peers& peers_;
  const workers::HeartbeatHandler& heartbeats_;
  const workers::LeaseRenewalPolicy& renewal_policy_;
  autoscaler::Autoscaler& autoscaler_;
  uint64_t preemptions_ = 0;
  Instant next_waiting_log_{};
};

}  // namespace dunlinknot::node
