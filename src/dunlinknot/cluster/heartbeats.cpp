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

bool ran_for(const Allocation& allocation, Seconds least, Instant now) {
  return allocation.running_since != Instant{} &&
         to_seconds(now - allocation.running_since) >= least;
}

}  // namespace

bool Cluster::fresh(Machine& machine, const Heartbeat& heartbeat) const {
  if (!machine.has_heartbeat) return true;
  return std::pair(heartbeat.incarnation, heartbeat.sequence) >
         std::pair(machine.incarnation, machine.sequence);
}

HeartbeatResponse Cluster::handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                            Effects& effects) {
  HeartbeatResponse answer = apply_heartbeat(heartbeat, now, may_start, effects);
  if (answer.kind != HeartbeatResponse::Kind::accept) return answer;
  return commands_for(heartbeat, now, may_start && answer.read);
}

HeartbeatResponse Cluster::apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                           Effects& effects) {
  HeartbeatResponse answer;
  if (heartbeat.fencing_token > epoch_) {
    answer.kind = HeartbeatResponse::Kind::superseded;
    return answer;
  }
  if (removed_.contains(heartbeat.machine)) {
    // A heartbeat that was under way while its machine was deleted.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  Machine& machine =
      register_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
  if (machine.lost && heartbeat.incarnation <= machine.incarnation) {
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  const std::pair at(heartbeat.incarnation, heartbeat.sequence);
  if (machine.has_heartbeat &&
      at <= std::pair(machine.heartbeat_incarnation, machine.heartbeat_sequence)) {
    // A copy of a heartbeat that was answered already, or of an older one: nobody waits for the
    // answer. It frees nothing, and it is no sign of life.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  std::tie(machine.heartbeat_incarnation, machine.heartbeat_sequence) = at;
  if (!fresh(machine, heartbeat)) {
    // Older than a heartbeat already seen (a direct call's answer may overtake a heartbeat): its
    // worker may still be waiting, so its lease is renewed, but nothing is read from it and nothing
    // started.
    return answer;
  }
  answer.read = true;
  const bool was_fenced = machine.fenced;
  Effects changed;
  apply_worker_status(machine, heartbeat, now, true, changed);
  effects |= changed;
  if (!may_start || machine.draining || machine.terminating) return answer;
  start_queued(machine, now);
  const auto planned = [](const Allocation& allocation) {
    return allocation.phase == Phase::planned;
  };
  if (!machine.fenced || machine.unreachable || machine.interruption_at) return answer;
  if (find_where(machine.allocations,
                 [&](const Allocation& allocation) { return sendable(allocation); }))
    return answer;
  const bool has_room = work_waits_ && (changed.schedule || !was_fenced) && machine.free().cpus > 0;
  answer.run_soon = has_room || find_where(machine.allocations, planned);
  return answer;
}

bool Cluster::sendable(const Allocation& allocation) const {
  if (allocation.phase != Phase::durable || allocation.queued || allocation.stopping())
    return false;
  const Job* open_job = job(allocation.task.job);
  return open_job &&
         (!allocation.gang ||
          (open_job->gang_go && open_job->gang_attempt == allocation.attempt));  // safety 4
}

HeartbeatResponse Cluster::commands_for(const Heartbeat& heartbeat, Instant now, bool may_start) {
  HeartbeatResponse answer;
  Machine* known = find_machine(heartbeat.machine);
  if (!known || known->lost ||
      std::pair(known->heartbeat_incarnation, known->heartbeat_sequence) !=
          std::pair(heartbeat.incarnation, heartbeat.sequence)) {
    // Gone meanwhile, or its worker gave this answer up and reported anew.
    answer.kind = HeartbeatResponse::Kind::stale;
    return answer;
  }
  Machine& machine = *known;

  // The response. Stops first: what renews a lease carries every stop that is due (safety 2), and
  // the room they make is there for what starts.
  auto& out = answer.commands;
  for (const auto& t : heartbeat.tasks) {
    if (t.state == TaskState::exited) continue;
    const Allocation* allocation = machine.find(t.task, t.attempt);
    if (!allocation || !allocation->stopping()) continue;
    if (t.state == TaskState::saving && allocation->grace > Seconds(0)) continue;
    out.push_back({Command::Op::stop, t.task, t.attempt, allocation->grace});
  }
  for (const auto& t : heartbeat.tasks) {
    if (out.size() >= kMaxCommands) break;
    if (t.state != TaskState::exited) continue;
    // Safety 3: a completed task is forgotten only after its `done` is durable.
    const Job* open_job = job(t.task.job);
    const bool keep = t.cause == ExitCause::done && open_job && !open_job->spec().service &&
                      t.task.index < open_job->spec().tasks && !open_job->is_durable(t.task.index);
    if (!keep) out.push_back({Command::Op::forget, t.task, t.attempt, Seconds(0)});
  }
  if (may_start && !machine.draining && !machine.terminating) {
    for (Allocation& allocation : machine.allocations) {
      if (!sendable(allocation) || out.size() >= kMaxCommands) continue;
      out.push_back({Command::Op::start, allocation.task, allocation.attempt, Seconds(0)});
      allocation.phase = Phase::sent;
      allocation.sent_incarnation = heartbeat.incarnation;
    }
  }
  machine.last_answered = now;
  return answer;
}

Effects Cluster::apply_direct_status(const Heartbeat& heartbeat, Instant now) {
  Effects effects;
  Machine* machine = find_machine(heartbeat.machine);
  if (!machine || heartbeat.fencing_token > epoch_ || !fresh(*machine, heartbeat) || machine->lost)
    return effects;
  apply_worker_status(*machine, heartbeat, now, false, effects);
  return effects;
}

// What the worker tells of itself; its tasks are read by the caller.
void Cluster::apply_machine_state(Machine& machine, const Heartbeat& heartbeat, Instant now,
                                  bool complete, Effects& effects) {
  if (!machine.has_heartbeat || heartbeat.incarnation != machine.incarnation)
    machine.incarnation_since = now;
  if (!machine.has_heartbeat) {
    machine.idle_since = now;
    effects.schedule = true;
  }
  if (machine.lost) effects.schedule = true;
  machine.has_heartbeat = true;
  machine.lost = false;
  machine.address = heartbeat.address;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  if (complete) machine.last_heartbeat = now;
  if (heartbeat.fencing_token == epoch_) machine.fenced = true;
  const std::optional<Instant> interruption =
      heartbeat.interruption_notice ? std::optional(now + to_nanos(*heartbeat.interruption_notice))
                                    : std::nullopt;
  if (interruption.has_value() != machine.interruption_at.has_value()) effects.schedule = true;
  if (interruption && !machine.interruption_at) {
    spdlog::info("machine {}: interruption notice, {:.1f} s left", machine.id,
                 heartbeat.interruption_notice->count());
  }
  machine.interruption_at = interruption;
}

// The worker killed all it had when its lease ran out; a `run` from before is dropped there.
Effects Cluster::end_allocations_before(Machine& machine, uint64_t incarnation, Instant now) {
  Effects effects;
  machine.images.clear();
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    if (i >= machine.allocations.size()) continue;
    const Allocation& allocation = machine.allocations[i];
    const bool from_before =
        allocation.phase == Phase::seen ||
        (allocation.phase == Phase::sent && allocation.sent_incarnation < incarnation);
    if (from_before) effects |= end_allocation(machine, i, now);
  }
  return effects;
}

// Whether a task that is on the machine without an allocation may stay: a task of an array that
// waits for a place, where it may be beside the job's other tasks. What was not sent gives way to
// it.
bool Cluster::may_adopt(const Machine& machine, const Job& job, uint32_t index) const {
  if (job.spec().gang || job.is_done(index) || job.is_live(index)) return false;
  if (!pool_allowed(job.spec(), machine.type, machine.zone, machine.spot)) return false;
  return constraints_of_sent(job).tasks_allowed(machine.zone) > 0;
}

// On the machine without an allocation: counted from now on, and stopped unless it is welcome.
Allocation& Cluster::allocate_orphan(Machine& machine, const TaskStatus& task, const Job* job,
                                     Instant now, Effects& effects) {
  Allocation orphan;
  orphan.task = task.task;
  orphan.attempt = task.attempt;
  orphan.placed_at = now;
  const bool stays = job && may_adopt(machine, *job, task.task.index);
  if (job) {
    orphan.team = job->team();
    orphan.team_name = job->spec().team;
    orphan.need = job->spec().need;
    orphan.image = job->spec().image;
    orphan.estimate = job->spec().estimate;
    orphan.gang = job->spec().gang;
    orphan.service = job->spec().service;
    orphan.priority = job->spec().priority;
  }
  orphan.phase = Phase::seen;
  spdlog::info("machine {} reports {} try {} that is not allocated there: {}", machine.id,
               task.task.text(), task.attempt, stays ? "kept" : "stopped");
  add_allocation(machine, std::move(orphan));
  mark_dirty(machine);
  if (!stays) stop(machine, machine.allocations.back(), StopReason::orphan, Seconds(0), now);
  if (job) effects |= make_way_for(*job, task.task, now);
  return *machine.find(task.task, task.attempt);
}

// A task that is on the machine. Returns whether that shows that a `run` of ours got there.
bool Cluster::apply_task(Machine& machine, const TaskStatus& status, Instant now,
                         Effects& effects) {
  Job* open_job = job(status.task.job);
  if (open_job && status.task.index >= open_job->spec().tasks) open_job = nullptr;
  Allocation* allocation = machine.find(status.task, status.attempt);
  if (!allocation) {
    allocation = &allocate_orphan(machine, status, open_job, now, effects);
    effects.store_machines = true;
  }
  if (!open_job && !allocation->stopping())
    stop(machine, *allocation, StopReason::cancelled, Seconds(0), now);
  const bool obeyed = allocation->phase == Phase::sent;
  allocation->phase = Phase::seen;
  if (allocation->service && status.state == TaskState::running)
    apply_running(*allocation, open_job, machine, now);
  if (status.state == allocation->state) return obeyed;
  if (status.state == TaskState::running) {
    if (allocation->running_since == Instant{}) allocation->running_since = now;
    if (open_job) {
      if (open_job->running == 0 && open_job->done_count() == 0) {
        spdlog::debug("job {}: a task runs on {}", status.task.job, machine.id);
      }
      ++open_job->running;
    }
  } else if (allocation->state == TaskState::running && open_job && open_job->running > 0) {
    --open_job->running;
  }
  allocation->state = status.state;
  return obeyed;
}

// Safety 1: what a complete heartbeat does not list is gone, provided that nothing may still start
// it: the heartbeat bears our fencing token (an older leader's `run` is refused from now on) and
// was sent after the response that carried ours (one heartbeat is in flight at a time, late
// responses are dropped). Returns whether the response with some `run` was lost.
bool Cluster::end_unlisted(Machine& machine, const Heartbeat& heartbeat, Instant now,
                           Effects& effects) {
  bool missed_us = false;
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    if (i >= machine.allocations.size()) continue;
    Allocation& allocation = machine.allocations[i];
    if (allocation.unsent()) continue;
    const auto is_listed = [&](const TaskStatus& status) {
      return status.attempt == allocation.attempt && status.task == allocation.task &&
             status.state != TaskState::exited;
    };
    if (find_where(heartbeat.tasks, is_listed)) continue;
    if (heartbeat.fencing_token != epoch_) continue;
    if (allocation.phase == Phase::sent && !allocation.stopping() && job(allocation.task.job)) {
      allocation.phase = Phase::durable;  // said again in the next response
      missed_us = true;
      continue;
    }
    effects |= end_allocation(machine, i, now);
  }
  return missed_us;
}

void Cluster::apply_worker_status(Machine& machine, const Heartbeat& heartbeat, Instant now,
                                  bool complete, Effects& effects) {
  const bool new_incarnation = machine.has_heartbeat && heartbeat.incarnation > machine.incarnation;
  // Its lease ran out although we answered it in time: either our answers do not get there, or it
  // was started anew.
  bool missed_us =
      complete && new_incarnation && machine.fenced && now - machine.last_answered < lease_ / 2;
  bool obeyed = false;
  apply_machine_state(machine, heartbeat, now, complete, effects);
  if (new_incarnation) {
    effects.schedule = true;
    effects |= end_allocations_before(machine, heartbeat.incarnation, now);
  }
  for (const auto& t : heartbeat.tasks) {
    if (t.state == TaskState::exited) {
      effects |= on_exit(machine, t, now);
    } else {
      obeyed |= apply_task(machine, t, now, effects);
    }
  }
  if (complete) missed_us |= end_unlisted(machine, heartbeat, now, effects);
  if (obeyed) {
    machine.suspicions = 0;
    machine.unreachable = false;
  } else if (missed_us) {
    add_suspicion(machine, now);
  } else if (complete) {
    clear_suspicion(machine, now);
  }
  if (!stop_machines_.empty()) effects.stops = true;
}

// A replica that goes on running shows that its service can, and that its machine is sound.
void Cluster::apply_running(Allocation& allocation, Job* job, const Machine& machine, Instant now) {
  if (!job || job->proven || !ran_for(allocation, kProvenRun, now)) return;
  spdlog::debug("service {} runs on {}", allocation.task.job, machine.id);
  job->proven = true;
  job->failing = false;
  job->backoff = Nanos(0);
}

Effects Cluster::on_exit(Machine& machine, const TaskStatus& status, Instant now) {
  Effects effects;
  Job* open_job = job(status.task.job);
  if (open_job && status.task.index >= open_job->spec().tasks) open_job = nullptr;
  if (status.cause == ExitCause::done && open_job && !open_job->spec().service &&
      !open_job->is_done(status.task.index)) {
    if (open_job->spec().gang) {
      // A gang completes together: one task done, all done.
      for (uint32_t i = 0; i < open_job->spec().tasks; ++i) open_job->mark_done(i);
    } else {
      open_job->mark_done(status.task.index);
    }
    open_job->failing = false;
    open_job->backoff = Nanos(0);
    effects.store_done = true;
  }
  if (status.cause == ExitCause::done) {
    machine.error_streak = 0;
    machine.error_jobs.clear();
  }
  Allocation* allocation = machine.find(status.task, status.attempt);
  if (!allocation) return effects;
  if (status.cause == ExitCause::error) on_error(machine, open_job, now);
  const bool by_itself = status.cause == ExitCause::error || status.cause == ExitCause::done;
  const bool soon = !ran_for(*allocation, kProvenRun, now);
  if (status.cause == ExitCause::no_room || status.cause == ExitCause::busy ||
      status.cause == ExitCause::unknown) {
    spdlog::info("machine {} refused {}: cause {}", machine.id, status.task.text(),
                 static_cast<int>(status.cause));
    if (open_job) open_job->not_before = std::max(open_job->not_before, now + Millis(1000));
  }
  const bool orderly = status.cause == ExitCause::stopped && allocation->stopping() &&
                       allocation->grace > Seconds(0);
  effects |= end_allocation(machine, static_cast<size_t>(allocation - machine.allocations.data()),
                            now, orderly);
  if (open_job && open_job->spec().service && by_itself)
    back_off_replica(*open_job, status.task.index, soon, now);
  return effects;
}

}  // namespace dunlinknot::cluster
