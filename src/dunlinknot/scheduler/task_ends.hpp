// When running tasks are expected to end.
#pragma once
#include "dunlinknot/scheduler/cycle_inputs.hpp"

namespace dunlinknot::scheduler {

// Seconds until the task ends, by the estimate in its job. The largest value for replicas of
// services, which do not end.
double seconds_until_end(const Allocation& allocation, Instant now);

}  // namespace dunlinknot::scheduler
