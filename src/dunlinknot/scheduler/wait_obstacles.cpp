// Looks for a machine with room and the decision that excludes it.
#include "dunlinknot/scheduler/wait_obstacles.hpp"

#include "dunlinknot/scheduler/job_queue.hpp"

namespace dunlinknot::scheduler {

namespace {

// What keeps the job off this machine, which has room for one of its tasks; empty if nothing does,
// or if the room is held by nominations or the machine's record is full.
std::optional<WaitCause> obstacle_on(const CycleState& state, const Job& job,
                                     CandidateMachine& candidate) {
  if (excluded_by_failures(state, job, candidate)) return WaitCause::failed_machines;
  if (!may_use(state, job, candidate)) return std::nullopt;
  const JobSpec& spec = job.spec();
  const bool room_unless_reserved = candidate.capacity.count(spec.need, spec.priority, 1) > 0;
  if (room_unless_reserved && tasks_that_fit(state, job, candidate, 1) == 0)
    return WaitCause::reserved_by_others;
  return std::nullopt;
}

}  // namespace

WaitCause refined_cause(CycleState& state, const Job& job, WaitCause cause) {
  if (cause != WaitCause::no_room && cause != WaitCause::machine_upcoming) return cause;
  if (waiting_seconds(state.inputs, job) < kLongWait.count()) return cause;
  for (auto& [offer, pool] : state.candidates.pools()) {
    if (!offer_allowed(job.spec(), offer)) continue;
    for (CandidateMachine* candidate : pool.ready) {
      if (!job.spec().need.fits_in(candidate->capacity.free())) continue;
      if (const auto obstacle = obstacle_on(state, job, *candidate)) return *obstacle;
    }
  }
  return cause;
}

}  // namespace dunlinknot::scheduler
