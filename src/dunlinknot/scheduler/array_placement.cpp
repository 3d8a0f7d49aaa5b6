// Places for tasks of arrays, the cheapest first.
#include "dunlinknot/scheduler/array_placement.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::scheduler {

namespace {

// `most_on_machine`: of a service's replicas, on one machine, those there already included.
uint32_t place_ranked(CycleState& state, const Job& job, uint32_t most,
                      PlacementConstraints& constraints, double most_cost,
                      uint32_t most_on_machine) {
  const JobSpec& spec = job.spec();
  if (most == 0) return 0;
  uint32_t placed = 0;
  for (const auto& [cost, candidate] : ranked_candidates(state, job, Readiness::ready)) {
    if (placed == most || cost > most_cost) break;
    // A second image would halve the rate at which the gang's comes.
    if (candidate->gang_fetches && !candidate->machine->has_image(spec.image)) continue;
    uint32_t most_here = std::min(most - placed, constraints.tasks_allowed(candidate->zone()));
    if (spec.service) {
      const uint32_t there = tasks_on(job, *candidate->machine);
      most_here = std::min(most_here, most_on_machine > there ? most_on_machine - there : 0);
    }
    const uint32_t tasks = most_here > 0 ? tasks_that_fit(state, job, *candidate, most_here) : 0;
    if (tasks == 0) continue;
    constraints.add(candidate->zone(), tasks);
    place_tasks(state, job, *candidate, tasks, {});
    placed += tasks;
  }
  return placed;
}

}  // namespace

uint32_t place_array(CycleState& state, const Job& job, uint32_t most,
                     PlacementConstraints& constraints, double most_cost) {
  if (most == 0) return 0;
  const uint32_t tasks = job.spec().tasks;
  uint32_t placed = 0;
  if (job.spec().service) {
    // The loss of one machine should leave some of it running.
    const uint32_t half = (tasks + 1) / 2;
    placed = place_ranked(state, job, most, constraints, most_cost, half);
  }
  return placed + place_ranked(state, job, most - placed, constraints, most_cost, tasks);
}

uint32_t expect_array_placement(CycleState& state, const QueueEntry& entry, uint32_t open,
                                PlacementConstraints& expected) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  uint32_t provided = 0;
  for (const auto& [cost, candidate] : ranked_candidates(state, job, Readiness::coming)) {
    if (provided == open) break;
    const MachineType& type = *candidate->pool->type;
    double up_in = type.boot.count();
    if (candidate->machine)
      up_in -=
          std::min(up_in, to_seconds(state.inputs.now - candidate->machine->known_since).count());
    const double uses = uses_until_due(entry, type, up_in);
    auto places = static_cast<uint32_t>(std::ceil((open - provided) / uses));
    places = std::min(places, expected.tasks_allowed(candidate->zone()));
    const uint32_t tasks = places > 0 ? tasks_that_fit(state, job, *candidate, places) : 0;
    if (tasks == 0) continue;
    candidate->capacity.take(spec.need * tasks);
    expected.add(candidate->zone(), tasks);
    provided = std::min(open, provided + static_cast<uint32_t>(tasks * uses));
  }
  return provided;
}

}  // namespace dunlinknot::scheduler
