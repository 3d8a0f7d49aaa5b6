// The allocation store's machine records: allocations are durable before their `run` goes out.
#include <algorithm>
#include <set>

#include "dunlinknot/cluster/allocation_store.hpp"

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr auto kTrailing = std::chrono::seconds(4);
constexpr size_t kMostPassedOver = 8;  // machines whose jobs one transaction cannot guard
constexpr size_t kTxnBytes = size_t{40} * 1024;
constexpr size_t kComparesPerWrite = 4;  // the key-value store's limit, in writes of a transaction
constexpr double kApiReserve = 0.2;      // of the write budget's burst, left to the users' requests
constexpr double kSlackLevel = 0.6;      // of the burst: what can wait is written above this

}  // namespace

Task<void> AllocationStore::store_machines(uint64_t term) {
  Instant next_trailing = context_.loop.now() + kTrailing;
  while (context_.in_term(term)) {
    (void)co_await context_.store_machines.wait_until(next_trailing);
    const bool trailing = context_.loop.now() >= next_trailing;
    if (trailing) next_trailing = context_.loop.now() + kTrailing;
    for (bool more = true; more && context_.in_term(term);)
      more = co_await store_some_machines(term, trailing);
    if (trailing) {
      for (bool more = true; more && context_.in_term(term);)
        more = co_await delete_some_records(term);
    }
  }
}

// Machines whose record may have been changed by a transaction with an unknown outcome.
Task<void> AllocationStore::refresh_machines(uint64_t term) {
  mod_revisions_unknown_ = false;
  std::vector<std::string> ids = context_.leader_state.with([](LeaderState& leader) {
    std::vector<std::string> out;
    for (const auto& [id, machine] : leader.cluster.machines()) {
      if (!machine->mod_revision_known) out.push_back(id);
    }
    return out;
  });
  for (const auto& id : ids) {
    kv::GetResult got = co_await store_.get(wire::machine_key(id), kCommitTime);
    if (!context_.in_term(term)) co_return;
    if (got.outcome != Outcome::ok) {
      mod_revisions_unknown_ = true;
      continue;
    }
    Effects effects;
    context_.leader_state.with([&](LeaderState& leader) {
      Machine* machine = leader.cluster.find_machine(id);
      if (!machine) return;
      // What the record says is what is durable, whichever attempt wrote it.
      const auto record = got.found ? wire::read_machine_record(got.item.value) : std::nullopt;
      leader.cluster.machine_stored(*machine, record.value_or(wire::MachineRecord{}),
                                    got.found ? got.item.mod_revision : 0, effects);
    });
    context_.follow_up(effects);
  }
}

// The allocation store keeps to what is left of the key-value store's budget, with a reserve for
// the users' requests at this node: else the allocations of a large cluster crowd submissions out.
Task<void> AllocationStore::await_budget(uint64_t term, double writes) {
  const double burst = store_.write_burst();
  const double want = std::min(writes, burst / 4) + burst * kApiReserve;
  while (context_.in_term(term) && store_.write_level() < want) {
    co_await context_.loop.sleep(std::max<Nanos>(store_.writes_in(want), Millis(2)));
  }
}

namespace {

// Takes the new allocations of all but these jobs out of a record.
void leave_out_new_allocations(wire::MachineRecord& record, const Machine& machine,
                               const std::set<std::string>& but_of) {
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.phase != AllocationPhase::planned || but_of.contains(allocation.task.job))
      continue;
    for (auto& group : record.groups) {
      if (group.job != allocation.task.job) continue;
      std::erase(group.tasks, std::pair(allocation.task.index, allocation.attempt));
    }
  }
  std::erase_if(record.groups, [](const auto& group) { return group.tasks.empty(); });
}

}  // namespace

// How many more guards the transaction takes, beside that on a machine's record.
size_t AllocationStore::compares_left(const MachineBatch& batch) const {
  const size_t most = max_ops() * kComparesPerWrite;
  const size_t taken = batch.txn.compares.size() + batch.jobs.size() + 1;
  return most > taken ? most - taken : 0;
}

// Adds the machine's record to the transaction; false when it does not fit into it any more.
bool AllocationStore::add_machine_record(MachineBatch& batch, Cluster& cluster,
                                         Machine& machine) const {
  // A record that another version stored large has to shrink first, as what is allocated there
  // ends. What was to be added goes elsewhere. The larger record that stands allocates too much,
  // never too little (safety 1).
  if (cluster.record_size(machine) > store_.limits().value_bytes()) {
    (void)cluster.drop_planned(machine, context_.loop.now());
    machine.dirty = false;
    return true;
  }
  // Safety 3: an allocation is refused when its job was cancelled or is over.
  std::set<std::string> fresh;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.phase == AllocationPhase::planned && cluster.job(allocation.task.job))
      fresh.insert(allocation.task.job);
  }
  for (const std::string& id : batch.jobs) fresh.erase(id);
  const size_t room = compares_left(batch);
  if (fresh.size() > room && !batch.machines.empty()) return false;
  MachineWrite write{machine.id, machine.mod_revision, cluster.record_of(machine)};
  if (fresh.size() > room) {
    // More jobs than one transaction guards: the rest follows with the next one.
    while (fresh.size() > room) fresh.erase(std::prev(fresh.end()));
    leave_out_new_allocations(write.record, machine, fresh);
  }
  std::string value;
  if (!write.record.groups.empty()) value = wire::write_machine_record(write.record);
  if (value.empty() && write.mod_revision == 0) {
    machine.dirty = machine.trailing = false;
    return true;
  }
  batch.jobs.insert(fresh.begin(), fresh.end());
  batch.bytes += value.size() * 2;
  batch.txn.compares.push_back({wire::machine_key(machine.id), write.mod_revision});
  batch.txn.writes.push_back({wire::machine_key(machine.id), std::move(value), 0});
  machine.storing = true;
  batch.machines.push_back(std::move(write));
  return true;
}

// The records that wait to be written, as many as one transaction takes; with `trailing`, also
// those that only shrank.
AllocationStore::MachineBatch AllocationStore::collect_machines(Cluster& cluster,
                                                                bool trailing) const {
  MachineBatch batch;
  batch.txn.compares.push_back(epoch_compare());
  const auto full = [&] {
    return batch.machines.size() >= max_ops() || batch.bytes > kTxnBytes ||
           compares_left(batch) == 0;
  };
  std::vector<Machine*> unwritable;  // what stands in their records is being found out
  std::vector<Machine*> too_many_jobs;
  while (!full() && unwritable.size() + too_many_jobs.size() < kMostPassedOver) {
    Machine* machine = cluster.next_dirty_machine();
    if (!machine) break;
    if (!machine->mod_revision_known || machine->storing) {
      unwritable.push_back(machine);
    } else if (!add_machine_record(batch, cluster, *machine)) {
      too_many_jobs.push_back(machine);
    }
  }
  for (Machine* machine : unwritable) cluster.mark_dirty(*machine);
  while (!too_many_jobs.empty()) {
    cluster.requeue_dirty_machine(*too_many_jobs.back());
    too_many_jobs.pop_back();
  }
  if (trailing && cluster.dirty_machine_count() == 0) {
    for (auto& [id, machine] : cluster.machines()) {
      if (full()) break;
      const bool shrank =
          machine->trailing && !machine->dirty && machine->mod_revision_known && !machine->storing;
      if (shrank && !add_machine_record(batch, cluster, *machine)) break;
    }
  }
  for (const auto& id : batch.jobs) {
    batch.txn.compares.push_back({wire::job_key(id), cluster.job(id)->mod_revision});
  }
  return batch;
}

// What the transaction's result says of the records and jobs that it was about. Adds the jobs whose
// record was not what the leader took it for to `recheck`.
Effects AllocationStore::apply_machines_result(Cluster& cluster, const MachineBatch& batch,
                                               const kv::TransactionResult& result,
                                               std::vector<std::string>& recheck) {
  Effects effects;
  for (const auto& w : batch.machines) {
    Machine* machine = cluster.find_machine(w.id);
    if (!machine) {
      if (result.applied && !w.record.groups.empty()) {
        garbage_.emplace_back(wire::machine_key(w.id), result.revision);
      }
      continue;
    }
    machine->storing = false;
    if (result.applied) {
      cluster.machine_stored(*machine, w.record, w.record.groups.empty() ? 0 : result.revision,
                             effects);
    } else if (result.outcome == Outcome::unknown ||
               result.compare_failed(wire::machine_key(w.id))) {
      machine->mod_revision_known = false;
      mod_revisions_unknown_ = true;
    }
    if (!result.applied && machine->dirty) cluster.mark_dirty(*machine);
  }
  for (const auto& id : batch.jobs) {
    if (!result.compare_failed(wire::job_key(id))) continue;
    effects |= cluster.drop_unsent(id, context_.loop.now());
    recheck.push_back(id);
  }
  return effects;
}

// Returns whether there may be more to do at once.
Task<bool> AllocationStore::store_some_machines(uint64_t term, bool trailing) {
  if (mod_revisions_unknown_) {
    co_await refresh_machines(term);
    if (!context_.in_term(term)) co_return false;
  }
  const size_t waiting = context_.leader_state.with(
      [](LeaderState& leader) { return leader.cluster.dirty_machine_count(); });
  if (waiting == 0 && !trailing) co_return false;
  // Records that only shrank are rewritten with what is left over: an entry too many costs a new
  // leader a moment, an allocation that waits costs a machine.
  if (waiting == 0 && store_.write_level() < store_.write_burst() * kSlackLevel) co_return false;
  co_await await_budget(term, static_cast<double>(std::min(waiting, max_ops())));
  if (!context_.in_term(term)) co_return false;
  MachineBatch batch = context_.leader_state.with(
      [&](LeaderState& leader) { return collect_machines(leader.cluster, trailing); });
  if (batch.machines.empty()) co_return false;
  const kv::TransactionResult result = co_await store_.commit(std::move(batch.txn), kCommitTime);
  if (!context_.in_term(term)) co_return false;
  std::vector<std::string> recheck;
  const Effects effects = context_.leader_state.with([&](LeaderState& leader) {
    return apply_machines_result(leader.cluster, batch, result, recheck);
  });
  if (result.compare_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  context_.follow_up(effects);
  for (auto& id : recheck) co_await recheck_job(term, id);
  if (result.outcome != Outcome::ok) co_await context_.loop.sleep(kRetry);
  co_return true;
}

Task<bool> AllocationStore::delete_some_records(uint64_t term) {
  auto dead = context_.leader_state.with(
      [](LeaderState& leader) { return leader.cluster.drain_dead_records(); });
  for (auto& d : dead) garbage_.emplace_back(std::move(d.key), d.mod_revision);
  if (garbage_.empty() || store_.write_level() < store_.write_burst() * kSlackLevel)
    co_return false;
  std::optional<std::vector<kv::Compare>> compares = hooks_.cleanup_compares();
  if (!compares) co_return false;
  kv::Transaction txn;
  txn.compares = std::move(*compares);
  std::vector<std::pair<std::string, uint64_t>> batch;
  while (!garbage_.empty() && batch.size() < std::min<size_t>(max_ops(), 12)) {
    batch.push_back(garbage_.front());
    garbage_.pop_front();
    txn.compares.push_back({batch.back().first, batch.back().second});
    txn.writes.push_back({batch.back().first, "", 0});
  }
  const Instant sent = context_.loop.boot_now();
  kv::TransactionResult result = co_await store_.commit(std::move(txn), kCommitTime);
  if (!context_.in_term(term)) co_return false;
  hooks_.cleanup_result(result, sent);
  if (result.compare_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  if (result.applied) co_return !garbage_.empty();
  for (auto& [key, mod_revision] : batch) {
    if (!result.compare_failed(key)) {
      garbage_.emplace_back(key, mod_revision);
      continue;
    }
    // Gone already, or written by a transaction whose answer we never had.
    kv::GetResult got = co_await store_.get(key, kCommitTime);
    if (!context_.in_term(term)) co_return false;
    if (got.outcome == Outcome::ok && got.found) garbage_.emplace_back(key, got.item.mod_revision);
  }
  co_return false;
}

}  // namespace dunlinknot::cluster
