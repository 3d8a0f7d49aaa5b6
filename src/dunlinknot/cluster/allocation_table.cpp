// Adding, stopping and ending allocations, including the effect on their gangs.
#include "dunlinknot/cluster/allocation_table.hpp"

#include <algorithm>

#include "dunlinknot/cluster/accelerator_reserve.hpp"
#include "dunlinknot/cluster/find.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

void AllocationTable::clear() {
  jobs_.clear();
  machines_.clear();
  holders_.clear();
  usage_.clear();
  stop_calls_.clear();
  replica_restarts_ = {};
}

Job* AllocationTable::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* AllocationTable::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Machine* AllocationTable::machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : it->second.get();
}

Allocation& AllocationTable::add(Machine& machine, Allocation allocation) {
  if (allocation.queued) {
    ++machine.queued_tasks;
  } else {
    machine.used += allocation.need;
    usage_.add(allocation.team, allocation.need);
  }
  allocation.record_group_size =
      wire::machine_group_size(allocation.task.job, allocation.team_name, allocation.need);
  if (Job* open_job = job(allocation.task.job)) count_for_job(*open_job, allocation);
  holders_.add(allocation.task.job, machine);
  machine.allocations.push_back(std::move(allocation));
  return machine.allocations.back();
}

void AllocationTable::count_for_job(Job& job, const Allocation& allocation) {
  if (allocation.task.index >= job.spec().tasks) return;
  job.add_allocation(allocation.task.index);
  if (allocation.queued) ++job.queued_tasks;
  if (allocation.state == TaskState::running) ++job.running;
  if (allocation.gang) job.gang_attempt = std::max(job.gang_attempt, allocation.attempt);
}

void AllocationTable::count_earlier_allocations(Job& job) {
  for (const Machine* machine : holders(job.spec().id)) {
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.task.job == job.spec().id) count_for_job(job, allocation);
    }
  }
}

template <class Predicate>
PlacementConstraints AllocationTable::count_allocations(const Job& job, Predicate&& which) const {
  PlacementConstraints constraints(job.spec());
  if (!constraints.has_zone_constraint()) return constraints;
  for (const Machine* machine : holders(job.spec().id)) {
    const auto counts = [&](const Allocation& allocation) {
      return allocation.task.job == job.spec().id && which(allocation);
    };
    const auto tasks =
        std::count_if(machine->allocations.begin(), machine->allocations.end(), counts);
    constraints.add(machine->zone, static_cast<uint32_t>(tasks));
  }
  return constraints;
}

PlacementConstraints AllocationTable::constraints_of(const Job& job) const {
  return count_allocations(job, [](const Allocation&) { return true; });
}

PlacementConstraints AllocationTable::constraints_of_sent(const Job& job) const {
  return count_allocations(job, [](const Allocation& allocation) { return !allocation.unsent(); });
}

// Subtracts a removed allocation from the counts of its machine and team, and updates the index by
// job.
void AllocationTable::uncount(Machine& machine, const Allocation& allocation, Instant now) {
  if (allocation.queued) {
    --machine.queued_tasks;
  } else {
    machine.used -= allocation.need;
    usage_.remove(allocation.team, allocation.need);
  }
  if (machine.allocations.empty()) {
    machine.used = Resources{};  // prevents rounding errors from accumulating
    machine.idle_since = now;
  }
  const bool other_tasks = find_where(machine.allocations, [&](const Allocation& other) {
    return other.task.job == allocation.task.job;
  });
  if (!other_tasks) holders_.remove(allocation.task.job, machine);
  machine.shrunk = true;
}

Effects AllocationTable::end(Machine& machine, size_t index, Instant now, GangEffect gang) {
  Effects effects;
  effects.schedule = true;
  const Allocation ended = std::move(machine.allocations[index]);
  machine.allocations.erase(machine.allocations.begin() + static_cast<ptrdiff_t>(index));
  uncount(machine, ended, now);
  Job* open_job = job(ended.task.job);
  if (!open_job || ended.task.index >= open_job->spec().tasks) return effects;
  if (ended.queued) --open_job->queued_tasks;
  if (ended.state == TaskState::running && open_job->running > 0) --open_job->running;
  if (ended.service) replica_restarts_.count(ended, machine);
  open_job->remove_allocation(ended.task.index);
  if (open_job->is_done(ended.task.index)) return effects;
  open_job->waiting_since = now;
  open_job->held_back_since = now;
  if (ended.gang && gang == GangEffect::breaks)
    break_gang(ended.task.job, ended.attempt, now, effects);
  return effects;
}

Effects AllocationTable::end_all(Machine& machine, Instant now) {
  Effects effects;
  while (!machine.allocations.empty()) effects |= end(machine, machine.allocations.size() - 1, now);
  return effects;
}

// A gang that lost a task cannot complete. The other tasks are stopped immediately instead of
// waiting for them to detect the loss, so that the next attempt can start sooner. Tasks that are
// already stopping with a grace period may finish saving their checkpoint.
void AllocationTable::break_gang(const std::string& id, uint64_t attempt, Instant now,
                                 Effects& effects) {
  for (Machine* machine : std::vector(holders(id))) {
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      if (i >= machine->allocations.size()) continue;
      Allocation& allocation = machine->allocations[i];
      if (allocation.task.job != id || allocation.attempt != attempt) continue;
      if (allocation.unsent()) {
        effects |= end(*machine, i, now, GangEffect::survives);
      } else if (!allocation.stopping()) {
        stop(*machine, allocation, StopReason::gang_broken, Seconds(0), now);
        effects.stops = true;
      }
    }
  }
}

// An orphan is running on its machine regardless of what was planned meanwhile. Unsent allocations
// that the constraints do not allow in addition to it are ended before their tasks can start, and
// are planned again. A gang is broken as a whole: none of its attempts may start until the orphan,
// which is being stopped, has ended.
Effects AllocationTable::end_conflicts_with_orphan(const Job& job, const TaskRef& orphan,
                                                   Instant now) {
  const std::string& id = job.spec().id;
  if (job.spec().gang) {
    Effects effects;
    std::set<uint64_t> attempts;
    for (const Machine* machine : holders(id)) {
      for (const Allocation& allocation : machine->allocations) {
        if (allocation.task.job == id) attempts.insert(allocation.attempt);
      }
    }
    for (const uint64_t attempt : attempts) break_gang(id, attempt, now, effects);
    return effects;
  }
  PlacementConstraints constraints = constraints_of_sent(job);
  return end_unsent(id, now, [&](const Machine& machine, const Allocation& allocation) {
    if (allocation.task == orphan || constraints.tasks_allowed(machine.zone) == 0) return true;
    constraints.add(machine.zone, 1);
    return false;
  });
}

void AllocationTable::stop(Machine& machine, Allocation& allocation, StopReason reason,
                           Seconds grace, Instant now) {
  if (allocation.stopping() && allocation.grace <= grace) return;
  allocation.stop = reason;
  allocation.grace = grace;
  allocation.stop_at = now;
  stop_calls_.add(machine);
}

void AllocationTable::stop_gang(const std::string& id, uint64_t attempt, Seconds grace,
                                Instant now) {
  for (Machine* machine : holders(id)) {
    for (Allocation& allocation : machine->allocations) {
      if (allocation.task.job == id && allocation.attempt == attempt && !allocation.stopping())
        stop(*machine, allocation, StopReason::interruption, grace, now);
    }
  }
}

bool AllocationTable::withdraw_queued(const std::string& id, Instant now) {
  const auto is_queued = [&](const Allocation& allocation) {
    return allocation.queued && allocation.task.job == id;
  };
  Machine* busiest = nullptr;
  for (Machine* machine : holders(id)) {
    if (find_where(machine->allocations, is_queued) &&
        (!busiest || machine->queued_tasks > busiest->queued_tasks))
      busiest = machine;
  }
  if (!busiest) return false;
  for (size_t i = busiest->allocations.size(); i-- > 0;) {
    if (!is_queued(busiest->allocations[i])) continue;
    (void)end(*busiest, i, now);
    return true;
  }
  return false;
}

// Resources that a task frees are used immediately by a task that is queued on the machine. Its
// allocation is already durable, so its `run` is sent in the response to the same heartbeat that
// reported the free resources.
void AllocationTable::start_queued(Machine& machine, const Resources& reserved_per_gpu,
                                   Instant now) {
  if (machine.queued_tasks == 0) return;
  std::vector<Allocation*> waiting;
  for (Allocation& allocation : machine.allocations) {
    if (allocation.queued && allocation.phase == AllocationPhase::durable)
      waiting.push_back(&allocation);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const Allocation* a, const Allocation* b) {
    return a->queue_position.before(b->queue_position);
  });
  for (Allocation* allocation : waiting) {
    Job* open_job = job(allocation->task.job);
    if (!open_job || open_job->is_done(allocation->task.index) || now < open_job->not_before)
      continue;
    Resources room = machine.free() - machine.reserved;
    if (allocation->need.gpus <= 0)
      room -= reserved_for_accelerators(machine.size, machine.free(), reserved_per_gpu);
    if (!allocation->need.fits_in(room)) continue;
    // Safety 4, team limits are counted over allocations: from here on the task counts towards its
    // team's limit.
    if (!usage_.allows(allocation->team, allocation->need)) continue;
    usage_.add(allocation->team, allocation->need);
    allocation->queued = false;
    --machine.queued_tasks;
    --open_job->queued_tasks;
    open_job->held_back_since = now;
    machine.used += allocation->need;
  }
}

}  // namespace dunlinknot::cluster
