// Runs the stages of a scheduling cycle in order.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

#include "dunlinknot/scheduler/headroom.hpp"
#include "dunlinknot/scheduler/wait_obstacles.hpp"

namespace dunlinknot::scheduler {

SchedulingCycle::SchedulingCycle(const CycleInputs& inputs)
    : state_(inputs),
      scale_out_(state_),
      preemption_(state_, scale_out_),
      machine_queueing_(state_),
      gangs_(state_, scale_out_),
      arrays_(state_, scale_out_, preemption_, machine_queueing_) {}

Plan SchedulingCycle::run() {
  reserve_headroom(state_);
  const std::vector<QueueEntry> queue = queue_of_jobs(state_);
  clear_unused_nominations(state_, queue);
  gangs_.schedule_overdue(queue);
  for (const QueueEntry& entry : queue) schedule(entry);
  record_reserved_room();
  record_allowances();
  return std::move(state_.plan);
}

void SchedulingCycle::schedule(const QueueEntry& entry) {
  const Job& job = *entry.job;
  if (gangs_.placed_as_overdue(job)) return;
  state_.plan.waiting_tasks += job.pending();
  if (!job.spec().gang) {
    arrays_.schedule(entry);
  } else if (!job.any_live()) {
    const auto cause = gangs_.schedule(entry);
    if (cause) state_.add_waiting_job(job, refined_cause(state_, job, *cause));
  }
}

// Records what tasks queued on machines may use of their teams' limits until the next cycle.
void SchedulingCycle::record_allowances() {
  for (size_t team = 0; team < state_.quotas.team_count(); ++team)
    state_.plan.quota_allowances.push_back(state_.quotas.allowance(static_cast<int>(team)));
}

// Records the room that tasks queued on a machine must not take when a task there ends.
void SchedulingCycle::record_reserved_room() {
  for (const CandidateMachine& candidate : state_.candidates.all()) {
    if (!candidate.machine) continue;
    Resources held = candidate.capacity.held();
    if (candidate.reserved.has_owner()) held += candidate.reserved.room;
    if (held.cpus > 0 || held.gpus > 0 || held.memory_gb > 0)
      state_.plan.reserved_room[candidate.machine->id] = held;
  }
}

}  // namespace dunlinknot::scheduler
