// The leader's loop: expiry, scheduling cycle, pause.
#include "dunlinknot/node/leader_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/scheduler/apply.hpp"

namespace dunlinknot::node {

using cluster::Effects;
using cluster::Job;
using cluster::LeaderState;

namespace {

constexpr auto kTick = Millis(500);    // how often allocations are looked at for expiry
constexpr auto kMaxPause = kTick * 3;  // between scheduling cycles
constexpr int kPausePerCycle = 3;      // times what the last cycle took
constexpr auto kHeartbeatSilence = std::chrono::seconds(5);  // then the workers cannot reach us
constexpr auto kWaitingLogInterval = std::chrono::seconds(10);
constexpr Seconds kLongWait{60};  // shorter waits are ordinary: machines are being launched

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
  // From when on a heartbeat could have been answered.
  Instant answering_since = context_.loop.now();
  Instant next_tick = answering_since;
  while (context_.in_term(term)) {
    (void)co_await context_.schedule.wait_until(next_tick);
    if (!context_.in_term(term)) co_return;
    const Instant now = context_.loop.now();
    if (now >= next_tick) {
      next_tick = now + kTick;
      tick(now);
      // Workers also leave a leader that may not renew their leases; that is no sign of a cut.
      if (!renewal_policy_.may_renew()) answering_since = now;
      if (cut_off_from_workers(answering_since, now)) {
        elector_.resign("no worker reaches this node, but they reach others");
        co_return;
      }
    }
    if (elector_.may_start()) run_scheduling_cycle(now);
    co_await context_.loop.sleep(pause_after(context_.loop.now() - now));
  }
}

void LeaderLoop::tick(Instant now) {
  const Effects effects = context_.leader_state.with([&](LeaderState& leader) {
    Effects combined = leader.cluster.expire_leases(now);
    combined |= leader.cluster.tick(now);
    return combined;
  });
  context_.follow_up(effects);
}

// No heartbeat reaches this node while they reach a peer: another node can serve the workers.
bool LeaderLoop::cut_off_from_workers(Instant since, Instant now) const {
  const Instant last_heartbeat = std::max(heartbeats_.last_answered_heartbeat(), since);
  return now - last_heartbeat > kHeartbeatSilence && peers_.any_peer_receives_heartbeats();
}

// The longer a cycle takes, the longer the pause: cycles leave most of the processor to the
// workers' heartbeats and the users, however large the cluster.
Nanos LeaderLoop::pause_after(Nanos cycle) const {
  return std::clamp<Nanos>(cycle * kPausePerCycle, to_nanos(context_.op.cycle_pause), kMaxPause);
}

void LeaderLoop::run_scheduling_cycle(Instant now) {
  Effects effects;
  // Planned and applied under one lock: nothing may change the state in between.
  const scheduler::Plan plan = context_.leader_state.with([&](LeaderState& leader) {
    leader.nominations.remove_ended_victims(leader.cluster);
    scheduler::CloudCapacity cloud_capacity = autoscaler_.cloud_capacity(now);
    cloud_capacity.machine_count = leader.cluster.machines().size();
    scheduler::Plan decided =
        scheduler::plan(leader.cluster, leader.nominations, cloud_capacity, context_.platform,
                        context_.op, context_.loop.wall(), now);
    effects = scheduler::apply(decided, leader, now);
    return decided;
  });
  preemptions_ += plan.preemptions.size();
  context_.follow_up(effects);
  log_waiting(plan, now);
  autoscaler_.request_launches(plan.capacity_requests);
  autoscaler_.scan(plan.machines_to_keep, plan.waiting_tasks, now);
}

// At `debug`, now and then: what each job waits for that should have begun long ago.
void LeaderLoop::log_waiting(const scheduler::Plan& plan, Instant now) {
  if (!spdlog::should_log(spdlog::level::debug) || now < next_waiting_log_) return;
  next_waiting_log_ = now + kWaitingLogInterval;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& [id, cause] : plan.waiting_jobs) {
      const Job* job = leader.cluster.job(id);
      if (!job) continue;
      const std::chrono::duration<double> waited = context_.loop.wall() - job->submitted();
      if (waited < kLongWait) continue;
      spdlog::debug("job {} of {} waits for {:.0f} s: {}", id, job->spec().job_class,
                    waited.count(), scheduler::text(cause));
    }
  });
}

}  // namespace dunlinknot::node
