// Computes when slots on each machine become free, and the earliest set of slots that a gang can
// use.
#include "dunlinknot/scheduler/gang_reservation.hpp"

#include <algorithm>
#include <functional>

#include "dunlinknot/scheduler/task_ends.hpp"

namespace dunlinknot::scheduler {

namespace {

// Room on a machine for one of the gang's tasks.
struct FreeSlot {
  double in_seconds = 0;  // until the slot is free, by the estimates
  CandidateMachine* candidate = nullptr;
};

struct EndingTask {
  double in_seconds = 0;  // until the task ends
  const Allocation* allocation = nullptr;
};

// The array tasks on the machine in the order in which they are expected to end.
std::vector<EndingTask> ending_tasks(const Machine& machine, Instant now) {
  std::vector<EndingTask> tasks;
  for (const Allocation& allocation : machine.allocations) {
    if (!allocation.gang && !allocation.queued && !allocation.service)
      tasks.push_back({seconds_until_end(allocation, now), &allocation});
  }
  std::sort(tasks.begin(), tasks.end(), [](const EndingTask& a, const EndingTask& b) {
    if (a.in_seconds != b.in_seconds) return a.in_seconds < b.in_seconds;
    return std::less<>()(a.allocation, b.allocation);
  });
  return tasks;
}

void add_slots(const JobSpec& spec, CandidateMachine& candidate, Instant now,
               std::vector<FreeSlot>& slots) {
  Resources room = candidate.capacity.free();
  uint32_t found = preemption::tasks_that_fit_in(room, spec.need, spec.tasks);
  slots.insert(slots.end(), found, FreeSlot{0, &candidate});
  for (const EndingTask& task : ending_tasks(*candidate.machine, now)) {
    room += task.allocation->need;
    for (; preemption::tasks_that_fit_in(room, spec.need, spec.tasks) > found; ++found)
      slots.push_back({task.in_seconds, &candidate});
  }
}

// The slots in each zone that the gang may use; under one empty name if it may be in several zones.
std::map<std::string, std::vector<FreeSlot>> slots_by_zone(CycleState& state, const Job& job,
                                                           Borrowing borrowing) {
  const JobSpec& spec = job.spec();
  std::map<std::string, std::vector<FreeSlot>> by_zone;
  for (auto& [offer, pool] : state.candidates.pools()) {
    if (!pool.type || !offer_allowed(spec, offer) ||
        !may_borrow(state, spec, pool.type, borrowing) || !spec.need.fits_in(pool.type->size))
      continue;
    auto& slots = by_zone[spec.one_zone ? offer.zone : std::string()];
    for (CandidateMachine* candidate : pool.ready) {
      const ReservedRoom& reserved = candidate->reserved;
      const bool may_take = !reserved.for_gang && state.reservations_waived(job);
      if (reserved.has_owner() && reserved.owner != spec.job_class && !may_take) continue;
      if (may_use(state, job, *candidate)) add_slots(spec, *candidate, state.inputs.now, slots);
    }
  }
  return by_zone;
}

// The earliest slots that the gang's constraints allow, one per task; empty when there are too few.
std::vector<FreeSlot> earliest_slots(const Cluster& cluster, const Job& job,
                                     std::vector<FreeSlot> slots) {
  std::stable_sort(slots.begin(), slots.end(), [](const FreeSlot& a, const FreeSlot& b) {
    return a.in_seconds < b.in_seconds;
  });
  PlacementConstraints constraints = cluster.constraints_of(job);
  std::vector<FreeSlot> chosen;
  for (const FreeSlot& slot : slots) {
    if (chosen.size() == job.spec().tasks) break;
    if (constraints.tasks_allowed(slot.candidate->zone()) == 0) continue;
    constraints.add(slot.candidate->zone(), 1);
    chosen.push_back(slot);
  }
  if (chosen.size() < job.spec().tasks) chosen.clear();
  return chosen;
}

// The room on the machine for tasks of jobs once all jobs that run there now have ended.
Resources room_once_jobs_end(const CandidateMachine& candidate) {
  Resources room = candidate.capacity.machine().size;
  for (const Allocation& allocation : candidate.capacity.machine().allocations) {
    if (allocation.service) room -= allocation.need;
  }
  return room;
}

}  // namespace

bool GangReservations::fits_once_jobs_end(const Job& job) const {
  const JobSpec& spec = job.spec();
  const PlacementConstraints constraints = state_.cluster().constraints_of(job);
  // By zone if all tasks must be in one zone, else under one empty name.
  std::map<std::string, PlacementConstraints> constraints_by_zone;
  std::map<std::string, uint32_t> tasks_by_zone;
  for (const CandidateMachine& candidate : state_.candidates.all()) {
    if (!offer_allowed(spec, candidate.pool->offer)) continue;
    const std::string zone = spec.one_zone ? candidate.zone() : std::string();
    PlacementConstraints& expected =
        constraints_by_zone.try_emplace(zone, constraints).first->second;
    const uint32_t allowed = std::min(spec.tasks, expected.tasks_allowed(candidate.zone()));
    const uint32_t tasks =
        preemption::tasks_that_fit_in(room_once_jobs_end(candidate), spec.need, allowed);
    expected.add(candidate.zone(), tasks);
    uint32_t& sum = tasks_by_zone[zone];
    sum += tasks;
    if (sum >= spec.tasks) return true;
  }
  return false;
}

bool GangReservations::reserve(const Job& job, Borrowing borrowing, double max_seconds) {
  const JobSpec& spec = job.spec();
  if (reserved_.contains(&job)) return true;
  std::vector<FreeSlot> best;
  for (auto& [zone, slots] : slots_by_zone(state_, job, borrowing)) {
    std::vector<FreeSlot> chosen = earliest_slots(state_.cluster(), job, std::move(slots));
    if (chosen.empty()) continue;
    if (best.empty() || chosen.back().in_seconds < best.back().in_seconds) best = std::move(chosen);
  }
  if (best.empty() || best.back().in_seconds > max_seconds) return false;
  for (const FreeSlot& slot : best) {
    ReservedRoom& reserved = slot.candidate->reserved;
    if (reserved.owner != spec.id) reserved.room = Resources{};
    reserved.room += spec.need;
    reserved.owner = spec.id;
    reserved.for_gang = true;
    reserved.priority = Priority::production;  // so that no other job may use the room
    state_.plan.machines_to_keep.push_back(slot.candidate->machine->id);
  }
  reserved_.insert(&job);
  return true;
}

}  // namespace dunlinknot::scheduler
