// Allocations: how they are made, stopped and ended, and what their end means for their gang.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

void Cluster::add_allocation(Machine& machine, Allocation allocation) {
  if (allocation.queued) {
    ++machine.queued_tasks;
  } else {
    machine.used += allocation.need;
    if (allocation.team >= 0) usage_[static_cast<size_t>(allocation.team)].used += allocation.need;
  }
  allocation.record_group_size =
      wire::machine_group_size(allocation.task.job, allocation.team_name, allocation.need);
  if (Job* open_job = job(allocation.task.job)) count_for_job(*open_job, allocation);
  auto& holders = holders_[allocation.task.job];
  if (std::find(holders.begin(), holders.end(), &machine) == holders.end())
    holders.push_back(&machine);
  machine.allocations.push_back(std::move(allocation));
}

void Cluster::count_for_job(Job& job, const Allocation& allocation) {
  if (allocation.task.index >= job.spec().tasks) return;
  job.add_allocation(allocation.task.index);
  if (allocation.queued) ++job.queued_tasks;
  if (allocation.state == TaskState::running) ++job.running;
  if (allocation.gang) job.gang_attempt = std::max(job.gang_attempt, allocation.attempt);
}

const std::vector<Machine*>& Cluster::holders(const std::string& job) const {
  static const std::vector<Machine*> none;
  const auto it = holders_.find(job);
  return it == holders_.end() ? none : it->second;
}

Effects Cluster::end_allocation(Machine& machine, size_t i, Instant now, bool gang_goes_on) {
  Effects effects;
  const Allocation claim = std::move(machine.allocations[i]);
  machine.allocations.erase(machine.allocations.begin() + static_cast<ptrdiff_t>(i));
  if (claim.queued) {
    --machine.queued_tasks;
  } else {
    machine.used -= claim.need;
    if (claim.team >= 0) usage_[static_cast<size_t>(claim.team)].used -= claim.need;
  }
  if (machine.allocations.empty()) {
    machine.used = Resources{};
    machine.idle_since = now;
  }
  if (!find_where(machine.allocations, [&](const Allocation& allocation) {
        return allocation.task.job == claim.task.job;
      })) {
    const auto holders = holders_.find(claim.task.job);
    std::erase(holders->second, &machine);
    if (holders->second.empty()) holders_.erase(holders);
  }
  machine.trailing = true;
  effects.schedule = true;
  Job* open_job = job(claim.task.job);
  if (!open_job || claim.task.index >= open_job->spec().tasks) return effects;
  if (claim.queued) --open_job->queued_tasks;
  if (claim.state == TaskState::running && open_job->running > 0) --open_job->running;
  if (claim.service) count_restart(claim, machine);
  open_job->remove_allocation(claim.task.index);
  if (!open_job->is_done(claim.task.index)) open_job->waiting_since = now;
  if (claim.gang && !gang_goes_on && !open_job->is_done(claim.task.index)) {
    break_gang(claim.task.job, claim.attempt, now, effects);
  }
  return effects;
}

// A gang that lost a task will not go on: the rest is stopped at once rather than left to find out,
// so that the next attempt need not wait for it. A gang told to save is left to its saving.
void Cluster::break_gang(const std::string& id, uint64_t attempt, Instant now, Effects& effects) {
  for (Machine* machine : std::vector(holders(id))) {
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      if (i >= machine->allocations.size()) continue;
      Allocation& allocation = machine->allocations[i];
      if (allocation.task.job != id || allocation.attempt != attempt) continue;
      if (allocation.unsent()) {
        effects |= end_allocation(*machine, i, now, true);
      } else if (!allocation.stopping()) {
        stop(*machine, allocation, StopReason::gang_broken, Seconds(0), now);
        effects.stops = true;
      }
    }
  }
}

template <class Predicate>
PlacementConstraints Cluster::count_allocations(const Job& job, Predicate&& which) const {
  PlacementConstraints constraints(job.spec());
  if (!constraints.zone_bound()) return constraints;
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

PlacementConstraints Cluster::constraints_of(const Job& job) const {
  return count_allocations(job, [](const Allocation&) { return true; });
}

PlacementConstraints Cluster::constraints_of_sent(const Job& job) const {
  return count_allocations(job, [](const Allocation& allocation) { return !allocation.unsent(); });
}

// Safety 4: a job's allocations never break its constraints, so neither do its tasks, which are
// only where it has allocations.
bool Cluster::may_allocate(const Machine& machine, Job& job, uint32_t index) {
  const bool allowed = pool_allowed(job.spec(), machine.type, machine.zone, machine.spot) &&
                       constraints_of(job).tasks_allowed(machine.zone) > 0;
  if (allowed) return true;
  job.requeue(index);
  ++refused_allocations_;
  spdlog::error("an allocation of {} on machine {} ({} in {}) violates its placement constraints",
                TaskRef{job.spec().id, index}.text(), machine.id, machine.type, machine.zone);
  return false;
}

Allocation* Cluster::allocate(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                              Instant now) {
  if (!may_allocate(machine, job, index)) return nullptr;
  add_allocation(machine, make_allocation(machine, job, index, attempt, now));
  return &machine.allocations.back();
}

Allocation* Cluster::queue_on(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                              QueuePosition queue_position, Instant now) {
  if (!may_allocate(machine, job, index)) return nullptr;
  Allocation allocation = make_allocation(machine, job, index, attempt, now);
  allocation.queued = true;
  allocation.queue_position = queue_position;
  add_allocation(machine, std::move(allocation));
  return &machine.allocations.back();
}

Allocation Cluster::make_allocation(Machine& machine, const Job& job, uint32_t index,
                                    uint64_t attempt, Instant now) {
  Allocation allocation;
  allocation.task = TaskRef{job.spec().id, index};
  allocation.attempt = attempt;
  allocation.team = job.team();
  allocation.team_name = job.spec().team;
  allocation.need = job.spec().need;
  allocation.image = job.spec().image;
  allocation.estimate = job.spec().estimate;
  allocation.gang = job.spec().gang;
  allocation.service = job.spec().service;
  allocation.priority = job.spec().priority;
  allocation.placed_at = now;
  note_image(machine, job);
  mark_dirty(machine, allocation.gang || allocation.service);
  return allocation;
}

bool Cluster::withdraw_queued(const std::string& id, Instant now) {
  Machine* most = nullptr;
  for (Machine* machine : holders(id)) {
    const bool any = find_where(machine->allocations, [&](const Allocation& allocation) {
      return allocation.queued && allocation.task.job == id;
    });
    if (any && (!most || machine->queued_tasks > most->queued_tasks)) most = machine;
  }
  if (!most) return false;
  for (size_t i = most->allocations.size(); i-- > 0;) {
    const Allocation& allocation = most->allocations[i];
    if (!allocation.queued || allocation.task.job != id) continue;
    (void)end_allocation(*most, i, now);
    return true;
  }
  return false;
}

void Cluster::set_held(const std::map<std::string, Resources>& by_machine,
                       std::vector<Resources> by_team) {
  for (Machine* machine : held_machines_) machine->held = Resources{};
  held_machines_.clear();
  for (const auto& [id, room] : by_machine) {
    Machine* machine = find_machine(id);
    if (!machine) continue;
    machine->held = room;
    held_machines_.push_back(machine);
  }
  saved_ = std::move(by_team);
}

// The room that a task leaves is taken at once by one that waits for it on the machine: its
// allocation stands already, so its `run` goes out with the answer to the very heartbeat that told
// of the room.
void Cluster::start_queued(Machine& machine, Instant now) {
  if (machine.queued_tasks == 0) return;
  std::vector<Allocation*> waiting;
  for (Allocation& allocation : machine.allocations) {
    if (allocation.queued && allocation.phase == Phase::durable) waiting.push_back(&allocation);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const Allocation* a, const Allocation* b) {
    return a->queue_position.before(b->queue_position);
  });
  for (Allocation* allocation : waiting) {
    Job* open_job = job(allocation->task.job);
    if (!open_job || open_job->is_done(allocation->task.index) || now < open_job->not_before)
      continue;
    // Work without accelerators leaves beside each free one what its next task will need.
    Resources room = machine.free() - machine.held;
    if (allocation->need.gpus <= 0 && machine.free().gpus > 0)
      room -= resources_per_gpu_ * machine.free().gpus;
    if (!allocation->need.fits_in(room)) continue;
    if (allocation->team >= 0) {
      // Safety 4: its team's limit counts it from here on.
      const auto t = static_cast<size_t>(allocation->team);
      Resources used = usage_[t].used + allocation->need;
      if (t < saved_.size()) used += saved_[t];
      const auto over = [](double most, double in_use, double need) {
        return most > 0 && need > 0 && in_use > most + Resources::kSlack;
      };
      const auto& team = platform_.teams[t];
      if (over(team.cpus_max, used.cpus, allocation->need.cpus)) continue;
      if (over(team.gpus_max, used.gpus, allocation->need.gpus)) continue;
      usage_[t].used += allocation->need;
    }
    allocation->queued = false;
    --machine.queued_tasks;
    --open_job->queued_tasks;
    machine.used += allocation->need;
  }
}

void Cluster::note_image(Machine& machine, const Job& job) {
  const std::string& image = job.spec().image;
  std::erase_if(machine.images, [&](const auto& i) { return i.name == image; });
  machine.images.push_back({image, job.spec().image_gb});
  double total = 0;
  for (const auto& i : machine.images) total += i.gb;
  while (machine.images.size() > 1 && total > machine.cache_gb) {
    total -= machine.images.front().gb;
    machine.images.erase(machine.images.begin());
  }
}

void Cluster::stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
                   Instant now) {
  if (allocation.stopping() && allocation.grace <= grace)
    return;  // never milder than it was told before
  allocation.stop = reason;
  allocation.grace = grace;
  allocation.stop_at = now;
  if (std::find(stop_machines_.begin(), stop_machines_.end(), machine.id) == stop_machines_.end()) {
    stop_machines_.push_back(machine.id);
  }
}

Effects Cluster::preempt(Machine& machine, const TaskRef& task, uint64_t attempt, Instant now) {
  Effects effects;
  Allocation* allocation = machine.find(task, attempt);
  if (!allocation || allocation->stopping()) return effects;
  if (allocation->unsent()) {
    // No worker will ever report it, so nothing would end it once it counted as being stopped.
    return end_allocation(machine, static_cast<size_t>(allocation - machine.allocations.data()),
                          now);
  }
  const Job* open_job = job(task.job);
  const bool saves = open_job && open_job->spec().checkpoint > Seconds(0);
  stop(machine, *allocation, StopReason::preempted,
       saves ? open_job->spec().save + Seconds(1) : Seconds(0), now);
  effects.stops = true;
  return effects;
}

template <class Predicate>
Effects Cluster::end_unsent(const std::string& id, Instant now, Predicate&& which) {
  Effects effects;
  for (Machine* machine : std::vector(holders(id))) {
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      if (i >= machine->allocations.size()) continue;  // the end of one may end others
      const Allocation& allocation = machine->allocations[i];
      if (allocation.task.job == id && allocation.unsent() && which(*machine, allocation))
        effects |= end_allocation(*machine, i, now);
    }
  }
  return effects;
}

Effects Cluster::drop_unsent(const std::string& id, Instant now) {
  return end_unsent(id, now, [](const Machine&, const Allocation& allocation) {
    return allocation.phase == Phase::planned;
  });
}

Effects Cluster::drop_planned(Machine& machine, Instant now) {
  Effects effects;
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    if (i >= machine.allocations.size()) continue;  // the end of one may end others
    if (machine.allocations[i].phase == Phase::planned) effects |= end_allocation(machine, i, now);
  }
  return effects;
}

// An orphan task is on its machine, whatever was planned meanwhile. What was not sent and may not
// stand beside it is undone before it can start, to be planned anew. A gang is broken as a whole:
// none of its attempts may start until the orphan, which is being stopped, is gone.
Effects Cluster::make_way_for(const Job& job, const TaskRef& orphan, Instant now) {
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

std::vector<StopCall> Cluster::drain_stop_calls() {
  std::vector<StopCall> calls;
  for (const auto& id : stop_machines_) {
    Machine* machine = find_machine(id);
    if (!machine || machine->address.empty() || !machine->has_heartbeat || machine->lost) continue;
    StopCall call{machine->id, machine->address, machine->incarnation, {}};
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.stopping() && !allocation.unsent()) {
        call.commands.push_back(
            {Command::Op::stop, allocation.task, allocation.attempt, allocation.grace});
      }
    }
    if (!call.commands.empty()) calls.push_back(std::move(call));
  }
  stop_machines_.clear();
  return calls;
}

void Cluster::stop_gang(const std::string& id, uint64_t attempt, Seconds grace, Instant now) {
  for (Machine* machine : holders(id)) {
    for (Allocation& allocation : machine->allocations) {
      if (allocation.task.job == id && allocation.attempt == attempt && !allocation.stopping()) {
        stop(*machine, allocation, StopReason::interruption, grace, now);
      }
    }
  }
}

size_t Cluster::allocation_count() const {
  size_t n = 0;
  for (const auto& [id, machine] : machines_) n += machine->allocations.size();
  return n;
}

}  // namespace dunlinknot::cluster
