// When places on each machine come free, and the soonest set of them that a gang can use.
#include "dunlinknot/scheduler/gang_reservation.hpp"

#include <algorithm>
#include <functional>

namespace dunlinknot::scheduler {

namespace {

// A task that has not started is taken to need its estimate and half as much for its fetch.
constexpr double kNotStartedFactor = 1.5;
// A task that runs over its estimate may end at any time: so much of the estimate is left, one in.
constexpr double kOverrunPart = 4;

// Room for one of the gang's tasks.
struct Place {
  double in = 0;  // seconds until it is free, by the estimates
  CandidateMachine* candidate = nullptr;
};

struct EndingTask {
  double in = 0;  // seconds
  const Allocation* allocation = nullptr;
};

// Seconds until the task ends, by its owner's estimate.
double ends_in(const Allocation& allocation, Instant now) {
  if (allocation.service) return std::numeric_limits<double>::max();
  const double run = std::max(1.0, allocation.estimate.count());
  if (allocation.running_since == Instant{}) return run * kNotStartedFactor;
  const double ran = to_seconds(now - allocation.running_since).count();
  return ran < run ? run - ran : run / kOverrunPart;
}

// Tasks of arrays on the machine, the first to end first.
std::vector<EndingTask> ending_tasks(const Machine& machine, Instant now) {
  std::vector<EndingTask> tasks;
  for (const Allocation& allocation : machine.allocations) {
    if (!allocation.gang && !allocation.queued && !allocation.service)
      tasks.push_back({ends_in(allocation, now), &allocation});
  }
  std::sort(tasks.begin(), tasks.end(), [](const EndingTask& a, const EndingTask& b) {
    if (a.in != b.in) return a.in < b.in;
    return std::less<>()(a.allocation, b.allocation);
  });
  return tasks;
}

void add_places(const JobSpec& spec, CandidateMachine& candidate, Instant now,
                std::vector<Place>& places) {
  Resources room = candidate.capacity.free();
  uint32_t found = preemption::tasks_in(room, spec.need, spec.tasks);
  places.insert(places.end(), found, Place{0, &candidate});
  for (const EndingTask& task : ending_tasks(*candidate.machine, now)) {
    room += task.allocation->need;
    for (; preemption::tasks_in(room, spec.need, spec.tasks) > found; ++found)
      places.push_back({task.in, &candidate});
  }
}

// The places in each zone that the gang may be in; all under one name if it may be in several.
std::map<std::string, std::vector<Place>> places_by_zone(CycleState& state, const Job& job,
                                                         Borrowing borrowing) {
  const JobSpec& spec = job.spec();
  std::map<std::string, std::vector<Place>> by_zone;
  for (auto& [offer, pool] : state.candidates.pools()) {
    if (!pool.type || !offer_allowed(spec, offer) ||
        !may_borrow(state, spec, pool.type, borrowing) || !spec.need.fits_in(pool.type->size))
      continue;
    auto& places = by_zone[spec.one_zone ? offer.zone : std::string()];
    for (CandidateMachine* candidate : pool.ready) {
      const ReservedRoom& reserved = candidate->reserved;
      if (reserved.taken() && reserved.owner != spec.job_class) continue;
      if (may_use(state, job, *candidate)) add_places(spec, *candidate, state.inputs.now, places);
    }
  }
  return by_zone;
}

// A place for each of the gang's tasks, the soonest that its constraints allow; none when there
// are too few.
std::vector<Place> soonest_places(const Cluster& cluster, const Job& job,
                                  std::vector<Place> places) {
  std::stable_sort(places.begin(), places.end(),
                   [](const Place& a, const Place& b) { return a.in < b.in; });
  PlacementConstraints constraints = cluster.constraints_of(job);
  std::vector<Place> chosen;
  for (const Place& place : places) {
    if (chosen.size() == job.spec().tasks) break;
    if (constraints.tasks_allowed(place.candidate->zone()) == 0) continue;
    constraints.add(place.candidate->zone(), 1);
    chosen.push_back(place);
  }
  if (chosen.size() < job.spec().tasks) chosen.clear();
  return chosen;
}

}  // namespace

bool GangReservations::reserve(const Job& job, Borrowing borrowing, double most_seconds) {
  const JobSpec& spec = job.spec();
  if (reserved_.contains(&job)) return true;
  std::vector<Place> best;
  for (auto& [zone, places] : places_by_zone(state_, job, borrowing)) {
    std::vector<Place> chosen = soonest_places(state_.cluster(), job, std::move(places));
    if (chosen.empty()) continue;
    if (best.empty() || chosen.back().in < best.back().in) best = std::move(chosen);
  }
  if (best.empty() || best.back().in > most_seconds) return false;
  for (const Place& place : best) {
    ReservedRoom& reserved = place.candidate->reserved;
    if (reserved.owner != spec.id) reserved.room = Resources{};
    reserved.room += spec.need;
    reserved.owner = spec.id;
    reserved.priority = Priority::production;  // no ordinary work may take its room
    state_.plan.machines_to_keep.push_back(place.candidate->machine->id);
  }
  reserved_.insert(&job);
  return true;
}

}  // namespace dunlinknot::scheduler
