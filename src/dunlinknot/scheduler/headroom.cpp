// Computes how much headroom a class needs and on which machines it is reserved.
#include "dunlinknot/scheduler/headroom.hpp"

#include <algorithm>
#include <cmath>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr Millis kArrivalWindow = std::chrono::seconds(200);  // arrivals before it are ignored
constexpr Millis kRecentArrivalWindow = std::chrono::seconds(60);
constexpr double kMinArrivalWindowSeconds = 60;  // a single arrival gives no rate
// Share of the mean that is reserved on machines with accelerators.
constexpr double kAcceleratorHeadroomShare = 0.6;
constexpr double kStandardDeviations = 1.0;  // reserved in addition to the mean

// Weights for ranking machines for headroom; a lower sum ranks first.
constexpr double kUpcomingMachinePenalty = 30;
constexpr double kNoFreeRoomPenalty = 20;
constexpr double kPenaltyPerGpu = 25;
constexpr double kPenaltyPerMissingImage = 10;

// Expected number of tasks of a class that arrive before new capacity could be ready for them.
struct ExpectedTasks {
  uint32_t upper_estimate = 0;  // mean plus kStandardDeviations times the deviation
  // kAcceleratorHeadroomShare of the mean, the limit for machines with accelerators.
  uint32_t mean = 0;
  // The same, from the arrivals of the last 60 s only if they give a lower mean.
  uint32_t sustained_mean = 0;
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
  // A burst that is over, such as the first jobs of a day, does not predict further arrivals.
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

// Prefers machines with free room, machines without accelerators (each task would strand the rest
// of the accelerators there), and machines that have the images of the class.
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

// Counts gang tasks that need no accelerators on the machines with accelerators that the class
// would borrow.
uint32_t borrowing_tasks(const JobSpec& spec, const std::vector<RankedCandidate>& ranked) {
  uint32_t tasks = 0;
  for (const auto& [rank, candidate] : ranked) {
    if (!candidate->machine || !would_borrow(spec, candidate->pool->type)) continue;
    for (const Allocation& allocation : candidate->machine->allocations)
      tasks += allocation.gang && allocation.need.gpus <= 0 ? 1 : 0;
  }
  return tasks;
}

// The room for the class on the machine once shorter tasks there have ended: its size less what
// gangs, services and jobs of higher priority hold.
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
  // A class whose target wait allows for new machines to boot needs no headroom.
  if (forecast.target_wait > kTimeToNewCapacity) return;
  const ExpectedTasks expected = expected_tasks(forecast, state.inputs.wall);
  uint32_t unreserved = expected.upper_estimate;
  if (unreserved == 0) return;
  const JobSpec& spec = forecast.sample;
  const std::vector<RankedCandidate> ranked = ranked_for_headroom(forecast, state.candidates);
  uint32_t counted = borrowing_tasks(spec, ranked);  // towards the limit for borrowed machines
  for (const auto& [rank, candidate] : ranked) {
    if (unreserved == 0) break;
    if (candidate->reserved.has_owner()) continue;
    // Machines with accelerators are expensive to keep idle: reserve no more of them than the mean
    // requires, and where a task would strand several accelerators, do not reserve for a burst that
    // is over.
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
