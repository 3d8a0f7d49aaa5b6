// Computes capacity with holds and victims, and simulates which victims to stop on one machine.
#include "dunlinknot/preemption/fit.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::preemption {

namespace {

using cluster::Allocation;

// How long a replica of a service is down while it moves: until its replacement has started.
constexpr Seconds kReplicaMoveDowntime{15};
// The number of cores that one accelerator counts for in lost work.
constexpr double kCoresPerGpu = 8;
// Minimum weight in cores, since stopping a task that needs (almost) no cores is not free either.
constexpr double kMinCoreWeight = 0.1;

// An allocation that may be stopped for the preemptor.
struct Removable {
  size_t index;              // in Machine::allocations
  bool is_victim;            // already on the machine's victim list
  double lost_core_seconds;  // see lost_work()
};

bool on_list(const std::vector<Victim>* victims, const Allocation& allocation) {
  return victims && std::any_of(victims->begin(), victims->end(), [&](const Victim& victim) {
           return victim.attempt == allocation.attempt && victim.task == allocation.task;
         });
}

// Whether the team's usage beyond its guarantee includes the allocation, in at least one resource
// that the allocation uses: only that part may be taken back.
bool covers(const Resources& over_guarantee, const Resources& need) {
  return (need.cpus > 0 && over_guarantee.cpus + Resources::kTolerance >= need.cpus) ||
         (need.gpus > 0 && over_guarantee.gpus + Resources::kTolerance >= need.gpus);
}

// Subtracts the allocation from its team's usage beyond its guarantee; returns false when it must
// not be stopped. Jobs within their guarantee are never stopped: otherwise two teams, both with
// work within their guarantees, would preempt each other forever.
bool try_reclaim(const Allocation& allocation, const Eligibility& preemptor,
                 std::vector<Resources>& over_guarantee) {
  if (!preemptor.within_guarantee || allocation.team < 0 || allocation.team == preemptor.team)
    return false;
  if (preemptor.guaranteed_jobs && preemptor.guaranteed_jobs->contains(allocation.task.job))
    return false;
  Resources& over = over_guarantee[static_cast<size_t>(allocation.team)];
  if (!covers(over, allocation.need)) return false;
  over -= allocation.need;
  return true;
}

std::vector<Removable> removable_allocations(const cluster::Machine& machine,
                                             const std::vector<Victim>* victims,
                                             const cluster::Cluster& cluster,
                                             const Eligibility& preemptor, Instant now) {
  std::vector<Removable> removable;
  std::vector<Resources> over_guarantee;
  if (preemptor.over_guarantee) over_guarantee = *preemptor.over_guarantee;
  for (size_t i = 0; i < machine.allocations.size(); ++i) {
    const Allocation& allocation = machine.allocations[i];
    // Gangs are never victims, and queued tasks take no room.
    if (allocation.gang || allocation.queued) continue;
    const bool is_victim = on_list(victims, allocation);
    // The task is being stopped for another reason, so it is unknown when its room becomes free.
    if (allocation.stopping() && !is_victim) continue;
    const bool allowed = allocation.priority < preemptor.priority || is_victim ||
                         try_reclaim(allocation, preemptor, over_guarantee);
    if (!allowed) continue;
    removable.push_back(
        {i, is_victim, lost_work(allocation, cluster.job(allocation.task.job), now)});
  }
  return removable;
}

// Sorts by priority, highest first, then by lost work, most first.
void sort_most_costly_first(std::vector<Removable>& removable, const cluster::Machine& machine) {
  std::sort(removable.begin(), removable.end(), [&](const Removable& a, const Removable& b) {
    const Priority priority_a = machine.allocations[a.index].priority;
    const Priority priority_b = machine.allocations[b.index].priority;
    if (priority_a != priority_b) return priority_a > priority_b;
    if (a.lost_core_seconds != b.lost_core_seconds)
      return a.lost_core_seconds > b.lost_core_seconds;
    return a.index < b.index;
  });
}

}  // namespace

uint32_t tasks_that_fit_in(const Resources& room, const Resources& need, uint32_t max_tasks) {
  const auto limit = [&](double available, double per_task) {
    if (available + Resources::kTolerance < per_task) max_tasks = 0;
    if (max_tasks == 0 || per_task <= 0) return;
    const double fitting_tasks = std::floor((available + Resources::kTolerance) / per_task);
    if (fitting_tasks < max_tasks) max_tasks = static_cast<uint32_t>(fitting_tasks);
  };
  limit(room.cpus, need.cpus);
  limit(room.gpus, need.gpus);
  limit(room.memory_gb, need.memory_gb);
  return max_tasks;
}

MachineCapacity::MachineCapacity(const cluster::Machine& machine, const Nominations& nominations,
                                 const Resources& size)
    : machine_(&machine), free_(size - machine.used) {
  if (const auto* victims = nominations.victims_on(machine.id)) {
    for (const Allocation& allocation : machine.allocations) {
      if (on_list(victims, allocation)) victims_ += allocation.need;
    }
  }
  for (const uint64_t id : nominations.on_machine(machine.id)) {
    const Nomination& nomination = nominations.all().at(id);
    add_hold(id, nomination.room, nomination.priority);
  }
}

std::optional<Resources> MachineCapacity::held_against(Priority priority,
                                                       uint64_t ignored_nomination) const {
  std::optional<Resources> held;
  for (const Hold& hold : holds_) {
    if (hold.nomination == ignored_nomination || hold.priority < priority) continue;
    if (!held) held.emplace();
    *held += hold.room;
  }
  return held;
}

bool MachineCapacity::fits(const Resources& need, Priority priority, uint64_t ignored_nomination,
                           const Resources& removed, const Resources& removed_victims) const {
  const Resources free_after_removal = free_ + removed;
  if (!need.fits_in(free_after_removal)) return false;  // pass 2: without the holds
  const std::optional<Resources> held = held_against(priority, ignored_nomination);
  if (!held) return true;
  // Pass 1: subtracts victims that are still allocated and adds the holds. Victims that the
  // simulation has removed already are not subtracted a second time.
  return need.fits_in(free_after_removal + (victims_ - removed_victims) - *held);
}

uint32_t MachineCapacity::count(const Resources& need, Priority priority,
                                uint32_t max_tasks) const {
  max_tasks = tasks_that_fit_in(free_, need, max_tasks);  // pass 2
  // 0 is not the id of any nomination, so no hold is ignored.
  const std::optional<Resources> held = held_against(priority, 0);
  return held ? tasks_that_fit_in(free_ + victims_ - *held, need, max_tasks) : max_tasks;
}

Resources MachineCapacity::held() const {
  Resources sum;
  for (const Hold& hold : holds_) sum += hold.room;
  return sum;
}

void MachineCapacity::add_hold(uint64_t nomination, const Resources& room, Priority priority) {
  holds_.push_back({nomination, room, priority});
}

void MachineCapacity::end_hold(uint64_t nomination) {
  std::erase_if(holds_, [&](const Hold& hold) { return hold.nomination == nomination; });
}

double lost_work(const Allocation& allocation, const cluster::Job* job, Instant now) {
  if (allocation.running_since == Instant{}) return 0;
  // A replica loses only the time until its replacement runs, no matter how long it has run.
  if (allocation.service)
    return kReplicaMoveDowntime.count() * std::max(allocation.need.cpus, kMinCoreWeight);
  const double elapsed_seconds = std::max(0.0, to_seconds(now - allocation.running_since).count());
  const double weight =
      std::max({allocation.need.cpus, allocation.need.gpus * kCoresPerGpu, kMinCoreWeight});
  if (job && job->spec().checkpoint_interval > Seconds(0))
    return job->spec().checkpoint_duration.count() * weight;
  return elapsed_seconds * weight;
}

std::optional<VictimSet> simulate(const MachineCapacity& capacity, const Nominations& nominations,
                                  const cluster::Cluster& cluster, const Resources& need,
                                  uint64_t ignored_nomination, const Eligibility& preemptor,
                                  Instant now) {
  const cluster::Machine& machine = capacity.machine();
  std::vector<Removable> removable =
      removable_allocations(machine, nominations.victims_on(machine.id), cluster, preemptor, now);
  if (removable.empty()) return std::nullopt;
  Resources removed, removed_victims;
  for (const Removable& candidate : removable) {
    const Resources& freed = machine.allocations[candidate.index].need;
    removed += freed;
    if (candidate.is_victim) removed_victims += freed;
  }
  const auto fits_with = [&](const Resources& freed) {
    return capacity.fits(need, preemptor.priority, ignored_nomination, freed, removed_victims);
  };
  if (!fits_with(removed)) return std::nullopt;
  // Restore allocations that need not be stopped, the most costly first. Tasks that are being
  // stopped already cost nothing more and stay removed.
  sort_most_costly_first(removable, machine);
  VictimSet chosen;
  for (const Removable& candidate : removable) {
    const Allocation& allocation = machine.allocations[candidate.index];
    if (!candidate.is_victim) {
      const Resources fewer = removed - allocation.need;
      if (fits_with(fewer)) {
        removed = fewer;
        continue;
      }
      chosen.lost_core_seconds += candidate.lost_core_seconds;
    }
    chosen.victims.push_back({allocation.task, allocation.attempt});
    chosen.allocation_indices.push_back(candidate.index);
    chosen.highest_priority =
        std::max(chosen.highest_priority, static_cast<int>(allocation.priority));
  }
  return chosen;
}

}  // namespace dunlinknot::preemption
