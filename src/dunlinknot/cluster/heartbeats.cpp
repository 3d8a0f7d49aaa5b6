// Accepting and rejecting heartbeats, and responding to them.
#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::cluster {

namespace {

// Orders the heartbeats of one machine: by the incarnation of its worker, then by sequence.
struct HeartbeatNumber {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  auto operator<=>(const HeartbeatNumber&) const = default;
};

HeartbeatNumber number_of(const Heartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.sequence};
}

HeartbeatNumber last_heartbeat_of(const Machine& machine) {
  return {machine.heartbeat_incarnation, machine.heartbeat_sequence};
}

HeartbeatResponse response_of(HeartbeatResponse::Kind kind) {
  HeartbeatResponse response;
  response.kind = kind;
  return response;
}

// Whether the status is newer than every status applied before, from a heartbeat or from the
// response to a direct call.
bool is_fresh(const Machine& machine, const Heartbeat& heartbeat) {
  return !machine.has_heartbeat ||
         number_of(heartbeat) > HeartbeatNumber{machine.incarnation, machine.sequence};
}

// Whether the heartbeat may renew the lease of its worker.
bool renews_lease(const Machine& machine, const Heartbeat& heartbeat) {
  if (machine.lost && heartbeat.incarnation <= machine.incarnation) return false;
  // A duplicate of the last heartbeat or of an older one. No worker waits for the response, so it
  // must neither end allocations nor renew the lease.
  if (machine.has_heartbeat && number_of(heartbeat) <= last_heartbeat_of(machine)) return false;
  return true;
}

}  // namespace

HeartbeatResponse Cluster::handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                            Effects& effects) {
  HeartbeatResponse response = apply_heartbeat(heartbeat, now, may_start, effects);
  if (response.kind != HeartbeatResponse::Kind::accept) return response;
  return commands_for(heartbeat, now, may_start && response.status_applied);
}

HeartbeatResponse Cluster::apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                           Effects& effects) {
  using Kind = HeartbeatResponse::Kind;
  if (heartbeat.fencing_token > epoch_) return response_of(Kind::superseded);
  // The heartbeat was in flight while its machine was deleted.
  if (was_removed(heartbeat.machine)) return response_of(Kind::stale);
  Machine& machine =
      register_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
  if (!renews_lease(machine, heartbeat)) return response_of(Kind::stale);
  machine.heartbeat_incarnation = heartbeat.incarnation;
  machine.heartbeat_sequence = heartbeat.sequence;
  HeartbeatResponse response;
  // The heartbeat is older than a status already applied, because the response to a direct call can
  // overtake a heartbeat. The worker may still be waiting, so its lease is renewed, but the status
  // is not applied and no task is started.
  if (!is_fresh(machine, heartbeat)) return response;
  response.status_applied = true;
  const bool was_fenced = machine.fenced;
  Effects changed;
  reconciler_.apply(machine, {heartbeat, now, epoch_, true}, changed);
  effects |= changed;
  if (!may_start || machine.draining || machine.terminating) return response;
  allocations_.start_queued(machine, reserved_per_gpu_, now);
  response.run_likely = worker_commands_.is_run_likely(
      machine, has_pending_work_ && (changed.schedule || !was_fenced));
  return response;
}

HeartbeatResponse Cluster::commands_for(const Heartbeat& heartbeat, Instant now, bool may_start) {
  Machine* machine = find_machine(heartbeat.machine);
  // The machine was removed or lost meanwhile, or its worker timed out waiting for this response
  // and sent a new heartbeat.
  if (!machine || machine->lost || last_heartbeat_of(*machine) != number_of(heartbeat))
    return response_of(HeartbeatResponse::Kind::stale);
  HeartbeatResponse response;
  response.commands = worker_commands_.take(*machine, heartbeat, may_start);
  machine->last_response = now;
  return response;
}

Effects Cluster::apply_direct_status(const Heartbeat& heartbeat, Instant now) {
  Effects effects;
  Machine* machine = find_machine(heartbeat.machine);
  if (!machine || machine->lost || heartbeat.fencing_token > epoch_ ||
      !is_fresh(*machine, heartbeat))
    return effects;
  reconciler_.apply(*machine, {heartbeat, now, epoch_, false}, effects);
  return effects;
}

}  // namespace dunlinknot::cluster
