// Updating the allocations of a machine according to the status of its worker.
#include "dunlinknot/cluster/heartbeat_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr Seconds kStableRunTime{30};  // a task that ran this long did not fail at its start
constexpr Millis kRefusalPause{1000};  // before the next task of a refused job starts

bool ran_for(const Allocation& allocation, Seconds min_duration, Instant now) {
  return allocation.running_since != Instant{} &&
         to_seconds(now - allocation.running_since) >= min_duration;
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
  // The lease of the previous incarnation expired although we responded in time: either our
  // responses do not reach the worker, or it was restarted.
  bool response_lost = status.complete && new_incarnation && machine.fenced &&
                       now - machine.last_response < lease_ / 2;
  bool run_executed = false;
  apply_machine_state(machine, status, effects);
  if (new_incarnation) {
    effects.schedule = true;
    effects |= end_allocations_before(machine, heartbeat.incarnation, now);
  }
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::exited) {
      effects |= apply_exit(machine, task, now);
    } else {
      run_executed |= apply_task(machine, task, now, effects);
    }
  }
  if (status.complete) response_lost |= end_unlisted(machine, status, effects);
  if (run_executed) {
    failure_detector_.on_run_executed(machine);
  } else if (response_lost) {
    failure_detector_.on_response_lost(machine, now);
  } else if (status.complete) {
    failure_detector_.on_heartbeat(machine, now);
  }
  if (allocations_.stop_calls().any()) effects.stops = true;
}

// Applies what the worker reports about itself and its machine, except the tasks.
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
    spdlog::info("machine {}: received an interruption notice, {:.1f} s before the interruption",
                 machine.id, heartbeat.interruption_notice->count());
  }
  machine.interruption_at = interruption;
}

// Ends the allocations of earlier incarnations: the worker killed all its tasks when its lease
// expired, and discards a `run` that was sent to an earlier incarnation.
Effects HeartbeatReconciler::end_allocations_before(Machine& machine, uint64_t incarnation,
                                                    Instant now) {
  machine.images.clear();
  return allocations_.end_on_machine(machine, now, [&](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::seen ||
           (allocation.phase == AllocationPhase::sent && allocation.sent_incarnation < incarnation);
  });
}

// Safety 1, no task runs twice: a task that a complete heartbeat does not list is not on the
// machine, provided that no `run` in flight can still start it. This holds if the heartbeat has our
// fencing token (from then on the worker refuses a `run` of an older leader) and was sent after the
// response with our `run` (one heartbeat is in flight at a time, and late responses are discarded).
// Returns whether a response with a `run` was lost.
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
      allocation.phase = AllocationPhase::durable;  // the `run` is resent in the next response
      response_lost = true;
      continue;
    }
    effects |= allocations_.end(machine, i, status.now);
  }
  return response_lost;
}

// Applies the status of a task that is on the machine. Returns whether it shows that the worker
// executed a `run` of this leader.
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
  const bool run_executed = allocation->phase == AllocationPhase::sent;
  allocation->phase = AllocationPhase::seen;
  if (task.state == TaskState::running && ran_for(*allocation, kStableRunTime, now)) {
    FailureDetector::on_sound_start(machine, allocation->running_since);
    if (allocation->service) note_stable_replica(machine, *allocation, job);
  }
  if (task.state != allocation->state)
    apply_state_change(machine, *allocation, job, task.state, now);
  return run_executed;
}

void HeartbeatReconciler::apply_state_change(const Machine& machine, Allocation& allocation,
                                             Job* job, TaskState state, Instant now) const {
  if (state == TaskState::running) {
    if (allocation.running_since == Instant{}) allocation.running_since = now;
    if (job) {
      if (job->running == 0 && job->done_count() == 0)
        spdlog::debug("job {}: a task is running on machine {}", allocation.task.job, machine.id);
      ++job->running;
    }
  } else if (allocation.state == TaskState::running && job && job->running > 0) {
    --job->running;
  }
  allocation.state = state;
}

// A replica that keeps running shows that its service works. Errors of its replicas are then
// attributed to the machines.
void HeartbeatReconciler::note_stable_replica(const Machine& machine, const Allocation& allocation,
                                              Job* job) {
  if (!job || job->has_stable_replica) return;
  spdlog::debug("service {}: a replica on machine {} has been running without failing at its start",
                allocation.task.job, machine.id);
  job->has_stable_replica = true;
  job->clear_failing();
}

// Adds an allocation for a task that a machine reports without one. The task is stopped unless it
// can be adopted.
Allocation& HeartbeatReconciler::allocate_orphan(Machine& machine, const TaskStatus& task,
                                                 const Job* job, Instant now, Effects& effects) {
  Allocation orphan;
  orphan.task = task.task;
  orphan.attempt = task.attempt;
  orphan.placed_at = now;
  orphan.phase = AllocationPhase::seen;
  if (job) orphan.copy_from(*job);
  const bool stays = job && may_adopt(machine, *job, task.task.index);
  spdlog::info("machine {} reported task {}, attempt {}, which has no allocation there: {}",
               machine.id, task.task.text(), task.attempt, stays ? "kept" : "stopped");
  Allocation& added = allocations_.add(machine, std::move(orphan));
  write_queue_.mark_dirty(machine, false);
  if (!stays) allocations_.stop(machine, added, StopReason::orphan, Seconds(0), now);
  if (job) effects |= allocations_.end_conflicts_with_orphan(*job, task.task, now);
  // Ending conflicting allocations may have moved the added one.
  return *machine.find(task.task, task.attempt);
}

// An orphan can be adopted if it is a pending task of a job other than a gang, and the job's
// constraints allow it on this machine in addition to the job's tasks that may already be running.
// Unsent allocations that conflict with it are ended.
bool HeartbeatReconciler::may_adopt(const Machine& machine, const Job& job, uint32_t index) const {
  if (job.spec().gang || job.is_done(index) || job.is_live(index)) return false;
  if (!pool_allowed(job.spec(), machine.type, machine.zone, machine.spot)) return false;
  return allocations_.constraints_of_sent(job).tasks_allowed(machine.zone) > 0;
}

// Marks the task as done. Returns false if it already was, or if it is a replica.
bool HeartbeatReconciler::complete_task(Job& job, uint32_t index) {
  if (job.spec().service || job.is_done(index)) return false;
  if (job.spec().gang) {
    // A gang completes as a whole: once one of its tasks is done, all are.
    for (uint32_t i = 0; i < job.spec().tasks; ++i) job.mark_done(i);
  } else {
    job.mark_done(index);
  }
  job.clear_failing();
  return true;
}

// The worker refused to start the task. The next start of its job is delayed, because the condition
// may take a moment to clear and the same machine would be chosen again immediately.
void HeartbeatReconciler::note_refusal(const Machine& machine, const TaskStatus& task, Job* job,
                                       Instant now) {
  spdlog::info(
      "machine {} refused to start task {}: exit cause {}; delaying the next start of its job",
      machine.id, task.task.text(), static_cast<int>(task.cause));
  if (job) job->not_before = std::max(job->not_before, now + kRefusalPause);
}

// Applies the status of a task that has exited on the machine.
Effects HeartbeatReconciler::apply_exit(Machine& machine, const TaskStatus& task, Instant now) {
  Effects effects;
  Job* job = job_of(task.task);
  const bool done = task.cause == ExitCause::done;
  const bool error = task.cause == ExitCause::error;
  if (done && job && complete_task(*job, task.task.index)) effects.store_progress = true;
  if (done) FailureDetector::on_task_completed(machine);
  Allocation* allocation = machine.find(task.task, task.attempt);
  if (!allocation) return effects;
  // A task that was never reported running started at some time after it was placed.
  if (done)
    FailureDetector::on_sound_start(machine,
                                    std::max(allocation->running_since, allocation->placed_at));
  if (error) failure_detector_.on_task_error(machine, job, allocations_.jobs(), now);
  const bool early = !ran_for(*allocation, kStableRunTime, now);
  if (task.cause == ExitCause::no_room || task.cause == ExitCause::already_present ||
      task.cause == ExitCause::unknown)
    note_refusal(machine, task, job, now);
  // If a gang was stopped with a grace period, its other tasks are saving their checkpoints too.
  const bool saved =
      task.cause == ExitCause::stopped && allocation->stopping() && allocation->grace > Seconds(0);
  effects |= allocations_.end(machine, static_cast<size_t>(allocation - machine.allocations.data()),
                              now, saved ? GangEffect::survives : GangEffect::breaks);
  if (job && job->spec().service && (error || done))
    replica_backoff_.on_replica_end(*job, task.task.index, early, now);
  return effects;
}

}  // namespace dunlinknot::cluster
