// What a worker's status proves about the allocations of its machine.
#include "dunlinknot/cluster/heartbeat_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr Seconds kProvenRun{30};      // a replica that ran for so long did not fail at its start
constexpr Millis kRefusalPause{1000};  // before the next task of a job that a worker refused

bool ran_for(const Allocation& allocation, Seconds least, Instant now) {
  return allocation.running_since != Instant{} &&
         to_seconds(now - allocation.running_since) >= least;
}

}  // namespace

Job* HeartbeatReconciler::job_of(const TaskRef& task) {
  Job* job = allocations_.job(task.job);
  return job && task.index < job->spec().tasks ? job : nullptr;
}

void HeartbeatReconciler::apply(Machine& machine, const ReceivedStatus& status, Effects& effects) {
  const Heartbeat& heartbeat = status.heartbeat;
  const Instant now = status.now;
  const bool new_incarnation = machine.has_heartbeat && heartbeat.incarnation > machine.incarnation;
  // Its lease ran out although we answered it in time: either our responses do not reach it, or it
  // was restarted.
  bool response_lost = status.complete && new_incarnation && machine.fenced &&
                       now - machine.last_answered < lease_ / 2;
  bool run_obeyed = false;
  apply_machine_state(machine, status, effects);
  if (new_incarnation) {
    effects.schedule = true;
    effects |= end_allocations_before(machine, heartbeat.incarnation, now);
  }
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::exited) {
      effects |= apply_exit(machine, task, now);
    } else {
      run_obeyed |= apply_task(machine, task, now, effects);
    }
  }
  if (status.complete) response_lost |= end_unlisted(machine, status, effects);
  if (run_obeyed) {
    failure_detector_.on_run_obeyed(machine);
  } else if (response_lost) {
    failure_detector_.on_response_lost(machine, now);
  } else if (status.complete) {
    failure_detector_.on_heartbeat(machine, now);
  }
  if (allocations_.stop_calls().any()) effects.stops = true;
}

// What the worker reports of itself and its machine, without the tasks.
void HeartbeatReconciler::apply_machine_state(Machine& machine, const ReceivedStatus& status,
                                              Effects& effects) const {
  const Heartbeat& heartbeat = status.heartbeat;
  const Instant now = status.now;
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
  if (status.complete) machine.last_heartbeat = now;
  if (heartbeat.fencing_token == status.epoch) machine.fenced = true;
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

// The worker killed all its tasks when its lease ran out, and drops a `run` from before.
Effects HeartbeatReconciler::end_allocations_before(Machine& machine, uint64_t incarnation,
                                                    Instant now) {
  machine.images.clear();
  return allocations_.end_on_machine(machine, now, [&](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::seen ||
           (allocation.phase == AllocationPhase::sent && allocation.sent_incarnation < incarnation);
  });
}

// Safety 1: what a complete heartbeat does not list is gone, provided that nothing may still start
// it: the heartbeat bears our fencing token (an older leader's `run` is refused from now on) and
// was sent after the response that carried ours (one heartbeat is in flight at a time, late
// responses are dropped). Returns whether the response with some `run` was lost.
bool HeartbeatReconciler::end_unlisted(Machine& machine, const ReceivedStatus& status,
                                       Effects& effects) {
  if (status.heartbeat.fencing_token != status.epoch) return false;
  bool response_lost = false;
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    if (i >= machine.allocations.size()) continue;
    Allocation& allocation = machine.allocations[i];
    if (allocation.unsent()) continue;
    const auto is_listed = [&](const TaskStatus& task) {
      return task.attempt == allocation.attempt && task.task == allocation.task &&
             task.state != TaskState::exited;
    };
    if (find_where(status.heartbeat.tasks, is_listed)) continue;
    if (allocation.phase == AllocationPhase::sent && !allocation.stopping() &&
        allocations_.job(allocation.task.job)) {
      allocation.phase = AllocationPhase::durable;  // the `run` is repeated in the next response
      response_lost = true;
      continue;
    }
    effects |= allocations_.end(machine, i, status.now);
  }
  return response_lost;
}

// A task that is on the machine. Returns whether it proves that a `run` of ours arrived.
bool HeartbeatReconciler::apply_task(Machine& machine, const TaskStatus& task, Instant now,
                                     Effects& effects) {
  Job* job = job_of(task.task);
  Allocation* allocation = machine.find(task.task, task.attempt);
  if (!allocation) {
    allocation = &allocate_orphan(machine, task, job, now, effects);
    effects.store_machines = true;
  }
  if (!job && !allocation->stopping())
    allocations_.stop(machine, *allocation, StopReason::cancelled, Seconds(0), now);
  const bool run_obeyed = allocation->phase == AllocationPhase::sent;
  allocation->phase = AllocationPhase::seen;
  if (allocation->service && task.state == TaskState::running)
    note_replica_running(machine, *allocation, job, now);
  if (task.state != allocation->state)
    apply_state_change(machine, *allocation, job, task.state, now);
  return run_obeyed;
}

void HeartbeatReconciler::apply_state_change(const Machine& machine, Allocation& allocation,
                                             Job* job, TaskState state, Instant now) const {
  if (state == TaskState::running) {
    if (allocation.running_since == Instant{}) allocation.running_since = now;
    if (job) {
      if (job->running == 0 && job->done_count() == 0)
        spdlog::debug("job {}: a task runs on {}", allocation.task.job, machine.id);
      ++job->running;
    }
  } else if (allocation.state == TaskState::running && job && job->running > 0) {
    --job->running;
  }
  allocation.state = state;
}

// A replica that keeps running shows that its service works, so its errors are the machines'.
void HeartbeatReconciler::note_replica_running(const Machine& machine, const Allocation& allocation,
                                               Job* job, Instant now) const {
  if (!job || job->proven || !ran_for(allocation, kProvenRun, now)) return;
  spdlog::debug("service {} runs on {}", allocation.task.job, machine.id);
  job->proven = true;
  job->clear_failing();
}

// A task that has no allocation on the machine is counted from now on, and stopped unless it may
// stay.
Allocation& HeartbeatReconciler::allocate_orphan(Machine& machine, const TaskStatus& task,
                                                 const Job* job, Instant now, Effects& effects) {
  Allocation orphan;
  orphan.task = task.task;
  orphan.attempt = task.attempt;
  orphan.placed_at = now;
  orphan.phase = AllocationPhase::seen;
  if (job) orphan.copy_from(*job);
  const bool stays = job && may_adopt(machine, *job, task.task.index);
  spdlog::info("machine {} reports {} try {} that is not allocated there: {}", machine.id,
               task.task.text(), task.attempt, stays ? "kept" : "stopped");
  Allocation& added = allocations_.add(machine, std::move(orphan));
  write_queue_.mark_dirty(machine, false);
  if (!stays) allocations_.stop(machine, added, StopReason::orphan, Seconds(0), now);
  if (job) effects |= allocations_.make_way_for_orphan(*job, task.task, now);
  return *machine.find(task.task, task.attempt);  // making way may have moved it
}

// A task of an array may stay if it waits for a place and its constraints allow it here, beside the
// job's other tasks that may run already. What was not sent gives way to it.
bool HeartbeatReconciler::may_adopt(const Machine& machine, const Job& job, uint32_t index) const {
  if (job.spec().gang || job.is_done(index) || job.is_live(index)) return false;
  if (!pool_allowed(job.spec(), machine.type, machine.zone, machine.spot)) return false;
  return allocations_.constraints_of_sent(job).tasks_allowed(machine.zone) > 0;
}

// Returns whether the task was not known as done before.
bool HeartbeatReconciler::complete_task(Job& job, uint32_t index) {
  if (job.spec().service || job.is_done(index)) return false;
  if (job.spec().gang) {
    // A gang completes together: one task done, all done.
    for (uint32_t i = 0; i < job.spec().tasks; ++i) job.mark_done(i);
  } else {
    job.mark_done(index);
  }
  job.clear_failing();
  return true;
}

// The worker did not even start the task. Its job pauses: what is wrong may take a moment to pass,
// and the machine would be chosen again at once.
void HeartbeatReconciler::note_refusal(const Machine& machine, const TaskStatus& task, Job* job,
                                       Instant now) {
  spdlog::info("machine {} refused {}: cause {}", machine.id, task.task.text(),
               static_cast<int>(task.cause));
  if (job) job->not_before = std::max(job->not_before, now + kRefusalPause);
}

// A task that ended on the machine.
Effects HeartbeatReconciler::apply_exit(Machine& machine, const TaskStatus& task, Instant now) {
  Effects effects;
  Job* job = job_of(task.task);
  const bool done = task.cause == ExitCause::done;
  const bool error = task.cause == ExitCause::error;
  if (done && job && complete_task(*job, task.task.index)) effects.store_progress = true;
  if (done) FailureDetector::on_task_completed(machine);
  Allocation* allocation = machine.find(task.task, task.attempt);
  if (!allocation) return effects;
  if (error) failure_detector_.on_task_error(machine, job, allocations_.jobs(), now);
  const bool soon = !ran_for(*allocation, kProvenRun, now);
  if (task.cause == ExitCause::no_room || task.cause == ExitCause::busy ||
      task.cause == ExitCause::unknown)
    note_refusal(machine, task, job, now);
  // The rest of a gang that was stopped to save its checkpoint is saving too.
  const bool saved =
      task.cause == ExitCause::stopped && allocation->stopping() && allocation->grace > Seconds(0);
  effects |= allocations_.end(machine, static_cast<size_t>(allocation - machine.allocations.data()),
                              now, saved ? GangEffect::survives : GangEffect::breaks);
  if (job && job->spec().service && (error || done))
    replica_backoff_.on_replica_end(*job, task.task.index, soon, now);
  return effects;
}

}  // namespace dunlinknot::cluster
