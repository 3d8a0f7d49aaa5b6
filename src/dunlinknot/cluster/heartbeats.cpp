// Which heartbeats are believed, and the commands that the responses to them carry.
#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMaxCommands = 400;  // in a response; stops are never left out

// Heartbeats of one machine are ordered by its worker's incarnation, then by number.
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

}  // namespace

// Newer than every status that was read, be it a heartbeat or the answer to a direct call.
bool Cluster::is_fresh(const Machine& machine, const Heartbeat& heartbeat) const {
  return !machine.has_heartbeat ||
         number_of(heartbeat) > HeartbeatNumber{machine.incarnation, machine.sequence};
}

// Whether the heartbeat is a sign of life that renews the lease.
bool Cluster::accept_heartbeat(const Heartbeat& heartbeat, Machine& machine) const {
  if (machine.lost && heartbeat.incarnation <= machine.incarnation) return false;
  // A copy of a heartbeat that was answered already, or of an older one: no worker waits for the
  // response. It frees nothing, and it is no sign of life.
  if (machine.has_heartbeat && number_of(heartbeat) <= last_heartbeat_of(machine)) return false;
  return true;
}

HeartbeatResponse Cluster::handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                            Effects& effects) {
  HeartbeatResponse response = apply_heartbeat(heartbeat, now, may_start, effects);
  if (response.kind != HeartbeatResponse::Kind::accept) return response;
  return commands_for(heartbeat, now, may_start && response.read);
}

HeartbeatResponse Cluster::apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                           Effects& effects) {
  using Kind = HeartbeatResponse::Kind;
  if (heartbeat.fencing_token > epoch_) return response_of(Kind::superseded);
  // It was under way while its machine was deleted.
  if (was_removed(heartbeat.machine)) return response_of(Kind::stale);
  Machine& machine =
      register_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
  if (!accept_heartbeat(heartbeat, machine)) return response_of(Kind::stale);
  machine.heartbeat_incarnation = heartbeat.incarnation;
  machine.heartbeat_sequence = heartbeat.sequence;
  HeartbeatResponse response;
  // Older than a status already read (the answer to a direct call may overtake a heartbeat): its
  // worker may still be waiting, so its lease is renewed, but nothing is read from it and nothing
  // started.
  if (!is_fresh(machine, heartbeat)) return response;
  response.read = true;
  const bool was_fenced = machine.fenced;
  Effects changed;
  reconciler_.apply(machine, {heartbeat, now, epoch_, true}, changed);
  effects |= changed;
  if (!may_start || machine.draining || machine.terminating) return response;
  allocations_.start_queued(machine, resources_per_gpu(), now);
  response.run_soon = is_run_likely(machine, changed.schedule || !was_fenced);
  return response;
}

// Whether it is worth holding the response back: a `run` cannot be sent yet, but is likely to be
// within moments. `room_is_new`: the scheduling cycle has not seen the machine's room yet.
bool Cluster::is_run_likely(const Machine& machine, bool room_is_new) const {
  if (!machine.fenced || machine.unreachable || machine.interruption_at) return false;
  const auto sendable = [&](const Allocation& allocation) { return is_sendable(allocation); };
  if (find_where(machine.allocations, sendable)) return false;
  if (work_waits_ && room_is_new && machine.free().cpus > 0) return true;
  return find_where(machine.allocations, [](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::planned;
  });
}

bool Cluster::is_sendable(const Allocation& allocation) const {
  if (allocation.phase != AllocationPhase::durable || allocation.queued || allocation.stopping())
    return false;
  const Job* open_job = job(allocation.task.job);
  if (!open_job) return false;
  // Safety 4: a gang starts as a whole.
  return !allocation.gang || (open_job->gang_go && open_job->gang_attempt == allocation.attempt);
}

HeartbeatResponse Cluster::commands_for(const Heartbeat& heartbeat, Instant now, bool may_start) {
  Machine* machine = find_machine(heartbeat.machine);
  // Gone meanwhile, or its worker gave up waiting for this response and sent a new heartbeat.
  if (!machine || machine->lost || last_heartbeat_of(*machine) != number_of(heartbeat))
    return response_of(HeartbeatResponse::Kind::stale);
  HeartbeatResponse response;
  // Stops first: what renews a lease carries every stop that is due (safety 2), and the room they
  // make is there for what starts.
  add_stops(*machine, heartbeat, response.commands);
  add_forgets(heartbeat, response.commands);
  if (may_start && !machine->draining && !machine->terminating)
    add_runs(*machine, heartbeat, response.commands);
  machine->last_answered = now;
  return response;
}

void Cluster::add_stops(const Machine& machine, const Heartbeat& heartbeat,
                        std::vector<Command>& commands) {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::exited) continue;
    const Allocation* allocation = machine.find(task.task, task.attempt);
    if (!allocation || !allocation->stopping()) continue;
    // A task that saves within its grace is stopping already.
    if (task.state == TaskState::saving && allocation->grace > Seconds(0)) continue;
    commands.push_back({Command::Op::stop, task.task, task.attempt, allocation->grace});
  }
}

void Cluster::add_forgets(const Heartbeat& heartbeat, std::vector<Command>& commands) const {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (commands.size() >= kMaxCommands) break;
    if (task.state != TaskState::exited) continue;
    // Safety 3: a completed task is forgotten only after its `done` is durable.
    const Job* open_job = job(task.task.job);
    const bool keep = task.cause == ExitCause::done && open_job && !open_job->spec().service &&
                      task.task.index < open_job->spec().tasks &&
                      !open_job->is_durable(task.task.index);
    if (!keep) commands.push_back({Command::Op::forget, task.task, task.attempt, Seconds(0)});
  }
}

void Cluster::add_runs(Machine& machine, const Heartbeat& heartbeat,
                       std::vector<Command>& commands) {
  for (Allocation& allocation : machine.allocations) {
    if (!is_sendable(allocation) || commands.size() >= kMaxCommands) continue;
    commands.push_back({Command::Op::start, allocation.task, allocation.attempt, Seconds(0)});
    allocation.phase = AllocationPhase::sent;
    allocation.sent_incarnation = heartbeat.incarnation;
  }
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
