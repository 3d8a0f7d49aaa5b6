// Allocations: how they are made, stopped and ended, and what their end means for their gang.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

void Cluster::add_allocation(Machine& h, Allocation b) {
  if (b.queued) {
    ++h.queued_tasks;
  } else {
    h.used += b.need;
    if (b.team >= 0) usage_[static_cast<size_t>(b.team)].used += b.need;
  }
  b.record_group_size = wire::machine_group_size(b.task.job, b.team_name, b.need);
  if (Job* j = job(b.task.job)) count_for_job(*j, b);
  auto& holders = holders_[b.task.job];
  if (std::find(holders.begin(), holders.end(), &h) == holders.end()) holders.push_back(&h);
  h.allocations.push_back(std::move(b));
}

void Cluster::count_for_job(Job& j, const Allocation& b) {
  if (b.task.index >= j.spec().tasks) return;
  j.add_allocation(b.task.index);
  if (b.queued) ++j.queued_tasks;
  if (b.state == TaskState::running) ++j.running;
  if (b.gang) j.gang_attempt = std::max(j.gang_attempt, b.attempt);
}

const std::vector<Machine*>& Cluster::holders(const std::string& job) const {
  static const std::vector<Machine*> none;
  const auto it = holders_.find(job);
  return it == holders_.end() ? none : it->second;
}

Effects Cluster::end_allocation(Machine& h, size_t i, Instant now, bool gang_goes_on) {
  Effects effects;
  const Allocation b = std::move(h.allocations[i]);
  h.allocations.erase(h.allocations.begin() + static_cast<ptrdiff_t>(i));
  if (b.queued) {
    --h.queued_tasks;
  } else {
    h.used -= b.need;
    if (b.team >= 0) usage_[static_cast<size_t>(b.team)].used -= b.need;
  }
  if (h.allocations.empty()) {
    h.used = Resources{};
    h.idle_since = now;
  }
  if (!find_where(h.allocations, [&](const Allocation& o) { return o.task.job == b.task.job; })) {
    const auto holders = holders_.find(b.task.job);
    std::erase(holders->second, &h);
    if (holders->second.empty()) holders_.erase(holders);
  }
  h.trailing = true;
  effects.schedule = true;
  Job* j = job(b.task.job);
  if (!j || b.task.index >= j->spec().tasks) return effects;
  if (b.queued) --j->queued_tasks;
  if (b.state == TaskState::running && j->running > 0) --j->running;
  if (b.service) count_restart(b, h);
  j->remove_allocation(b.task.index);
  if (!j->is_done(b.task.index)) j->waiting_since = now;
  if (b.gang && !gang_goes_on && !j->is_done(b.task.index)) {
    break_gang(b.task.job, b.attempt, now, effects);
  }
  return effects;
}

// A gang that lost a task will not go on: the rest is stopped at once rather than left to find out,
// so that the next attempt need not wait for it. A gang told to save is left to its saving.
void Cluster::break_gang(const std::string& id, uint64_t attempt, Instant now, Effects& effects) {
  for (Machine* h : std::vector(holders(id))) {
    for (size_t i = h->allocations.size(); i-- > 0;) {
      if (i >= h->allocations.size()) continue;
      Allocation& b = h->allocations[i];
      if (b.task.job != id || b.attempt != attempt) continue;
      if (b.unsent()) {
        effects |= end_allocation(*h, i, now, true);
      } else if (!b.stopping()) {
        stop(*h, b, StopReason::gang_broken, Seconds(0), now);
        effects.stops = true;
      }
    }
  }
}

template <class Predicate>
PlacementConstraints Cluster::count_allocations(const Job& j, Predicate&& which) const {
  PlacementConstraints constraints(j.spec());
  if (!constraints.zone_bound()) return constraints;
  for (const Machine* h : holders(j.spec().id)) {
    const auto counts = [&](const Allocation& b) { return b.task.job == j.spec().id && which(b); };
    const auto tasks = std::count_if(h->allocations.begin(), h->allocations.end(), counts);
    constraints.add(h->zone, static_cast<uint32_t>(tasks));
  }
  return constraints;
}

PlacementConstraints Cluster::constraints_of(const Job& j) const {
  return count_allocations(j, [](const Allocation&) { return true; });
}

PlacementConstraints Cluster::constraints_of_sent(const Job& j) const {
  return count_allocations(j, [](const Allocation& b) { return !b.unsent(); });
}

// Safety 4: a job's allocations never break its constraints, so neither do its tasks, which are
// only where it has allocations.
bool Cluster::may_allocate(const Machine& h, Job& j, uint32_t index) {
  const bool allowed =
      pool_allowed(j.spec(), h.type, h.zone, h.spot) && constraints_of(j).tasks_allowed(h.zone) > 0;
  if (allowed) return true;
  j.requeue(index);
  ++refused_allocations_;
  spdlog::error("an allocation of {} on machine {} ({} in {}) violates its placement constraints",
                TaskRef{j.spec().id, index}.text(), h.id, h.type, h.zone);
  return false;
}

Allocation* Cluster::allocate(Machine& h, Job& j, uint32_t index, uint64_t attempt, Instant now) {
  if (!may_allocate(h, j, index)) return nullptr;
  add_allocation(h, make_allocation(h, j, index, attempt, now));
  return &h.allocations.back();
}

Allocation* Cluster::queue_on(Machine& h, Job& j, uint32_t index, uint64_t attempt,
                              QueuePosition queue_position, Instant now) {
  if (!may_allocate(h, j, index)) return nullptr;
  Allocation b = make_allocation(h, j, index, attempt, now);
  b.queued = true;
  b.queue_position = queue_position;
  add_allocation(h, std::move(b));
  return &h.allocations.back();
}

Allocation Cluster::make_allocation(Machine& h, const Job& j, uint32_t index, uint64_t attempt,
                                    Instant now) {
  Allocation b;
  b.task = TaskRef{j.spec().id, index};
  b.attempt = attempt;
  b.team = j.team();
  b.team_name = j.spec().team;
  b.need = j.spec().need;
  b.image = j.spec().image;
  b.estimate = j.spec().estimate;
  b.gang = j.spec().gang;
  b.service = j.spec().service;
  b.priority = j.spec().priority;
  b.placed_at = now;
  note_image(h, j);
  mark_dirty(h, b.gang || b.service);
  return b;
}

bool Cluster::withdraw_queued(const std::string& id, Instant now) {
  Machine* most = nullptr;
  for (Machine* h : holders(id)) {
    const bool any = find_where(h->allocations,
                                [&](const Allocation& b) { return b.queued && b.task.job == id; });
    if (any && (!most || h->queued_tasks > most->queued_tasks)) most = h;
  }
  if (!most) return false;
  for (size_t i = most->allocations.size(); i-- > 0;) {
    const Allocation& b = most->allocations[i];
    if (!b.queued || b.task.job != id) continue;
    (void)end_allocation(*most, i, now);
    return true;
  }
  return false;
}

void Cluster::set_held(const std::map<std::string, Resources>& by_machine,
                       std::vector<Resources> by_team) {
  for (Machine* h : held_machines_) h->held = Resources{};
  held_machines_.clear();
  for (const auto& [id, room] : by_machine) {
    Machine* h = find_machine(id);
    if (!h) continue;
    h->held = room;
    held_machines_.push_back(h);
  }
  saved_ = std::move(by_team);
}

// The room that a task leaves is taken at once by one that waits for it on the machine: its
// allocation stands already, so its `run` goes out with the answer to the very heartbeat that told
// of the room.
void Cluster::start_queued(Machine& h, Instant now) {
  if (h.queued_tasks == 0) return;
  std::vector<Allocation*> waiting;
  for (Allocation& b : h.allocations) {
    if (b.queued && b.phase == Phase::durable) waiting.push_back(&b);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const Allocation* a, const Allocation* b) {
    return a->queue_position.before(b->queue_position);
  });
  for (Allocation* b : waiting) {
    Job* j = job(b->task.job);
    if (!j || j->is_done(b->task.index) || now < j->not_before) continue;
    // Work without accelerators leaves beside each free one what its next task will need.
    Resources room = h.free() - h.held;
    if (b->need.gpus <= 0 && h.free().gpus > 0) room -= resources_per_gpu_ * h.free().gpus;
    if (!b->need.fits_in(room)) continue;
    if (b->team >= 0) {
      // Safety 4: its team's limit counts it from here on.
      const auto t = static_cast<size_t>(b->team);
      Resources used = usage_[t].used + b->need;
      if (t < saved_.size()) used += saved_[t];
      const auto over = [](double most, double in_use, double need) {
        return most > 0 && need > 0 && in_use > most + Resources::kSlack;
      };
      const auto& team = platform_.teams[t];
      if (over(team.cpus_max, used.cpus, b->need.cpus)) continue;
      if (over(team.gpus_max, used.gpus, b->need.gpus)) continue;
      usage_[t].used += b->need;
    }
    b->queued = false;
    --h.queued_tasks;
    --j->queued_tasks;
    h.used += b->need;
  }
}

void Cluster::note_image(Machine& h, const Job& j) {
  const std::string& image = j.spec().image;
  std::erase_if(h.images, [&](const auto& i) { return i.name == image; });
  h.images.push_back({image, j.spec().image_gb});
  double total = 0;
  for (const auto& i : h.images) total += i.gb;
  while (h.images.size() > 1 && total > h.cache_gb) {
    total -= h.images.front().gb;
    h.images.erase(h.images.begin());
  }
}

void Cluster::stop(Machine& h, Allocation& b, StopReason reason, Seconds grace, Instant now) {
  if (b.stopping() && b.grace <= grace) return;  // never milder than it was told before
  b.stop = reason;
  b.grace = grace;
  b.stop_at = now;
  if (std::find(stop_machines_.begin(), stop_machines_.end(), h.id) == stop_machines_.end()) {
    stop_machines_.push_back(h.id);
  }
}

Effects Cluster::preempt(Machine& h, const TaskRef& task, uint64_t attempt, Instant now) {
  Effects effects;
  Allocation* b = h.find(task, attempt);
  if (!b || b->stopping()) return effects;
  if (b->unsent()) {
    // No worker will ever report it, so nothing would end it once it counted as being stopped.
    return end_allocation(h, static_cast<size_t>(b - h.allocations.data()), now);
  }
  const Job* j = job(task.job);
  const bool saves = j && j->spec().checkpoint > Seconds(0);
  stop(h, *b, StopReason::preempted, saves ? j->spec().save + Seconds(1) : Seconds(0), now);
  effects.stops = true;
  return effects;
}

template <class Predicate>
Effects Cluster::end_unsent(const std::string& id, Instant now, Predicate&& which) {
  Effects effects;
  for (Machine* h : std::vector(holders(id))) {
    for (size_t i = h->allocations.size(); i-- > 0;) {
      if (i >= h->allocations.size()) continue;  // the end of one may end others
      const Allocation& b = h->allocations[i];
      if (b.task.job == id && b.unsent() && which(*h, b)) effects |= end_allocation(*h, i, now);
    }
  }
  return effects;
}

Effects Cluster::drop_unsent(const std::string& id, Instant now) {
  return end_unsent(id, now,
                    [](const Machine&, const Allocation& b) { return b.phase == Phase::planned; });
}

Effects Cluster::drop_planned(Machine& h, Instant now) {
  Effects effects;
  for (size_t i = h.allocations.size(); i-- > 0;) {
    if (i >= h.allocations.size()) continue;  // the end of one may end others
    if (h.allocations[i].phase == Phase::planned) effects |= end_allocation(h, i, now);
  }
  return effects;
}

// An orphan task is on its machine, whatever was planned meanwhile. What was not sent and may not
// stand beside it is undone before it can start, to be planned anew. A gang is broken as a whole:
// none of its attempts may start until the orphan, which is being stopped, is gone.
Effects Cluster::make_way_for(const Job& j, const TaskRef& orphan, Instant now) {
  const std::string& id = j.spec().id;
  if (j.spec().gang) {
    Effects effects;
    std::set<uint64_t> attempts;
    for (const Machine* h : holders(id)) {
      for (const Allocation& b : h->allocations) {
        if (b.task.job == id) attempts.insert(b.attempt);
      }
    }
    for (const uint64_t attempt : attempts) break_gang(id, attempt, now, effects);
    return effects;
  }
  PlacementConstraints constraints = constraints_of_sent(j);
  return end_unsent(id, now, [&](const Machine& h, const Allocation& b) {
    if (b.task == orphan || constraints.tasks_allowed(h.zone) == 0) return true;
    constraints.add(h.zone, 1);
    return false;
  });
}

std::vector<StopCall> Cluster::drain_stop_calls() {
  std::vector<StopCall> calls;
  for (const auto& id : stop_machines_) {
    Machine* h = find_machine(id);
    if (!h || h->address.empty() || !h->has_heartbeat || h->lost) continue;
    StopCall call{h->id, h->address, h->incarnation, {}};
    for (const Allocation& b : h->allocations) {
      if (b.stopping() && !b.unsent()) {
        call.commands.push_back({Command::Op::stop, b.task, b.attempt, b.grace});
      }
    }
    if (!call.commands.empty()) calls.push_back(std::move(call));
  }
  stop_machines_.clear();
  return calls;
}

void Cluster::stop_gang(const std::string& id, uint64_t attempt, Seconds grace, Instant now) {
  for (Machine* h : holders(id)) {
    for (Allocation& b : h->allocations) {
      if (b.task.job == id && b.attempt == attempt && !b.stopping()) {
        stop(*h, b, StopReason::interruption, grace, now);
      }
    }
  }
}

size_t Cluster::allocation_count() const {
  size_t n = 0;
  for (const auto& [id, h] : machines_) n += h->allocations.size();
  return n;
}

}  // namespace dunlinknot::cluster
