// Applies each kind of decision in a plan to the leader's state.
#include "dunlinknot/scheduler/apply.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::scheduler {

namespace {

using cluster::Effects;
using cluster::Job;
using cluster::LeaderState;
using cluster::Machine;

void allocate_tasks(const Placement& placement, LeaderState& state, Instant now, Effects& effects) {
  cluster::Cluster& cluster = state.cluster;
  for (const uint64_t id : placement.ends_nominations) {
    state.nominations.end(id, preemption::NominationEnd::placed);
  }
  Job& job = *cluster.job(placement.job);
  Machine& machine = *cluster.find_machine(placement.machine);
  spdlog::debug("placing {} tasks of job {} on machine {} of type {}", placement.count,
                placement.job, machine.id, machine.type);
  for (uint32_t i = 0; i < placement.count; ++i) {
    auto task_index = job.pop_pending();
    if (!task_index && cluster.withdraw_queued(placement.job, now)) task_index = job.pop_pending();
    if (!task_index || !cluster.allocate(machine, job, *task_index, cluster.next_attempt(), now))
      return;
    effects.store_machines = true;
  }
}

// Allocates all of the gang's tasks, or none: if one allocation fails, those made before it are
// withdrawn.
void allocate_gang(const GangPlacement& gang, LeaderState& state, Instant now, Effects& effects) {
  cluster::Cluster& cluster = state.cluster;
  Job& job = *cluster.job(gang.job);
  const uint64_t attempt = cluster.next_attempt();
  job.gang_may_start = false;
  for (const auto& [id, count] : gang.shares) {
    Machine& machine = *cluster.find_machine(id);
    spdlog::debug("placing {} tasks of gang {} on machine {} of type {}", count, gang.job, id,
                  machine.type);
    for (uint32_t i = 0; i < count; ++i) {
      const auto task_index = job.pop_pending();
      if (!task_index || !cluster.allocate(machine, job, *task_index, attempt, now)) {
        effects |= cluster.drop_planned_for_job(gang.job, now);
        return;
      }
    }
  }
  effects.store_machines = true;
}

void queue_tasks(const QueuedPlacement& placement, LeaderState& state, Instant now,
                 Effects& effects) {
  cluster::Cluster& cluster = state.cluster;
  Job& job = *cluster.job(placement.job);
  Machine& machine = *cluster.find_machine(placement.machine);
  for (uint32_t i = 0; i < placement.count; ++i) {
    const auto task_index = job.pop_pending();
    if (!task_index) return;
    if (!cluster.queue_on(machine, job, *task_index, cluster.next_attempt(),
                          placement.queue_position, now))
      return;
    effects.store_machines = true;
  }
}

void preempt_victims(const Preemption& preemption, LeaderState& state, Instant now,
                     Effects& effects) {
  if (preemption.renews)
    state.nominations.end(preemption.renews, preemption::NominationEnd::renominated);
  Machine& machine = *state.cluster.find_machine(preemption.machine);
  std::string victim_names;
  for (const auto& victim : preemption.victims) {
    effects |= state.cluster.preempt(machine, victim.task, victim.attempt, now);
    victim_names += " " + victim.task.text();
  }
  state.nominations.add(preemption.job, preemption.machine, preemption.room, preemption.priority,
                        preemption.victims);
  spdlog::info(
      "preempting on machine {} for job {}, which needs {} cpus, {} gpus and {} GB; victims:{}",
      preemption.machine, preemption.job, preemption.room.cpus, preemption.room.gpus,
      preemption.room.memory_gb, victim_names);
}

}  // namespace

Effects apply(const Plan& plan, LeaderState& state, Instant now) {
  Effects effects;
  for (const uint64_t id : plan.cleared_nominations)
    state.nominations.end(id, preemption::NominationEnd::cleared);
  for (const Placement& placement : plan.placements) allocate_tasks(placement, state, now, effects);
  for (const GangPlacement& gang : plan.gangs) allocate_gang(gang, state, now, effects);
  for (const QueuedPlacement& placement : plan.queued) queue_tasks(placement, state, now, effects);
  state.cluster.set_reserved(plan.reserved_room, plan.quota_allowances, plan.reserved_per_gpu);
  for (const std::string& id : plan.jobs_at_limit) {
    if (Job* job = state.cluster.job(id)) job->held_back_since = now;
  }
  state.cluster.set_has_pending_work(plan.waiting_tasks > 0);
  for (const Preemption& preemption : plan.preemptions)
    preempt_victims(preemption, state, now, effects);
  return effects;
}

}  // namespace dunlinknot::scheduler
