// Heartbeats of the workers: what a heartbeat proves about the allocations of its machine, and the
// commands that its response carries.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMaxCommands = 400;
constexpr Seconds kProvenRun{30};  // a replica that ran for so long did not fail at its start

bool ran_for(const Allocation& b, Seconds least, Instant now) {
  return b.running_since != Instant{} && to_seconds(now - b.running_since) >= least;
}

}  // namespace

bool Cluster::fresh(Machine& h, const Heartbeat& b) const {
  if (!h.has_heartbeat) return true;
  return std::pair(b.incarnation, b.sequence) > std::pair(h.incarnation, h.sequence);
}

HeartbeatResponse Cluster::handle_heartbeat(const Heartbeat& b, Instant now, bool may_start,
                                            Effects& effects) {
  HeartbeatResponse answer = apply_heartbeat(b, now, may_start, effects);
  if (answer.kind != HeartbeatResponse::Kind::accept) return answer;
  return commands_for(b, now, may_start && answer.read);
}

HeartbeatResponse Cluster::apply_heartbeat(const Heartbeat& b, Instant now, bool may_start,
                                           Effects& effects) {
  HeartbeatResponse answer;
  if (b.fencing_token > epoch_) {
    answer.kind = HeartbeatResponse::Kind::superseded;
    return answer;
  }
  if (removed_.contains(b.machine)) {
    // A heartbeat that was under way while its machine was deleted.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  Machine& h = register_machine(b.machine, b.type, b.zone, b.spot, now);
  if (h.lost && b.incarnation <= h.incarnation) {
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  const std::pair at(b.incarnation, b.sequence);
  if (h.has_heartbeat && at <= std::pair(h.heartbeat_incarnation, h.heartbeat_sequence)) {
    // A copy of a heartbeat that was answered already, or of an older one: nobody waits for the
    // answer. It frees nothing, and it is no sign of life.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  std::tie(h.heartbeat_incarnation, h.heartbeat_sequence) = at;
  if (!fresh(h, b)) {
    // Older than a heartbeat already seen (a direct call's answer may overtake a heartbeat): its
    // worker may still be waiting, so its lease is renewed, but nothing is read from it and nothing
    // started.
    return answer;
  }
  answer.read = true;
  const bool was_fenced = h.fenced;
  Effects changed;
  apply_worker_status(h, b, now, true, changed);
  effects |= changed;
  if (!may_start || h.draining || h.terminating) return answer;
  start_queued(h, now);
  const auto planned = [](const Allocation& k) { return k.phase == Phase::planned; };
  if (!h.fenced || h.unreachable || h.interruption_at) return answer;
  if (find_where(h.allocations, [&](const Allocation& k) { return sendable(k); })) return answer;
  const bool has_room = work_waits_ && (changed.schedule || !was_fenced) && h.free().cpus > 0;
  answer.run_soon = has_room || find_where(h.allocations, planned);
  return answer;
}

bool Cluster::sendable(const Allocation& k) const {
  if (k.phase != Phase::durable || k.queued || k.stopping()) return false;
  const Job* j = job(k.task.job);
  return j && (!k.gang || (j->gang_go && j->gang_attempt == k.attempt));  // safety 4
}

HeartbeatResponse Cluster::commands_for(const Heartbeat& b, Instant now, bool may_start) {
  HeartbeatResponse answer;
  Machine* known = find_machine(b.machine);
  if (!known || known->lost ||
      std::pair(known->heartbeat_incarnation, known->heartbeat_sequence) !=
          std::pair(b.incarnation, b.sequence)) {
    // Gone meanwhile, or its worker gave this answer up and reported anew.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  Machine& h = *known;

  // The response. Stops first: what renews a lease carries every stop that is due (safety 2), and
  // the room they make is there for what starts.
  auto& out = answer.commands;
  for (const auto& t : b.tasks) {
    if (t.state == TaskState::exited) continue;
    const Allocation* k = h.find(t.task, t.attempt);
    if (!k || !k->stopping()) continue;
    if (t.state == TaskState::saving && k->grace > Seconds(0)) continue;
    out.push_back({Command::Op::stop, t.task, t.attempt, k->grace});
  }
  for (const auto& t : b.tasks) {
    if (out.size() >= kMaxCommands) break;
    if (t.state != TaskState::exited) continue;
    // Safety 3: a completed task is forgotten only after its `done` is durable.
    const Job* j = job(t.task.job);
    const bool keep = t.cause == ExitCause::done && j && !j->spec().service &&
                      t.task.index < j->spec().tasks && !j->is_durable(t.task.index);
    if (!keep) out.push_back({Command::Op::forget, t.task, t.attempt, Seconds(0)});
  }
  if (may_start && !h.draining && !h.terminating) {
    for (Allocation& k : h.allocations) {
      if (!sendable(k) || out.size() >= kMaxCommands) continue;
      out.push_back({Command::Op::start, k.task, k.attempt, Seconds(0)});
      k.phase = Phase::sent;
      k.sent_incarnation = b.incarnation;
    }
  }
  h.last_answered = now;
  return answer;
}

Effects Cluster::apply_direct_status(const Heartbeat& b, Instant now) {
  Effects effects;
  Machine* h = find_machine(b.machine);
  if (!h || b.fencing_token > epoch_ || !fresh(*h, b) || h->lost) return effects;
  apply_worker_status(*h, b, now, false, effects);
  return effects;
}

// What the worker tells of itself; its tasks are read by the caller.
void Cluster::apply_machine_state(Machine& h, const Heartbeat& b, Instant now, bool complete,
                                  Effects& effects) {
  if (!h.has_heartbeat || b.incarnation != h.incarnation) h.incarnation_since = now;
  if (!h.has_heartbeat) {
    h.idle_since = now;
    effects.schedule = true;
  }
  if (h.lost) effects.schedule = true;
  h.has_heartbeat = true;
  h.lost = false;
  h.address = b.address;
  h.incarnation = b.incarnation;
  h.sequence = b.sequence;
  if (complete) h.last_heartbeat = now;
  if (b.fencing_token == epoch_) h.fenced = true;
  const std::optional<Instant> interruption =
      b.interruption_notice ? std::optional(now + to_nanos(*b.interruption_notice)) : std::nullopt;
  if (interruption.has_value() != h.interruption_at.has_value()) effects.schedule = true;
  if (interruption && !h.interruption_at) {
    spdlog::info("machine {}: interruption notice, {:.1f} s left", h.id,
                 b.interruption_notice->count());
  }
  h.interruption_at = interruption;
}

// The worker killed all it had when its lease ran out; a `run` from before is dropped there.
Effects Cluster::end_allocations_before(Machine& h, uint64_t incarnation, Instant now) {
  Effects effects;
  h.images.clear();
  for (size_t i = h.allocations.size(); i-- > 0;) {
    if (i >= h.allocations.size()) continue;
    const Allocation& allocation = h.allocations[i];
    const bool from_before =
        allocation.phase == Phase::seen ||
        (allocation.phase == Phase::sent && allocation.sent_incarnation < incarnation);
    if (from_before) effects |= end_allocation(h, i, now);
  }
  return effects;
}

// Whether a task that is on the machine without an allocation may stay: a task of an array that
// waits for a place, where it may be beside the job's other tasks. What was not sent gives way to
// it.
bool Cluster::may_adopt(const Machine& h, const Job& j, uint32_t index) const {
  if (j.spec().gang || j.is_done(index) || j.is_live(index)) return false;
  if (!pool_allowed(j.spec(), h.type, h.zone, h.spot)) return false;
  return constraints_of_sent(j).tasks_allowed(h.zone) > 0;
}

// On the machine without an allocation: counted from now on, and stopped unless it is welcome.
Allocation& Cluster::allocate_orphan(Machine& h, const TaskStatus& task, const Job* j, Instant now,
                                     Effects& effects) {
  Allocation orphan;
  orphan.task = task.task;
  orphan.attempt = task.attempt;
  orphan.placed_at = now;
  const bool stays = j && may_adopt(h, *j, task.task.index);
  if (j) {
    orphan.team = j->team();
    orphan.team_name = j->spec().team;
    orphan.need = j->spec().need;
    orphan.image = j->spec().image;
    orphan.estimate = j->spec().estimate;
    orphan.gang = j->spec().gang;
    orphan.service = j->spec().service;
    orphan.priority = j->spec().priority;
  }
  orphan.phase = Phase::seen;
  spdlog::info("machine {} reports {} try {} that is not allocated there: {}", h.id,
               task.task.text(), task.attempt, stays ? "kept" : "stopped");
  add_allocation(h, std::move(orphan));
  mark_dirty(h);
  if (!stays) stop(h, h.allocations.back(), StopReason::orphan, Seconds(0), now);
  if (j) effects |= make_way_for(*j, task.task, now);
  return *h.find(task.task, task.attempt);
}

// A task that is on the machine. Returns whether that shows that a `run` of ours got there.
bool Cluster::apply_task(Machine& h, const TaskStatus& t, Instant now, Effects& effects) {
  Job* j = job(t.task.job);
  if (j && t.task.index >= j->spec().tasks) j = nullptr;
  Allocation* allocation = h.find(t.task, t.attempt);
  if (!allocation) {
    allocation = &allocate_orphan(h, t, j, now, effects);
    effects.store_machines = true;
  }
  if (!j && !allocation->stopping()) stop(h, *allocation, StopReason::cancelled, Seconds(0), now);
  const bool obeyed = allocation->phase == Phase::sent;
  allocation->phase = Phase::seen;
  if (allocation->service && t.state == TaskState::running) apply_running(*allocation, j, h, now);
  if (t.state == allocation->state) return obeyed;
  if (t.state == TaskState::running) {
    if (allocation->running_since == Instant{}) allocation->running_since = now;
    if (j) {
      if (j->running == 0 && j->done_count() == 0) {
        spdlog::debug("job {}: a task runs on {}", t.task.job, h.id);
      }
      ++j->running;
    }
  } else if (allocation->state == TaskState::running && j && j->running > 0) {
    --j->running;
  }
  allocation->state = t.state;
  return obeyed;
}

// Safety 1: what a complete heartbeat does not list is gone, provided that nothing may still start
// it: the heartbeat bears our fencing token (an older leader's `run` is refused from now on) and
// was sent after the response that carried ours (one heartbeat is in flight at a time, late
// responses are dropped). Returns whether the response with some `run` was lost.
bool Cluster::end_unlisted(Machine& h, const Heartbeat& b, Instant now, Effects& effects) {
  bool missed_us = false;
  for (size_t i = h.allocations.size(); i-- > 0;) {
    if (i >= h.allocations.size()) continue;
    Allocation& allocation = h.allocations[i];
    if (allocation.unsent()) continue;
    const auto is_listed = [&](const TaskStatus& t) {
      return t.attempt == allocation.attempt && t.task == allocation.task &&
             t.state != TaskState::exited;
    };
    if (find_where(b.tasks, is_listed)) continue;
    if (b.fencing_token != epoch_) continue;
    if (allocation.phase == Phase::sent && !allocation.stopping() && job(allocation.task.job)) {
      allocation.phase = Phase::durable;  // said again in the next response
      missed_us = true;
      continue;
    }
    effects |= end_allocation(h, i, now);
  }
  return missed_us;
}

void Cluster::apply_worker_status(Machine& h, const Heartbeat& b, Instant now, bool complete,
                                  Effects& effects) {
  const bool new_incarnation = h.has_heartbeat && b.incarnation > h.incarnation;
  // Its lease ran out although we answered it in time: either our answers do not get there, or it
  // was started anew.
  bool missed_us = complete && new_incarnation && h.fenced && now - h.last_answered < lease_ / 2;
  bool obeyed = false;
  apply_machine_state(h, b, now, complete, effects);
  if (new_incarnation) {
    effects.schedule = true;
    effects |= end_allocations_before(h, b.incarnation, now);
  }
  for (const auto& t : b.tasks) {
    if (t.state == TaskState::exited) {
      effects |= on_exit(h, t, now);
    } else {
      obeyed |= apply_task(h, t, now, effects);
    }
  }
  if (complete) missed_us |= end_unlisted(h, b, now, effects);
  if (obeyed) {
    h.suspicions = 0;
    h.unreachable = false;
  } else if (missed_us) {
    add_suspicion(h, now);
  } else if (complete) {
    clear_suspicion(h, now);
  }
  if (!stop_machines_.empty()) effects.stops = true;
}

// A replica that goes on running shows that its service can, and that its machine is sound.
void Cluster::apply_running(Allocation& allocation, Job* j, const Machine& h, Instant now) {
  if (!j || j->proven || !ran_for(allocation, kProvenRun, now)) return;
  spdlog::debug("service {} runs on {}", allocation.task.job, h.id);
  j->proven = true;
  j->failing = false;
  j->backoff = Nanos(0);
}

Effects Cluster::on_exit(Machine& h, const TaskStatus& r, Instant now) {
  Effects effects;
  Job* j = job(r.task.job);
  if (j && r.task.index >= j->spec().tasks) j = nullptr;
  if (r.cause == ExitCause::done && j && !j->spec().service && !j->is_done(r.task.index)) {
    if (j->spec().gang) {
      // A gang completes together: one task done, all done.
      for (uint32_t i = 0; i < j->spec().tasks; ++i) j->mark_done(i);
    } else {
      j->mark_done(r.task.index);
    }
    j->failing = false;
    j->backoff = Nanos(0);
    effects.store_done = true;
  }
  if (r.cause == ExitCause::done) {
    h.error_streak = 0;
    h.error_jobs.clear();
  }
  Allocation* k = h.find(r.task, r.attempt);
  if (!k) return effects;
  if (r.cause == ExitCause::error) on_error(h, j, now);
  const bool by_itself = r.cause == ExitCause::error || r.cause == ExitCause::done;
  const bool soon = !ran_for(*k, kProvenRun, now);
  if (r.cause == ExitCause::no_room || r.cause == ExitCause::busy ||
      r.cause == ExitCause::unknown) {
    spdlog::info("machine {} refused {}: cause {}", h.id, r.task.text(), static_cast<int>(r.cause));
    if (j) j->not_before = std::max(j->not_before, now + Millis(1000));
  }
  const bool orderly = r.cause == ExitCause::stopped && k->stopping() && k->grace > Seconds(0);
  effects |= end_allocation(h, static_cast<size_t>(k - h.allocations.data()), now, orderly);
  if (j && j->spec().service && by_itself) back_off_replica(*j, r.task.index, soon, now);
  return effects;
}

}  // namespace dunlinknot::cluster
