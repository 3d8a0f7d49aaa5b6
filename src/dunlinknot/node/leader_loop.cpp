// Each iteration of the leader loop: expiry of allocations if due, scheduling cycle, pause.
#include "dunlinknot/node/leader_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/scheduler/apply.hpp"

namespace dunlinknot::node {

using cluster::Effects;
using cluster::Job;
using cluster::LeaderState;

namespace {

constexpr auto kTickInterval = Millis(500);  // interval between checks for expired allocations
constexpr auto kMaxCyclePause = kTickInterval * 3;  // between scheduling cycles
constexpr int kPauseFactor = 3;  // the pause as a multiple of the last cycle's duration
// Time without a heartbeat after which the workers are considered unable to reach this node.
constexpr auto kHeartbeatTimeout = std::chrono::seconds(5);
constexpr auto kWaitingLogInterval = std::chrono::seconds(10);

}  // namespace

LeaderLoop::LeaderLoop(cluster::LeaderContext& context, leadership::Elector& elector,
                       const leadership::Peers& peers, const workers::HeartbeatHandler& heartbeats,
                       const workers::LeaseRenewalPolicy& renewal_policy,
                       autoscaler::Autoscaler& autoscaler)
    : context_(context),
      elector_(elector),
      peers_(peers),
      heartbeats_(heartbeats),
      renewal_policy_(renewal_policy),
      autoscaler_(autoscaler) {}

Task<void> LeaderLoop::run(uint64_t term) {
  // Start of the current period in which this node may answer heartbeats.
  Instant answering_since = context_.loop.now();
  Instant next_tick = answering_since;
  while (context_.in_term(term)) {
    (void)co_await context_.schedule.wait_until(next_tick);
    if (!context_.in_term(term)) co_return;
    const Instant now = context_.loop.now();
    if (now >= next_tick) {
      next_tick = now + kTickInterval;
      tick(now);
      // Workers also stop calling a leader that may not renew their leases. That does not indicate
      // a network partition.
      if (!renewal_policy_.may_renew()) answering_since = now;
      if (partitioned_from_workers(answering_since, now)) {
        elector_.resign("no heartbeat reaches this node while a peer receives heartbeats");
        co_return;
      }
    }
    if (elector_.may_start()) run_scheduling_cycle(now);
    co_await context_.loop.sleep(pause_after(context_.loop.now() - now));
  }
}

void LeaderLoop::tick(Instant now) {
  const Effects effects = context_.leader_state.with([&](LeaderState& leader) {
    Effects tick_effects = leader.cluster.expire_leases(now);
    tick_effects |= leader.cluster.tick(now);
    return tick_effects;
  });
  context_.follow_up(effects);
}

// Whether no heartbeat reaches this node while a peer receives some, so that another node can serve
// the workers.
bool LeaderLoop::partitioned_from_workers(Instant since, Instant now) const {
  const Instant last_heartbeat = std::max(heartbeats_.last_answered_heartbeat(), since);
  return now - last_heartbeat > kHeartbeatTimeout && peers_.any_peer_receives_heartbeats();
}

// The pause grows with the duration of the cycle, so that scheduling leaves most of the CPU time to
// heartbeats and user requests at any cluster size.
Nanos LeaderLoop::pause_after(Nanos cycle_duration) const {
  return std::clamp<Nanos>(cycle_duration * kPauseFactor, to_nanos(context_.op.cycle_pause),
                           kMaxCyclePause);
}

void LeaderLoop::run_scheduling_cycle(Instant now) {
  Effects effects;
  // Plans and applies under one lock, because the state must not change in between.
  const scheduler::Plan plan = context_.leader_state.with([&](LeaderState& leader) {
    leader.nominations.remove_ended_victims(leader.cluster);
    scheduler::CloudCapacity cloud_capacity = autoscaler_.cloud_capacity(now);
    cloud_capacity.machine_count = leader.cluster.machines().size();
    scheduler::Plan new_plan =
        scheduler::plan(leader.cluster, leader.nominations, cloud_capacity, context_.platform,
                        context_.op, context_.loop.wall(), now);
    effects = scheduler::apply(new_plan, leader, now);
    return new_plan;
  });
  preemptions_ += plan.preemptions.size();
  context_.follow_up(effects);
  log_waiting(plan, now);
  autoscaler_.request_launches(plan.capacity_requests);
  autoscaler_.scan(plan.machines_to_keep, plan.waiting_tasks, now);
}

// Periodically logs, at `debug`, why jobs with a long wait have not started. Shorter waits are
// normal while machines are being launched.
void LeaderLoop::log_waiting(const scheduler::Plan& plan, Instant now) {
  if (!spdlog::should_log(spdlog::level::debug) || now < next_waiting_log_) return;
  next_waiting_log_ = now + kWaitingLogInterval;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& [id, cause] : plan.waiting_jobs) {
      const Job* job = leader.cluster.job(id);
      if (!job) continue;
      const std::chrono::duration<double> waited = context_.loop.wall() - job->submitted();
      if (waited < scheduler::kLongWait) continue;
      spdlog::debug("job {} of class {} has been pending for {:.0f} s and waits for {}", id,
                    job->spec().job_class, waited.count(), scheduler::text(cause));
    }
  });
}

}  // namespace dunlinknot::node
