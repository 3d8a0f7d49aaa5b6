// The order in which the tasks of an array or service try the ways to get a machine.
#include "dunlinknot/scheduler/arrays.hpp"

#include <algorithm>

#include "dunlinknot/scheduler/array_placement.hpp"
#include "dunlinknot/scheduler/wait_obstacles.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kInitialTaskDivisor = 16;

// The number of tasks with which a job begins that gets precedence because it has waited: 1/16 of
// its tasks, and one more.
uint32_t initial_tasks(const Job& job) {
  return job.spec().tasks / kInitialTaskDivisor + 1;
}

}  // namespace

void ArrayScheduling::schedule(const QueueEntry& entry) {
  const Job& job = *entry.job;
  if (job.pending() + job.queued_tasks == 0) {
    prepare_move(entry);
    return;
  }
  const uint32_t allowed = state_.quotas.tasks_allowed(job);
  if (allowed == 0) state_.plan.jobs_at_limit.push_back(job.spec().id);
  uint32_t to_place = std::min(job.pending(), allowed);
  // An overdue job has precedence only so that it can begin: its other tasks keep their ordinary
  // queue position.
  if (entry.overdue && job.done_count() == 0 && !job.spec().service)
    to_place = std::min(to_place, initial_tasks(job));
  JobNominations nominations(state_, job);
  PlacementConstraints constraints = state_.cluster().constraints_of(job);
  // Room is not held for tasks that the team's limit does not allow.
  if (to_place == 0) nominations.keep_at_most(0);
  uint32_t placed = 0;
  WaitCause cause =
      state_.quota_is_reserved(job) ? WaitCause::quota_reserved : WaitCause::team_limit;
  if (to_place > 0) {
    placed = nominations.place(to_place, constraints);
    placed += place_array(state_, job, to_place - placed, constraints);
    if (placed == 0) placed = place_held_back(job, to_place, constraints);
    const CapacityResult capacity =
        request_capacity(entry, to_place - placed, placed > 0, nominations, constraints);
    placed += capacity.retried;
    cause = capacity.cause;
  }
  if (placed == 0) state_.add_waiting_job(job, refined_cause(state_, job, cause));
  if (placed == job.pending() && placed < allowed) {
    move_queued(entry, placed, allowed - placed, constraints);
  } else if (nominations.active().empty()) {
    machine_queueing_.queue(entry, job.pending() - placed);
  }
}

// Places tasks that are queued on a busy machine elsewhere, if they can start there sooner than
// within the queue span, or if the machine has kept them waiting for too long.
void ArrayScheduling::move_queued(const QueueEntry& entry, uint32_t placed, uint32_t max_tasks,
                                  PlacementConstraints& constraints) {
  const Job& job = *entry.job;
  max_tasks = std::min(job.queued_tasks, max_tasks);
  placed += place_array(state_, job, max_tasks, constraints, machine_queueing_.span());
  if (placed > 0 || !state_.is_held_back(job)) return;
  if (place_held_back(job, max_tasks, constraints) == 0)
    (void)provide_machines(entry, std::min(max_tasks, initial_tasks(job)), constraints);
}

uint32_t ArrayScheduling::place_held_back(const Job& job, uint32_t max_tasks,
                                          PlacementConstraints& constraints) {
  if (!state_.is_held_back(job)) return 0;
  const ReservationWaiver waiver(state_, job);
  state_.allow_retry(job);
  return place_array(state_, job, std::min(max_tasks, initial_tasks(job)), constraints);
}

uint32_t ArrayScheduling::provide_machines(const QueueEntry& entry, uint32_t unplaced,
                                           PlacementConstraints expected) {
  if (unplaced == 0) return 0;
  const uint32_t provided = reserve_upcoming_for_array(state_, entry, unplaced, expected);
  uint32_t missing = unplaced - provided;
  if (entry.job->failing) missing = provided > 0 || entry.job->any_live() ? 0 : 1;
  if (missing > 0) return provided + scale_out_.request_for_array(entry, missing, expected);
  return provided;
}

ArrayScheduling::CapacityResult ArrayScheduling::request_capacity(
    const QueueEntry& entry, uint32_t unplaced, bool any_placed, JobNominations& nominations,
    PlacementConstraints& constraints) {
  const Job& job = *entry.job;
  nominations.keep_at_most(unplaced);
  nominations.add_to(constraints);
  // Tasks with a nomination wait for its room. The others use upcoming machines first, then request
  // new ones.
  const uint32_t without_nomination = unplaced - static_cast<uint32_t>(nominations.active().size());
  uint32_t tasks_left = without_nomination;
  tasks_left -= provide_machines(entry, tasks_left, constraints);
  if (tasks_left > 0 && !any_placed && state_.is_held_back(job)) {
    const ReservationWaiver waiver(state_, job);
    tasks_left -= provide_machines(entry, std::min(tasks_left, initial_tasks(job)), constraints);
  }
  WaitCause cause =
      tasks_left < without_nomination ? WaitCause::machine_upcoming : WaitCause::no_room;
  if (!nominations.active().empty()) cause = WaitCause::preemption;
  const uint32_t retried = retry_on_failed_machines(job, tasks_left, constraints);
  preemption_.preempt(entry, nominations, tasks_left - retried, constraints);
  return {cause, retried};
}

uint32_t ArrayScheduling::retry_on_failed_machines(const Job& job, uint32_t max_tasks,
                                                   PlacementConstraints& constraints) {
  if (max_tasks == 0 || !state_.allow_retry(job)) return 0;
  return place_array(state_, job, max_tasks, constraints);
}

// The spread over zones is not checked here: replicas that leave a zone make room for others of the
// job in that zone.
void ArrayScheduling::prepare_move(const QueueEntry& entry) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  uint32_t unplaced = replicas_leaving(state_.cluster(), job);
  for (const auto& [cost, candidate] : ranked_candidates(state_, job, Readiness::ready)) {
    if (unplaced == 0) return;
    const uint32_t tasks = tasks_that_fit(state_, job, *candidate, unplaced);
    candidate->capacity.take(spec.need * tasks);
    unplaced -= tasks;
  }
  (void)provide_machines(entry, unplaced, PlacementConstraints(spec));
}

}  // namespace dunlinknot::scheduler
