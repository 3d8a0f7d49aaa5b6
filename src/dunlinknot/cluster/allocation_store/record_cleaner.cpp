// Batching and retrying the deletion of obsolete records.
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr size_t kMaxDeletions = 12;  // per transaction

}  // namespace

void RecordCleaner::collect_obsolete() {
  auto obsolete = access_.context.leader_state.with(
      [](LeaderState& leader) { return leader.cluster.drain_obsolete_records(); });
  for (ObsoleteRecord& record : obsolete) obsolete_.push_back(std::move(record));
}

// A record is deleted only if its mod revision is unchanged: the id of a removed machine, and with
// it the key of its record, may be in use again.
RecordCleaner::Batch RecordCleaner::next_batch(std::vector<kv::Compare> compares) {
  Batch batch;
  batch.txn.compares = std::move(compares);
  const size_t max_deletions = std::min(access_.max_writes(), kMaxDeletions);
  while (!obsolete_.empty() && batch.records.size() < max_deletions) {
    const ObsoleteRecord& record = obsolete_.front();
    batch.txn.compares.push_back({record.key, record.mod_revision});
    batch.txn.writes.push_back({record.key, "", 0});
    batch.records.push_back(std::move(obsolete_.front()));
    obsolete_.pop_front();
  }
  return batch;
}

Task<bool> RecordCleaner::delete_some(uint64_t term) {
  collect_obsolete();
  if (obsolete_.empty() || !access_.has_slack()) co_return false;
  std::optional<std::vector<kv::Compare>> compares = access_.handler.cleanup_compares();
  if (!compares) co_return false;
  Batch batch = next_batch(std::move(*compares));
  const Instant sent = access_.context.loop.boot_now();
  kv::TransactionResult result =
      co_await access_.store.commit(std::move(batch.txn), StoreAccess::kCallTimeout);
  if (!access_.context.in_term(term)) co_return false;
  access_.handler.apply_cleanup_result(result, sent);
  if (access_.superseded(result)) co_return false;
  if (result.applied) co_return !obsolete_.empty();
  co_await requeue(term, std::move(batch), std::move(result));
  co_return false;
}

// Queues again the records of a transaction that was not applied or had an unknown outcome.
Task<void> RecordCleaner::requeue(uint64_t term, Batch batch, kv::TransactionResult result) {
  for (ObsoleteRecord& record : batch.records) {
    if (!result.compare_failed(record.key)) {
      obsolete_.push_back(std::move(record));
      continue;
    }
    // The record was already deleted, or was written by a transaction whose response was lost.
    const kv::GetResult got = co_await access_.store.get(record.key, StoreAccess::kCallTimeout);
    if (!access_.context.in_term(term)) co_return;
    if (got.outcome == Outcome::ok && got.found) {
      obsolete_.push_back({std::move(record.key), got.item.mod_revision});
    }
  }
}

}  // namespace dunlinknot::cluster
