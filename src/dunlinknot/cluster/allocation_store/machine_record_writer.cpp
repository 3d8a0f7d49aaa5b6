// Collecting, writing and rereading the records of machines.
#include "dunlinknot/cluster/allocation_store/machine_record_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

// The maximum number of dirty machines that a batch skips because their records cannot be added.
constexpr size_t kMaxSkippedMachines = 8;
// No further record is added to a transaction of this size in JSON.
constexpr size_t kFullBatchBytes = size_t{40} * 1024;

// The open jobs with allocations on the machine that are not durable yet.
std::set<std::string> newly_allocated_jobs(const Cluster& cluster, const Machine& machine) {
  std::set<std::string> jobs;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.phase == AllocationPhase::planned && cluster.job(allocation.task.job)) {
      jobs.insert(allocation.task.job);
    }
  }
  return jobs;
}

// An upper bound of the bytes in JSON that the machine's record and its compares add to a
// transaction, which compares the records of `jobs` too.
size_t added_bytes(const Cluster& cluster, const Machine& machine,
                   const std::set<std::string>& jobs) {
  const std::string key = wire::machine_key(machine.id);
  size_t bytes =
      wire::store::write_size(key, cluster.record_size(machine)) + wire::store::compare_size(key);
  for (const std::string& id : jobs) bytes += wire::store::compare_size(wire::job_key(id));
  return bytes;
}

// Removes new allocations from a record, except those of the jobs in `kept_jobs`.
void remove_new_allocations(wire::MachineRecord& record, const Machine& machine,
                            const std::set<std::string>& kept_jobs) {
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.phase != AllocationPhase::planned || kept_jobs.contains(allocation.task.job))
      continue;
    for (auto& group : record.groups) {
      if (group.job != allocation.task.job) continue;
      std::erase(group.tasks, std::pair(allocation.task.index, allocation.attempt));
    }
  }
  std::erase_if(record.groups, [](const auto& group) { return group.tasks.empty(); });
}

}  // namespace

std::vector<std::string> MachineRecordWriter::machines_to_reread() const {
  return access_.context.leader_state.with([](LeaderState& leader) {
    std::vector<std::string> ids;
    for (const auto& [id, machine] : leader.cluster.machines()) {
      if (!machine->mod_revision_known) ids.push_back(id);
    }
    return ids;
  });
}

// The allocations in the stored record are durable, regardless of which attempt to write it
// succeeded.
Effects MachineRecordWriter::apply_stored(const std::string& id, const kv::GetResult& got) const {
  Effects effects;
  access_.context.leader_state.with([&](LeaderState& leader) {
    Machine* machine = leader.cluster.find_machine(id);
    if (!machine) return;
    const auto record = got.found ? wire::read_machine_record(got.item.value) : std::nullopt;
    leader.cluster.machine_stored(*machine, record.value_or(wire::MachineRecord{}),
                                  got.found ? got.item.mod_revision : 0, effects);
  });
  return effects;
}

// Rereads the records that a transaction with an unknown outcome may have changed.
Task<void> MachineRecordWriter::reread_unknown(uint64_t term) {
  mod_revisions_unknown_ = false;
  const std::vector<std::string> ids = machines_to_reread();
  for (const std::string& id : ids) {
    const kv::GetResult got =
        co_await access_.store.get(wire::machine_key(id), StoreAccess::kCallTimeout);
    if (!access_.context.in_term(term)) co_return;
    if (got.outcome != Outcome::ok) {
      mod_revisions_unknown_ = true;
      continue;
    }
    access_.context.follow_up(apply_stored(id, got));
  }
}

// How many more compares the transaction can contain, besides that of the next machine's record.
size_t MachineRecordWriter::compares_left(const Batch& batch) const {
  const size_t max_compares = access_.max_compares();
  const size_t used = batch.txn.compares.size() + batch.jobs.size() + 1;
  return max_compares > used ? max_compares - used : 0;
}

size_t MachineRecordWriter::max_machines() const {
  return std::min(access_.max_writes(), max_machines_);
}

bool MachineRecordWriter::full(const Batch& batch) const {
  return batch.machines.size() >= max_machines() || batch.bytes > kFullBatchBytes ||
         compares_left(batch) == 0;
}

// Adds the machine's record to the transaction. Returns false if the transaction has no room for
// it.
bool MachineRecordWriter::add_record(Batch& batch, Cluster& cluster, Machine& machine) const {
  // The record can be too large if another version of the program, with a higher limit, stored it.
  // It is not rewritten until enough of its allocations have ended, and the tasks of its planned
  // allocations are placed elsewhere. The larger record in the store contains ended allocations,
  // but none is missing (safety 1: no task runs twice).
  if (cluster.record_size(machine) > access_.store.limits().value_bytes()) {
    (void)cluster.drop_planned(machine, access_.context.loop.now());
    machine.dirty = false;
    return true;
  }
  // Safety 3, completions and cancellations are durable before they are acknowledged: the write of
  // a new allocation fails if its job was cancelled or has ended, so that none of its tasks starts.
  std::set<std::string> added_jobs = newly_allocated_jobs(cluster, machine);
  for (const std::string& id : batch.jobs) added_jobs.erase(id);
  const size_t room = compares_left(batch);
  const size_t bytes = added_bytes(cluster, machine, added_jobs);
  const bool fits =
      added_jobs.size() <= room && batch.bytes + bytes <= kv::Limits::kMaxTransactionBytes;
  if (!fits && !batch.machines.empty()) return false;
  MachineWrite write{machine.id, machine.mod_revision, cluster.record_of(machine)};
  if (added_jobs.size() > room) {
    // The machine has more jobs than one transaction can compare. The other jobs are written by
    // later transactions.
    while (added_jobs.size() > room) added_jobs.erase(std::prev(added_jobs.end()));
    remove_new_allocations(write.record, machine, added_jobs);
  }
  std::string value;
  if (!write.record.groups.empty()) value = wire::write_machine_record(write.record);
  if (value.empty() && write.mod_revision == 0) {
    machine.dirty = machine.shrunk = false;
    return true;
  }
  batch.jobs.insert(added_jobs.begin(), added_jobs.end());
  batch.bytes += bytes;
  batch.txn.compares.push_back({wire::machine_key(machine.id), write.mod_revision});
  batch.txn.writes.push_back({wire::machine_key(machine.id), std::move(value), 0});
  machine.write_in_flight = true;
  batch.machines.push_back(std::move(write));
  return true;
}

// Adds records that gained entries, in queue order. Those that cannot be written now are queued
// again.
void MachineRecordWriter::collect_dirty(Batch& batch, Cluster& cluster) const {
  std::vector<Machine*> unwritable;  // a write is in flight, or the record must be reread
  std::vector<Machine*> too_many_jobs;
  while (!full(batch) && unwritable.size() + too_many_jobs.size() < kMaxSkippedMachines) {
    Machine* machine = cluster.next_dirty_machine();
    if (!machine) break;
    if (!machine->mod_revision_known || machine->write_in_flight) {
      unwritable.push_back(machine);
    } else if (!add_record(batch, cluster, *machine)) {
      too_many_jobs.push_back(machine);
    }
  }
  for (Machine* machine : unwritable) cluster.mark_dirty(*machine);
  while (!too_many_jobs.empty()) {
    cluster.requeue_dirty_machine(*too_many_jobs.back());
    too_many_jobs.pop_back();
  }
}

void MachineRecordWriter::collect_shrunk(Batch& batch, Cluster& cluster) const {
  for (auto& [id, machine] : cluster.machines()) {
    if (full(batch)) break;
    const bool shrank = machine->shrunk && !machine->dirty && machine->mod_revision_known &&
                        !machine->write_in_flight;
    if (shrank && !add_record(batch, cluster, *machine)) break;
  }
}

// Collects as many of the records to be written as fit into one transaction.
MachineRecordWriter::Batch MachineRecordWriter::collect(Cluster& cluster,
                                                        bool include_shrunk) const {
  Batch batch;
  batch.txn.compares.push_back(access_.context.epoch_compare());
  batch.bytes = wire::store::empty_transaction_size() + wire::store::compare_size(wire::kEpochKey);
  collect_dirty(batch, cluster);
  if (include_shrunk && cluster.dirty_machine_count() == 0) collect_shrunk(batch, cluster);
  for (const std::string& id : batch.jobs) {
    batch.txn.compares.push_back({wire::job_key(id), cluster.job(id)->mod_revision});
  }
  return batch;
}

Effects MachineRecordWriter::apply_write(Cluster& cluster, const MachineWrite& write,
                                         const kv::TransactionResult& result) {
  Effects effects;
  const std::string key = wire::machine_key(write.id);
  const bool deleted = write.record.groups.empty();
  Machine* machine = cluster.find_machine(write.id);
  if (!machine) {
    if (result.applied && !deleted) cleaner_.add({key, result.revision});
    return effects;
  }
  machine->write_in_flight = false;
  if (result.applied) {
    cluster.machine_stored(*machine, write.record, deleted ? 0 : result.revision, effects);
  } else if (result.outcome == Outcome::unknown || result.compare_failed(key)) {
    machine->mod_revision_known = false;
    mod_revisions_unknown_ = true;
  }
  if (!result.applied && machine->dirty) cluster.mark_dirty(*machine);
  return effects;
}

// The same transaction would be rejected again. The next ones contain fewer records; if the record
// of a single machine is rejected, the tasks of its planned allocations are placed elsewhere. The
// stored record then contains ended allocations, but none is missing (safety 1).
Effects MachineRecordWriter::apply_rejection(Cluster& cluster, const Batch& batch) {
  max_machines_ = std::max<size_t>(batch.machines.size() / 2, 1);
  if (batch.machines.size() > 1) return {};
  const std::string& id = batch.machines.front().id;
  Machine* machine = cluster.find_machine(id);
  if (!machine) return {};
  spdlog::error(
      "machine {}: the key-value store does not accept its record; its new tasks are placed "
      "again",
      id);
  machine->dirty = machine->shrunk = false;
  return cluster.drop_planned(*machine, access_.context.loop.now());
}

MachineRecordWriter::Applied MachineRecordWriter::apply_result(
    Cluster& cluster, const Batch& batch, const kv::TransactionResult& result) {
  Applied applied;
  if (result.applied) max_machines_ = std::min(max_machines_ * 2, StoreAccess::kMaxWrites);
  for (const MachineWrite& write : batch.machines) {
    applied.effects |= apply_write(cluster, write, result);
  }
  for (const std::string& id : batch.jobs) {
    if (!result.compare_failed(wire::job_key(id))) continue;
    applied.effects |= cluster.drop_planned_for_job(id, access_.context.loop.now());
    applied.changed_jobs.push_back(id);
  }
  if (result.rejected) applied.effects |= apply_rejection(cluster, batch);
  return applied;
}

Task<bool> MachineRecordWriter::write_some(uint64_t term, bool include_shrunk) {
  LeaderContext& context = access_.context;
  if (mod_revisions_unknown_) {
    co_await reread_unknown(term);
    if (!context.in_term(term)) co_return false;
  }
  const size_t dirty_machines = context.leader_state.with(
      [](LeaderState& leader) { return leader.cluster.dirty_machine_count(); });
  if (dirty_machines == 0 && !include_shrunk) co_return false;
  // Records that only lost entries are rewritten only if the budget has slack: an obsolete entry
  // delays a new leader briefly, whereas a delayed allocation leaves a machine unused.
  if (dirty_machines == 0 && !access_.has_slack()) co_return false;
  co_await access_.await_budget(term,
                                static_cast<double>(std::min(dirty_machines, max_machines())));
  if (!context.in_term(term)) co_return false;
  Batch batch = context.leader_state.with(
      [&](LeaderState& leader) { return collect(leader.cluster, include_shrunk); });
  if (batch.machines.empty()) co_return false;
  const kv::TransactionResult result =
      co_await access_.store.commit(std::move(batch.txn), StoreAccess::kCallTimeout);
  if (!context.in_term(term)) co_return false;
  const Applied applied = context.leader_state.with(
      [&](LeaderState& leader) { return apply_result(leader.cluster, batch, result); });
  if (access_.superseded(result)) co_return false;
  context.follow_up(applied.effects);
  for (const std::string& id : applied.changed_jobs) co_await jobs_.reread(term, id);
  if (result.outcome != Outcome::ok) co_await context.loop.sleep(StoreAccess::kRetryDelay);
  co_return true;
}

}  // namespace dunlinknot::cluster
