// How much headroom a class needs, and on which machines it is reserved.
#include "dunlinknot/scheduler/headroom.hpp"

#include <algorithm>
#include <cmath>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr Millis kArrivalWindow = std::chrono::seconds(200);  // of arrivals that are counted
constexpr Millis kRecentArrivalWindow = std::chrono::seconds(60);
constexpr double kMinArrivalWindowSeconds = 60;    // seconds: a single arrival makes no rate
constexpr double kAcceleratorHeadroomShare = 0.6;  // of the mean, on machines with accelerators
constexpr double kStandardDeviations = 1.0;        // beyond the mean, in standard deviations

// The order of machines for headroom: lower first.
constexpr double kUpcomingMachinePenalty = 30;
constexpr double kNoFreeRoomPenalty = 20;
constexpr double kPenaltyPerGpu = 25;
constexpr double kPenaltyPerMissingImage = 10;

// How many tasks of a class may come before new room could be made for them.
struct ExpectedTasks {
  uint32_t upper_estimate = 0;  // with the spread of what may come
  uint32_t mean = 0;            // what comes on average
  uint32_t sustained_mean = 0;  // the same, by the last minute where that saw less
};

ExpectedTasks expected_tasks(const cluster::DemandForecast& forecast, WallTime wall) {
  double tasks = 0;
  double recent_tasks = 0;
  double sum_of_squares = 0;  // a few large jobs vary more than many small ones
  WallTime first = wall;
  for (const auto& [at, arrived] : forecast.arrivals) {
    if (wall - at > kArrivalWindow) continue;
    tasks += arrived;
    if (wall - at <= kRecentArrivalWindow) recent_tasks += arrived;
    sum_of_squares += static_cast<double>(arrived) * arrived;
    first = std::min(first, at);
  }
  if (tasks <= 0) return {};
  const double window_seconds =
      std::max(kMinArrivalWindowSeconds, std::chrono::duration<double>(wall - first).count());
  const double mean_tasks = tasks / window_seconds * kTimeToNewCapacity.count();
  // What came all at once some time ago, such as a day's first jobs, is no sign of what comes
  // next.
  recent_tasks *= kTimeToNewCapacity.count() / to_seconds(kRecentArrivalWindow).count();
  const double standard_deviation =
      std::sqrt(sum_of_squares / window_seconds * kTimeToNewCapacity.count());
  return {static_cast<uint32_t>(std::ceil(mean_tasks + standard_deviation * kStandardDeviations)),
          static_cast<uint32_t>(std::ceil(mean_tasks * kAcceleratorHeadroomShare)),
          static_cast<uint32_t>(
              std::ceil(std::min(mean_tasks, recent_tasks) * kAcceleratorHeadroomShare))};
}

bool could_hold(const JobSpec& spec, const CandidateMachine& candidate) {
  const MachineType* type = candidate.pool->type;
  return type && offer_allowed(spec, candidate.pool->offer) && spec.need.fits_in(type->size);
}

// What is free now first; machines with accelerators last, since each task strands what is left of
// them; those with the class's images before others.
double headroom_rank(const cluster::DemandForecast& forecast, const CandidateMachine& candidate) {
  const JobSpec& spec = forecast.sample;
  const MachineType* type = candidate.pool->type;
  double rank = 0;
  if (candidate.upcoming) rank += kUpcomingMachinePenalty;
  if (!spec.need.fits_in(candidate.capacity.free())) rank += kNoFreeRoomPenalty;
  if (would_borrow(spec, type)) rank += kPenaltyPerGpu * type->size.gpus;
  for (const auto& [image, at] : forecast.images) {
    if (!(candidate.machine && candidate.machine->has_image(image)))
      rank += kPenaltyPerMissingImage;
  }
  return rank;
}

std::vector<RankedCandidate> ranked_for_headroom(const cluster::DemandForecast& forecast,
                                                 Candidates& candidates) {
  std::vector<RankedCandidate> ranked;
  for (CandidateMachine& candidate : candidates.all()) {
    if (could_hold(forecast.sample, candidate))
      ranked.push_back({headroom_rank(forecast, candidate), &candidate});
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const RankedCandidate& a, const RankedCandidate& b) { return a.cost < b.cost; });
  return ranked;
}

// Tasks of gangs without accelerators on those machines that the class would borrow.
uint32_t borrowing_tasks(const JobSpec& spec, const std::vector<RankedCandidate>& ranked) {
  uint32_t tasks = 0;
  for (const auto& [rank, candidate] : ranked) {
    if (!candidate->machine || !would_borrow(spec, candidate->pool->type)) continue;
    for (const Allocation& allocation : candidate->machine->allocations)
      tasks += allocation.gang && allocation.need.gpus <= 0 ? 1 : 0;
  }
  return tasks;
}

// What the machine may hold of the class once shorter work there is done: all but what gangs,
// services and higher priorities hold.
Resources capacity_for_class(const JobSpec& spec, const CandidateMachine& candidate) {
  Resources room = candidate.pool->type->size;
  if (!candidate.machine) return room;
  for (const Allocation& allocation : candidate.machine->allocations) {
    if (allocation.gang || allocation.service || allocation.priority > spec.priority)
      room -= allocation.need;
  }
  return room;
}

void reserve_for_class(CycleState& state, const std::string& job_class,
                       const cluster::DemandForecast& forecast) {
  // A class that has the time to wait for new machines needs no idle ones.
  if (forecast.target_wait > kTimeToNewCapacity) return;
  const ExpectedTasks expected = expected_tasks(forecast, state.inputs.wall);
  uint32_t unreserved = expected.upper_estimate;
  if (unreserved == 0) return;
  const JobSpec& spec = forecast.sample;
  const std::vector<RankedCandidate> ranked = ranked_for_headroom(forecast, state.candidates);
  uint32_t counted = borrowing_tasks(spec, ranked);  // against the bound for borrowed machines
  for (const auto& [rank, candidate] : ranked) {
    if (unreserved == 0) break;
    if (candidate->reserved.has_owner()) continue;
    // Machines with accelerators are expensive to keep idle: no more of them than the mean needs,
    // and where a task would strand several, not for a burst of arrivals that is over.
    if (const MachineType* type = candidate->pool->type; would_borrow(spec, type)) {
      const bool is_cheap = may_borrow(state, spec, type, Borrowing::cheap);
      const uint32_t max_tasks = is_cheap ? expected.mean : expected.sustained_mean;
      unreserved = std::min(unreserved, max_tasks > counted ? max_tasks - counted : 0);
    }
    const uint32_t tasks =
        preemption::tasks_that_fit_in(capacity_for_class(spec, *candidate), spec.need, unreserved);
    if (tasks == 0) continue;
    candidate->reserved = {spec.need * tasks, job_class, spec.priority};
    unreserved -= tasks;
    counted += tasks;
    if (candidate->machine) state.plan.machines_to_keep.push_back(candidate->machine->id);
  }
}

}  // namespace

void reserve_headroom(CycleState& state) {
  for (const auto& [job_class, forecast] : state.cluster().forecasts())
    reserve_for_class(state, job_class, forecast);
}

}  // namespace dunlinknot::scheduler
