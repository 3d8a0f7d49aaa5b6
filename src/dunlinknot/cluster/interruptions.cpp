// When tasks leave machines that are interrupted or unusable.
#include "dunlinknot/cluster/interruptions.hpp"

namespace dunlinknot::cluster {

namespace {

// Saving starts this long before it has to, for the stop to get there and the save to be reported.
constexpr Seconds kSaveSlack{4};

}  // namespace

// Whether a `run` will not reach the machine or must not be sent there.
bool Interruptions::gets_no_run(const Machine& machine, Instant now) const {
  const Nanos silent = to_nanos(platform_.heartbeat_interval * 2 + Seconds(1));
  return machine.interruption_at || machine.draining || machine.terminating ||
         machine.unreachable || (machine.has_heartbeat && now - machine.last_heartbeat >= silent);
}

Effects Interruptions::tick(Machine& machine, Instant now) const {
  Effects effects;
  // What waits on a machine that will not start it is placed elsewhere. Found on days of our own
  // with machines that fail their tasks: a drained one gets no `run`, so what was allocated there
  // and not sent yet stayed for good, and its job with it.
  if (gets_no_run(machine, now)) {
    effects |= allocations_.end_on_machine(
        machine, now, [](const Allocation& allocation) { return allocation.unsent(); });
  }
  move_replicas(machine, now);
  save_checkpoints(machine, now);
  return effects;
}

// A replica never ends by itself: it leaves a machine that is interrupted as late as the stop and
// the heartbeat after it are sure to get there and back. One that runs on a drained machine stays:
// a machine that fails what it starts does no harm to what runs (cellarline-qld-next, day
// `troubles`: stopping them there cost more served time than the loss of machines).
void Interruptions::move_replicas(Machine& machine, Instant now) const {
  if (!machine.interruption_at ||
      *machine.interruption_at - now > to_nanos(platform_.heartbeat_interval * 2))
    return;
  for (Allocation& allocation : machine.allocations) {
    if (!allocation.service || allocation.stopping() || allocation.unsent()) continue;
    allocations_.stop(machine, allocation, StopReason::interruption, Seconds(0), now);
  }
}

// Tasks that can save a checkpoint run on as long as possible, then save before the machine goes.
void Interruptions::save_checkpoints(Machine& machine, Instant now) const {
  if (!machine.interruption_at) return;
  const Seconds left = to_seconds(*machine.interruption_at - now);
  for (size_t i = machine.allocations.size(); i-- > 0;) {
    Allocation& allocation = machine.allocations[i];
    const Job* open_job = allocations_.job(allocation.task.job);
    if (!open_job || allocation.stopping() || open_job->spec().checkpoint <= Seconds(0)) continue;
    const Seconds save = open_job->spec().save;
    if (left > save + kSaveSlack) continue;
    if (allocation.gang) {
      // A gang saves as a whole or not at all: all its tasks are stopped in the same moment, well
      // inside `gang_peer` of one another.
      allocations_.stop_gang(allocation.task.job, allocation.attempt, save + platform_.gang_peer,
                             now);
    } else {
      allocations_.stop(machine, allocation, StopReason::interruption, save + kStopGraceSlack, now);
    }
  }
}

}  // namespace dunlinknot::cluster
