// Headroom: room kept free for classes of jobs that are expected to start soon after they arrive.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr Millis kHeadroomMemory = std::chrono::seconds(200);
constexpr Millis kRecentArrivals = std::chrono::seconds(60);
constexpr double kMeanShare = 0.6;       // of the mean, on machines with accelerators
constexpr double kHeadroomSpread = 1.0;  // beyond the mean, in standard deviations

}  // namespace

SchedulingCycle::Headroom SchedulingCycle::headroom(const cluster::DemandForecast& e) const {
  double tasks = 0;
  double of_late = 0;
  double squares = 0;  // a few large jobs vary more than many small ones
  WallTime first = wall_;
  for (const auto& [at, n] : e.arrivals) {
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

void SchedulingCycle::keep_headroom(const std::string& name, const cluster::DemandForecast& e) {
  // A class that has the time to wait for new machines needs no idle ones.
  if (e.within > kRoomTakes) return;
  const Headroom h = headroom(e);
  uint32_t left = h.wanted;
  if (left == 0) return;
  uint32_t kept = 0;
  uint32_t there = 0;  // tasks of its kind on borrowed machines
  const JobSpec& spec = e.sample;
  std::vector<std::pair<double, CandidateMachine*>> order;
  for (CandidateMachine& s : candidates_) {
    const MachineType* t = s.pool->type;
    if (!t || !offer_allowed(spec, s.pool->offer) || !spec.need.fits_in(t->size)) continue;
    if (s.machine && would_borrow(spec, t)) {
      for (const Allocation& b : s.machine->allocations)
        there += b.gang && b.need.gpus <= 0 ? 1 : 0;
    }
    // What is free now first; machines with accelerators last; those with its images before
    // others.
    double rank = 0;
    if (s.coming) rank += 30;
    if (!spec.need.fits_in(s.room.free())) rank += 20;
    if (would_borrow(spec, t))
      rank += 25 * t->size.gpus;  // each strands what is left of its accelerators
    for (const auto& [image, at] : e.images) {
      if (!(s.machine && s.machine->has_image(image))) rank += 10;
    }
    order.emplace_back(rank, &s);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [rank, s] : order) {
    if (left == 0) break;
    if (!s->kept_for.empty()) continue;
    // Machines with accelerators are dear to hold free: no more of them than the mean asks for,
    // and where a task would strand several, not for a rush that is over.
    if (const MachineType* t = s->pool->type; would_borrow(spec, t)) {
      const uint32_t most = may_borrow(spec, t, Borrowing::cheap) ? h.mean : h.steady;
      left = std::min(left, most > kept + there ? most - kept - there : 0);
    }
    // What it may hold once shorter work there is done: all but what its own kind holds.
    Resources room = s->pool->type->size;
    if (s->machine) {
      for (const Allocation& b : s->machine->allocations) {
        if (b.gang || b.service || b.priority > spec.priority) room -= b.need;
      }
    }
    const uint32_t n = preemption::tasks_in(room, spec.need, left);
    if (n == 0) continue;
    s->kept = spec.need * n;
    s->kept_for = name;
    s->kept_priority = spec.priority;
    left -= n;
    kept += n;
    if (s->machine) plan_.wanted.push_back(s->machine->id);
  }
}

}  // namespace dunlinknot::scheduler
