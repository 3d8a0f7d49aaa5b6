// Updating the allocations of a machine once its record is durable.
#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

void Cluster::note_stored(Machine& machine, const wire::MachineRecord& as_written,
                          uint64_t mod_revision) {
  machine.mod_revision = mod_revision;
  machine.mod_revision_known = true;
  machine.stored.clear();
  for (const auto& group : as_written.groups) {
    for (const auto& [index, attempt] : group.tasks)
      machine.stored.push_back({TaskRef{group.job, index}, attempt});
  }
  machine.dirty = false;
  // Allocations that ended while the write was in flight are still in the stored record.
  machine.shrunk = std::any_of(
      machine.stored.begin(), machine.stored.end(),
      [&](const StoredAllocation& stored) { return !machine.find(stored.task, stored.attempt); });
}

void Cluster::machine_stored(Machine& machine, const wire::MachineRecord& as_written,
                             uint64_t mod_revision, Effects& effects) {
  note_stored(machine, as_written, mod_revision);
  for (Allocation& allocation : machine.allocations) {
    if (allocation.phase != AllocationPhase::planned) continue;
    const bool is_stored = find_where(machine.stored, [&](const StoredAllocation& stored) {
      return stored.attempt == allocation.attempt && stored.task == allocation.task;
    });
    if (!is_stored) {
      // The allocation was planned while the write was in flight.
      write_queue_.mark_dirty(machine, allocation.gang || allocation.service);
      effects.store_machines = true;
      continue;
    }
    allocation.phase = AllocationPhase::durable;
    effects.runs = true;
    allow_run(machine, allocation);
  }
}

// Adds to `runnable_` the machines to which a `run` is sendable now that the allocation is durable.
void Cluster::allow_run(const Machine& machine, const Allocation& allocation) {
  if (!allocation.gang) {
    runnable_.push_back(machine.id);
    return;
  }
  // Safety 4: a gang's runs are sent only once all its allocations are durable.
  const std::string& id = allocation.task.job;
  Job* open_job = job(id);
  if (!open_job || open_job->gang_attempt != allocation.attempt) return;
  open_job->gang_may_start = count_durable(id, allocation.attempt) == open_job->spec().tasks;
  if (!open_job->gang_may_start) return;
  for (const Machine* holder : holders(id)) runnable_.push_back(holder->id);
}

// The number of durable allocations of one attempt, whether or not their `run` was sent.
uint32_t Cluster::count_durable(const std::string& id, uint64_t attempt) const {
  uint32_t durable = 0;
  for (const Machine* holder : holders(id)) {
    for (const Allocation& allocation : holder->allocations) {
      if (allocation.task.job == id && allocation.attempt == attempt &&
          allocation.phase != AllocationPhase::planned)
        ++durable;
    }
  }
  return durable;
}

}  // namespace dunlinknot::cluster
