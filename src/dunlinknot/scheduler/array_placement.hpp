// Placement of the tasks of arrays and services, each on its own.
#pragma once
#include <limits>

#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// Places up to `most` tasks on machines that are ready, where a place costs no more than
// `most_cost`; returns how many. Replicas of a service are divided among machines as far as that is
// possible. The placements are added to `constraints`.
uint32_t place_array(CycleState& state, const Job& job, uint32_t max_tasks,
                     PlacementConstraints& constraints,
                     double max_cost = std::numeric_limits<double>::max());

// Takes room on machines that are coming, so that not every cycle launches anew for the same work.
// A place there serves as many tasks as it has time for. Returns how many of the `open` tasks that
// provides for; what is counted on is added to `expected`.
uint32_t reserve_upcoming_for_array(CycleState& state, const QueueEntry& entry, uint32_t unplaced,
                                    PlacementConstraints& expected);

}  // namespace dunlinknot::scheduler
