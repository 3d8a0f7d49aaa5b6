// Selecting the commands of a response.
#include "dunlinknot/cluster/worker_commands.hpp"

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMaxCommands = 400;  // per response; stops are not limited

}  // namespace

std::vector<Command> WorkerCommands::take(Machine& machine, const Heartbeat& heartbeat,
                                          bool may_start) const {
  std::vector<Command> commands;
  // Stops come first: every response that renews a lease contains all stops that are due (safety 2:
  // the tasks of a cancelled job end within `cancel_s`), and the tasks to be started use the
  // resources that the stops free.
  add_stops(machine, heartbeat, commands);
  add_forgets(heartbeat, commands);
  if (may_start && !machine.draining && !machine.terminating)
    add_runs(machine, heartbeat, commands);
  return commands;
}

bool WorkerCommands::is_run_likely(const Machine& machine, bool room_may_be_used) const {
  if (!machine.fenced || machine.unreachable || machine.interruption_at) return false;
  const auto sendable = [&](const Allocation& allocation) { return is_sendable(allocation); };
  if (find_where(machine.allocations, sendable)) return false;
  if (room_may_be_used && machine.free().cpus > 0) return true;
  return find_where(machine.allocations, [](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::planned;
  });
}

bool WorkerCommands::is_sendable(const Allocation& allocation) const {
  if (allocation.phase != AllocationPhase::durable || allocation.queued || allocation.stopping())
    return false;
  const Job* open_job = allocations_.job(allocation.task.job);
  if (!open_job) return false;
  // Safety 4: a gang's runs are sent only once all its allocations are durable.
  return !allocation.gang ||
         (open_job->gang_may_start && open_job->gang_attempt == allocation.attempt);
}

void WorkerCommands::add_stops(const Machine& machine, const Heartbeat& heartbeat,
                               std::vector<Command>& commands) {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::exited) continue;
    const Allocation* allocation = machine.find(task.task, task.attempt);
    if (!allocation || !allocation->stopping()) continue;
    // A task that is saving a checkpoint within its grace period is already stopping.
    if (task.state == TaskState::saving && allocation->grace > Seconds(0)) continue;
    commands.push_back({Command::Op::stop, task.task, task.attempt, allocation->grace});
  }
}

void WorkerCommands::add_forgets(const Heartbeat& heartbeat, std::vector<Command>& commands) const {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (commands.size() >= kMaxCommands) break;
    if (task.state != TaskState::exited) continue;
    // Safety 3: `forget` is sent only after the completion is durable, so that completed tasks
    // never run again.
    const Job* open_job = allocations_.job(task.task.job);
    const bool keep = task.cause == ExitCause::done && open_job && !open_job->spec().service &&
                      task.task.index < open_job->spec().tasks &&
                      !open_job->is_durable(task.task.index);
    if (!keep) commands.push_back({Command::Op::forget, task.task, task.attempt, Seconds(0)});
  }
}

void WorkerCommands::add_runs(Machine& machine, const Heartbeat& heartbeat,
                              std::vector<Command>& commands) const {
  for (Allocation& allocation : machine.allocations) {
    if (!is_sendable(allocation) || commands.size() >= kMaxCommands) continue;
    commands.push_back({Command::Op::start, allocation.task, allocation.attempt, Seconds(0)});
    allocation.phase = AllocationPhase::sent;
    allocation.sent_incarnation = heartbeat.incarnation;
  }
}

}  // namespace dunlinknot::cluster
