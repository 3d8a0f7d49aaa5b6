// Applies the decisions of the scheduler and of preemption to the allocations.
#include <spdlog/spdlog.h>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::cluster {

namespace {

Allocation planned_allocation(const Job& job, uint32_t index, uint64_t attempt, Instant now) {
  Allocation allocation;
  allocation.task = TaskRef{job.spec().id, index};
  allocation.attempt = attempt;
  allocation.copy_from(job);
  allocation.placed_at = now;
  return allocation;
}

}  // namespace

// Safety 4: zones and constraints are counted over allocations, and no allocation may violate them.
// As tasks run only where the job has allocations, its tasks do not violate them either.
bool Cluster::may_allocate(const Machine& machine, Job& job, uint32_t index) {
  const bool allowed = pool_allowed(job.spec(), machine.type, machine.zone, machine.spot) &&
                       constraints_of(job).tasks_allowed(machine.zone) > 0;
  if (allowed) return true;
  job.requeue(index);
  ++refused_allocations_;
  spdlog::error(
      "refused to allocate task {} on machine {} (type {}, zone {}): this violates the placement "
      "constraints of its job; the task is pending again",
      TaskRef{job.spec().id, index}.text(), machine.id, machine.type, machine.zone);
  return false;
}

Allocation* Cluster::add_allocation(Machine& machine, Job& job, Allocation allocation) {
  machine.note_image(job.spec().image, job.spec().image_gb);
  job.failures.note_placement(machine.id, machine.works_since, allocation.placed_at);
  write_queue_.mark_dirty(machine, allocation.gang || allocation.service);
  return &allocations_.add(machine, std::move(allocation));
}

Allocation* Cluster::allocate(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                              Instant now) {
  if (!may_allocate(machine, job, index)) return nullptr;
  job.held_back_since = now;
  return add_allocation(machine, job, planned_allocation(job, index, attempt, now));
}

Allocation* Cluster::queue_on(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                              QueuePosition queue_position, Instant now) {
  if (!may_allocate(machine, job, index)) return nullptr;
  Allocation allocation = planned_allocation(job, index, attempt, now);
  allocation.queued = true;
  allocation.queue_position = queue_position;
  return add_allocation(machine, job, std::move(allocation));
}

bool Cluster::withdraw_queued(const std::string& id, Instant now) {
  return allocations_.withdraw_queued(id, now);
}

void Cluster::set_reserved(const std::map<std::string, Resources>& by_machine,
                           std::vector<std::optional<Resources>> allowances,
                           const Resources& per_gpu) {
  for (Machine* machine : reserved_machines_) machine->reserved = Resources{};
  reserved_machines_.clear();
  for (const auto& [id, room] : by_machine) {
    Machine* machine = find_machine(id);
    if (!machine) continue;
    machine->reserved = room;
    reserved_machines_.push_back(machine);
  }
  allocations_.usage().set_allowances(std::move(allowances));
  reserved_per_gpu_ = per_gpu;
}

void Cluster::stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
                   Instant now) {
  allocations_.stop(machine, allocation, reason, grace, now);
}

Effects Cluster::preempt(Machine& machine, const TaskRef& task, uint64_t attempt, Instant now) {
  Effects effects;
  Allocation* allocation = machine.find(task, attempt);
  if (!allocation || allocation->stopping()) return effects;
  if (allocation->unsent()) {
    // No worker will ever report this task, so a stopped allocation would never end.
    const auto index = static_cast<size_t>(allocation - machine.allocations.data());
    return allocations_.end(machine, index, now);
  }
  const Job* open_job = job(task.job);
  const bool saves = open_job && open_job->spec().checkpoint_interval > Seconds(0);
  stop(machine, *allocation, StopReason::preempted,
       saves ? open_job->spec().checkpoint_duration + kStopGraceMargin : Seconds(0), now);
  effects.stops = true;
  return effects;
}

Effects Cluster::drop_planned_for_job(const std::string& id, Instant now) {
  return allocations_.end_unsent(id, now, [](const Machine&, const Allocation& allocation) {
    return allocation.phase == AllocationPhase::planned;
  });
}

Effects Cluster::drop_planned(Machine& machine, Instant now) {
  return allocations_.end_on_machine(machine, now, [](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::planned;
  });
}

std::vector<StopCall> Cluster::drain_stop_calls() {
  return allocations_.stop_calls().drain(machines());
}

}  // namespace dunlinknot::cluster
