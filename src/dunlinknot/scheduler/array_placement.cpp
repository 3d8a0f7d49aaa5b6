// Places tasks of arrays and services on the cheapest machines first.
#include "dunlinknot/scheduler/array_placement.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::scheduler {

namespace {

// Places tasks in the order of cost. `max_on_machine` limits the replicas of a service on one
// machine, those already there included.
uint32_t place_ranked(CycleState& state, const Job& job, uint32_t max_tasks,
                      PlacementConstraints& constraints, double max_cost, uint32_t max_on_machine) {
  const JobSpec& spec = job.spec();
  if (max_tasks == 0) return 0;
  uint32_t placed = 0;
  for (const auto& [cost, candidate] : ranked_candidates(state, job, Readiness::ready)) {
    if (placed == max_tasks || cost > max_cost) break;
    // The machine's fetches share its rate: fetching another image would halve the rate of
    // the gang's fetch.
    if (candidate->gang_fetching && !candidate->machine->has_image(spec.image)) continue;
    uint32_t max_here = std::min(max_tasks - placed, constraints.tasks_allowed(candidate->zone()));
    if (is_last_resort(state, job, *candidate)) max_here = std::min(max_here, 1u);
    if (spec.service) {
      const uint32_t replicas_there = tasks_on(job, *candidate->machine);
      max_here =
          std::min(max_here, max_on_machine > replicas_there ? max_on_machine - replicas_there : 0);
    }
    const uint32_t tasks = max_here > 0 ? tasks_that_fit(state, job, *candidate, max_here) : 0;
    if (tasks == 0) continue;
    constraints.add(candidate->zone(), tasks);
    place_tasks(state, job, *candidate, tasks, {});
    placed += tasks;
  }
  return placed;
}

}  // namespace

uint32_t place_array(CycleState& state, const Job& job, uint32_t max_tasks,
                     PlacementConstraints& constraints, double max_cost) {
  if (max_tasks == 0) return 0;
  const uint32_t tasks = job.spec().tasks;
  uint32_t placed = 0;
  if (job.spec().service) {
    // First with at most half of the replicas on one machine, so that the loss of one machine
    // leaves some of the service running.
    const uint32_t half = (tasks + 1) / 2;
    placed = place_ranked(state, job, max_tasks, constraints, max_cost, half);
  }
  return placed + place_ranked(state, job, max_tasks - placed, constraints, max_cost, tasks);
}

uint32_t reserve_upcoming_for_array(CycleState& state, const QueueEntry& entry, uint32_t unplaced,
                                    PlacementConstraints& expected) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  uint32_t provided = 0;
  for (const auto& [cost, candidate] : ranked_candidates(state, job, Readiness::upcoming)) {
    if (provided == unplaced) break;
    const MachineType& type = *candidate->pool->type;
    double ready_in_seconds = type.boot.count();
    if (candidate->machine)
      ready_in_seconds -= std::min(
          ready_in_seconds, to_seconds(state.inputs.now - candidate->machine->known_since).count());
    const double tasks_per_slot = tasks_per_slot_until_due(entry, type, ready_in_seconds);
    auto slots = static_cast<uint32_t>(std::ceil((unplaced - provided) / tasks_per_slot));
    slots = std::min(slots, expected.tasks_allowed(candidate->zone()));
    const uint32_t tasks = slots > 0 ? tasks_that_fit(state, job, *candidate, slots) : 0;
    if (tasks == 0) continue;
    candidate->capacity.take(spec.need * tasks);
    expected.add(candidate->zone(), tasks);
    provided = std::min(unplaced, provided + static_cast<uint32_t>(tasks * tasks_per_slot));
  }
  return provided;
}

}  // namespace dunlinknot::scheduler
