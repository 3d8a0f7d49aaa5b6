// Estimates from the owners' estimates of the run time.
#include "dunlinknot/scheduler/task_ends.hpp"

#include <algorithm>
#include <limits>

namespace dunlinknot::scheduler {

namespace {

// A task that has not started is assumed to take 1.5 times its estimate, the fetch included.
constexpr double kNotStartedFactor = 1.5;
// A task that runs longer than its estimate may end at any time: it is assumed to need another
// quarter of its estimate.
constexpr double kOverrunDivisor = 4;

}  // namespace

double seconds_until_end(const Allocation& allocation, Instant now) {
  if (allocation.service) return std::numeric_limits<double>::max();
  const double estimated_seconds = std::max(1.0, allocation.estimate.count());
  if (allocation.running_since == Instant{}) return estimated_seconds * kNotStartedFactor;
  const double elapsed_seconds = to_seconds(now - allocation.running_since).count();
  return elapsed_seconds < estimated_seconds ? estimated_seconds - elapsed_seconds
                                             : estimated_seconds / kOverrunDivisor;
}

}  // namespace dunlinknot::scheduler
