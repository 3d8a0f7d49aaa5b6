// Placement of the tasks of arrays and services, each task independently of the others.
#pragma once
#include <limits>

#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// Places up to `max_tasks` tasks on ready machines at a cost of at most `max_cost` each; returns
// the number placed. Replicas of a service are divided among machines as far as possible. The
// placements are added to `constraints`.
uint32_t place_array(CycleState& state, const Job& job, uint32_t max_tasks,
                     PlacementConstraints& constraints,
                     double max_cost = std::numeric_limits<double>::max());

// Reserves room on upcoming machines, so that later cycles do not launch further machines for the
// same tasks. A slot there counts for as many tasks as can run in it one after another before the
// job is due. Returns how many of the `unplaced` tasks are provided for; the reserved slots are
// added to `expected`.
uint32_t reserve_upcoming_for_array(CycleState& state, const QueueEntry& entry, uint32_t unplaced,
                                    PlacementConstraints& expected);

}  // namespace dunlinknot::scheduler
