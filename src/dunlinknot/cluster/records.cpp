// The records of machines in the key-value store: their contents, their size, and what follows once
// one is durable.
#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

void Cluster::mark_dirty(Machine& machine, bool urgent) {
  machine.dirty = true;
  if (machine.urgent || (machine.write_queued && !urgent)) return;
  // One that waits already may become urgent: its other place in the queue is passed over later.
  (urgent ? machine.urgent : machine.write_queued) = true;
  (urgent ? urgent_machines_ : dirty_machines_).push_back(machine.id);
}

Machine* Cluster::next_dirty_machine() {
  while (dirty_machine_count() > 0) {
    const bool urgent = !urgent_machines_.empty();
    auto& queue = urgent ? urgent_machines_ : dirty_machines_;
    const std::string id = std::move(queue.front());
    queue.pop_front();
    Machine* machine = find_machine(id);
    if (!machine) continue;
    (urgent ? machine->urgent : machine->write_queued) = false;
    if (machine->dirty) return machine;
  }
  return nullptr;
}

void Cluster::requeue_dirty_machine(Machine& machine) {
  const bool urgent = std::any_of(
      machine.allocations.begin(), machine.allocations.end(), [](const Allocation& allocation) {
        return allocation.phase == Phase::planned && (allocation.gang || allocation.service);
      });
  bool& waits = urgent ? machine.urgent : machine.write_queued;
  if (waits) return;
  waits = true;
  (urgent ? urgent_machines_ : dirty_machines_).push_front(machine.id);
}

wire::MachineRecord Cluster::record_of(const Machine& machine) const {
  wire::MachineRecord record;
  record.type = machine.type;
  record.zone = machine.zone;
  record.address = machine.address;
  record.spot = machine.spot;
  for (const Allocation& allocation : machine.allocations) {
    auto* g =
        find_where(record.groups, [&](const auto& x) { return x.job == allocation.task.job; });
    if (!g) {
      record.groups.push_back(
          {allocation.task.job, allocation.team_name, allocation.need, allocation.gang, {}});
      g = &record.groups.back();
    }
    g->tasks.emplace_back(allocation.task.index, allocation.attempt);
  }
  return record;
}

size_t Cluster::record_size(const Machine& machine) const {
  size_t size = wire::machine_record_size(machine.type, machine.zone, machine.address);
  std::vector<std::string_view> jobs;
  for (const Allocation& allocation : machine.allocations) {
    size += wire::machine_task_size(allocation.task.index, allocation.attempt);
    if (std::find(jobs.begin(), jobs.end(), allocation.task.job) != jobs.end()) continue;
    jobs.push_back(allocation.task.job);
    size += allocation.record_group_size;
  }
  return size;
}

Cluster::RecordCost Cluster::record_cost(const Job& job) const {
  constexpr uint64_t kMostAttempts = (uint64_t{1} << 24) - 1;  // of one epoch, see next_attempt
  return {job.record_group_size(),
          wire::machine_task_size(job.spec().tasks, epoch_ << 24 | kMostAttempts)};
}

void Cluster::machine_stored(Machine& machine, const wire::MachineRecord& written,
                             uint64_t mod_revision, Effects& effects) {
  machine.mod_revision = mod_revision;
  machine.mod_revision_known = true;
  machine.stored.clear();
  for (const auto& g : written.groups) {
    for (const auto& [index, attempt] : g.tasks)
      machine.stored.emplace_back(TaskRef{g.job, index}, attempt);
  }
  machine.dirty = false;
  machine.trailing = false;
  for (const auto& [task, attempt] : machine.stored) {
    if (!machine.find(task, attempt)) machine.trailing = true;
  }
  for (Allocation& claim : machine.allocations) {
    if (claim.phase != Phase::planned) continue;
    const bool there = find_where(machine.stored, [&](const auto& s) {
      return s.second == claim.attempt && s.first == claim.task;
    });
    if (!there) {
      mark_dirty(machine, claim.gang || claim.service);
      effects.store_machines = true;
      continue;
    }
    claim.phase = Phase::durable;
    effects.runs = true;
    if (!claim.gang) {
      runnable_.push_back(machine.id);
      continue;
    }
    // Safety 4: a gang starts once every one of its allocations stands.
    Job* open_job = job(claim.task.job);
    if (!open_job || open_job->gang_attempt != claim.attempt) continue;
    uint32_t standing = 0;
    for (const Machine* other : holders(claim.task.job)) {
      for (const Allocation& allocation : other->allocations) {
        if (allocation.task.job == claim.task.job && allocation.attempt == claim.attempt &&
            allocation.phase != Phase::planned) {
          ++standing;
        }
      }
    }
    open_job->gang_go = standing == open_job->spec().tasks;
    if (!open_job->gang_go) continue;
    for (const Machine* other : holders(claim.task.job)) runnable_.push_back(other->id);
  }
}

}  // namespace dunlinknot::cluster
