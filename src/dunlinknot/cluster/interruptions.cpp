// When tasks are stopped on machines that are about to be interrupted, and moved off unusable ones.
#include "dunlinknot/cluster/interruptions.hpp"

namespace dunlinknot::cluster {

namespace {

// Saving starts earlier by this margin, which allows for the delivery of the stop and the report of
// the saved checkpoint.
constexpr Seconds kSaveMargin{4};

}  // namespace

// Whether a `run` would not reach the machine or must not be sent to it.
bool Interruptions::gets_no_run(const Machine& machine, Instant now) const {
  const Nanos max_heartbeat_age = to_nanos(platform_.heartbeat_interval * 2 + Seconds(1));
  return machine.interruption_at || machine.draining || machine.terminating ||
         machine.unreachable ||
         (machine.has_heartbeat && now - machine.last_heartbeat >= max_heartbeat_age);
}

Effects Interruptions::tick(Machine& machine, Instant now) const {
  Effects effects;
  // Unsent allocations on a machine that gets no `run` are ended, so that their tasks are placed
  // elsewhere. Without this (found in simulated days with machines that fail their tasks),
  // allocations on a drained machine that were not sent yet stayed there forever, and their jobs
  // never completed.
  if (gets_no_run(machine, now)) {
    effects |= allocations_.end_on_machine(
        machine, now, [](const Allocation& allocation) { return allocation.unsent(); });
  }
  move_replicas(machine, now);
  save_checkpoints(machine, now);
  return effects;
}

// Replicas do not exit by themselves. On a machine with an interruption notice they are stopped as
// late as possible, with time for the stop to arrive and the next heartbeat to confirm it. Replicas
// that run on a drained machine are kept: a machine on which tasks fail at their start does not
// affect tasks that are already running (on day `troubles` of cellarline-qld-next, stopping them
// cost more served time than the loss of machines).
void Interruptions::move_replicas(Machine& machine, Instant now) const {
  if (!machine.interruption_at ||
      *machine.interruption_at - now > to_nanos(platform_.heartbeat_interval * 2))
    return;
  for (Allocation& allocation : machine.allocations) {
    if (!allocation.service || allocation.stopping() || allocation.unsent()) continue;
    allocations_.stop(machine, allocation, StopReason::interruption, Seconds(0), now);
  }
}

// Tasks with checkpoints keep running as long as possible, then save a checkpoint before the
// machine is taken back.
void Interruptions::save_checkpoints(Machine& machine, Instant now) const {
  if (!machine.interruption_at) return;
  const Seconds time_left = to_seconds(*machine.interruption_at - now);
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    Allocation& allocation = machine.allocations[i];
    const Job* open_job = allocations_.job(allocation.task.job);
    if (!open_job || allocation.stopping() || open_job->spec().checkpoint_interval <= Seconds(0))
      continue;
    const Seconds save_duration = open_job->spec().checkpoint_duration;
    if (time_left > save_duration + kSaveMargin) continue;
    if (allocation.gang) {
      // A gang saves a checkpoint as a whole or not at all: all its tasks are stopped at the same
      // time, well within `gang_failure_detection_time` of one another.
      allocations_.stop_gang(allocation.task.job, allocation.attempt,
                             save_duration + platform_.gang_failure_detection_time, now);
    } else {
      allocations_.stop(machine, allocation, StopReason::interruption,
                        save_duration + kStopGraceMargin, now);
    }
  }
}

}  // namespace dunlinknot::cluster
