// Headroom: room kept free for classes of jobs that are expected to start soon after they arrive.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr Millis kHeadroomMemory = std::chrono::seconds(200);
constexpr Millis kRecentArrivals = std::chrono::seconds(60);
constexpr double kMeanShare = 0.6;       // of the mean, on machines with accelerators
constexpr double kHeadroomSpread = 1.0;  // beyond the mean, in standard deviations

}  // namespace

SchedulingCycle::Headroom SchedulingCycle::headroom(const cluster::DemandForecast& forecast) const {
  double tasks = 0;
  double of_late = 0;
  double squares = 0;  // a few large jobs vary more than many small ones
  WallTime first = wall_;
  for (const auto& [at, n] : forecast.arrivals) {
    if (wall_ - at > kHeadroomMemory) continue;
    tasks += n;
    if (wall_ - at <= kRecentArrivals) of_late += n;
    squares += static_cast<double>(n) * n;
    first = std::min(first, at);
  }
  if (tasks <= 0) return {};
  const double span = std::max(60.0, std::chrono::duration<double>(wall_ - first).count());
  const double coming = tasks / span * kRoomTakes.count();
  // What came all at once some time ago, such as a day's first jobs, is no sign of what comes
  // next.
  of_late *= kRoomTakes.count() / to_seconds(kRecentArrivals).count();
  const double spread = std::sqrt(squares / span * kRoomTakes.count());
  return {static_cast<uint32_t>(std::ceil(coming + spread * kHeadroomSpread)),
          static_cast<uint32_t>(std::ceil(coming * kMeanShare)),
          static_cast<uint32_t>(std::ceil(std::min(coming, of_late) * kMeanShare))};
}

void SchedulingCycle::keep_headroom(const std::string& name,
                                    const cluster::DemandForecast& forecast) {
  // A class that has the time to wait for new machines needs no idle ones.
  if (forecast.within > kRoomTakes) return;
  const Headroom h = headroom(forecast);
  uint32_t left = h.wanted;
  if (left == 0) return;
  uint32_t kept = 0;
  uint32_t there = 0;  // tasks of its kind on borrowed machines
  const JobSpec& spec = forecast.sample;
  std::vector<std::pair<double, CandidateMachine*>> order;
  for (CandidateMachine& candidate : candidates_) {
    const MachineType* machine_type = candidate.pool->type;
    if (!machine_type || !offer_allowed(spec, candidate.pool->offer) ||
        !spec.need.fits_in(machine_type->size))
      continue;
    if (candidate.machine && would_borrow(spec, machine_type)) {
      for (const Allocation& allocation : candidate.machine->allocations)
        there += allocation.gang && allocation.need.gpus <= 0 ? 1 : 0;
    }
    // What is free now first; machines with accelerators last; those with its images before
    // others.
    double rank = 0;
    if (candidate.coming) rank += 30;
    if (!spec.need.fits_in(candidate.room.free())) rank += 20;
    if (would_borrow(spec, machine_type))
      rank += 25 * machine_type->size.gpus;  // each strands what is left of its accelerators
    for (const auto& [image, at] : forecast.images) {
      if (!(candidate.machine && candidate.machine->has_image(image))) rank += 10;
    }
    order.emplace_back(rank, &candidate);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [rank, candidate] : order) {
    if (left == 0) break;
    if (!candidate->kept_for.empty()) continue;
    // Machines with accelerators are dear to hold free: no more of them than the mean asks for,
    // and where a task would strand several, not for a rush that is over.
    if (const MachineType* machine_type = candidate->pool->type; would_borrow(spec, machine_type)) {
      const uint32_t most = may_borrow(spec, machine_type, Borrowing::cheap) ? h.mean : h.steady;
      left = std::min(left, most > kept + there ? most - kept - there : 0);
    }
    // What it may hold once shorter work there is done: all but what its own kind holds.
    Resources room = candidate->pool->type->size;
    if (candidate->machine) {
      for (const Allocation& allocation : candidate->machine->allocations) {
        if (allocation.gang || allocation.service || allocation.priority > spec.priority)
          room -= allocation.need;
      }
    }
    const uint32_t n = preemption::tasks_in(room, spec.need, left);
    if (n == 0) continue;
    candidate->kept = spec.need * n;
    candidate->kept_for = name;
    candidate->kept_priority = spec.priority;
    left -= n;
    kept += n;
    if (candidate->machine) plan_.wanted.push_back(candidate->machine->id);
  }
}

}  // namespace dunlinknot::scheduler
