// The intent log: writes that compare the role's key, and reading back writes that were not
// answered.
#include "dunlinknot/roles/intent_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/roles/list_all.hpp"

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr Millis kCallTimeout{1200};
constexpr Millis kRetryDelay{150};
constexpr size_t kMaxBatchWrites = 16;  // per transaction, also when the store allows more

}  // namespace

IntentLog::IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder)
    : context_(context), store_(store), holder_(holder), has_settled_(context.loop) {}

void IntentLog::begin_term() {
  mod_revisions_.clear();
  settled_.clear();
  has_settled_.notify();
}

size_t IntentLog::max_batch() const {
  return std::min(store_.limits().txn_ops(), kMaxBatchWrites);
}

Task<std::optional<OpenIntents>> IntentLog::load(uint64_t term) {
  // A leader that does not know the open intents could make the same decision again, so this
  // retries until the term ends.
  const ListRetry retry{kRetryDelay, std::nullopt, [this, term] { return context_.in_term(term); }};
  const auto pages = co_await list_all(context_.loop, store_, std::string(kIntentPrefix), retry);
  if (!pages) co_return std::nullopt;
  OpenIntents open;
  for (const kv::ListResult& page : *pages) {
    for (const kv::KeyValue& item : page.items) add_loaded(open, item);
  }
  co_return open;
}

void IntentLog::add_loaded(OpenIntents& open, const kv::KeyValue& item) {
  const ReadIntent read = read_intent(item.key, item.value);
  if (const auto* error = std::get_if<RecordError>(&read)) {
    spdlog::error("singleton roles: the intent {} is skipped and not overwritten: {}", item.key,
                  describe(*error));
    open.unreadable.push_back({item.key, *error});
    return;
  }
  if (const auto* intent = std::get_if<ScaleOutIntent>(&read)) open.scale_out.push_back(*intent);
  if (const auto* intent = std::get_if<ScaleInIntent>(&read)) open.scale_in.push_back(*intent);
  mod_revisions_[item.key] = item.mod_revision;
}

Task<bool> IntentLog::record_scale_out(uint64_t term, std::vector<ScaleOutIntent> intents) {
  std::vector<Entry> entries;
  for (ScaleOutIntent& intent : intents) {
    intent.fencing_token = holder_.fencing_token(Role::scale_out);
    entries.push_back({scale_out_key(intent.request), write_scale_out_intent(intent)});
  }
  const bool durable = co_await record(term, Role::scale_out, std::move(entries));
  co_return durable;
}

Task<bool> IntentLog::record_scale_in(uint64_t term, std::vector<ScaleInIntent> intents) {
  std::vector<Entry> entries;
  for (ScaleInIntent& intent : intents) {
    intent.fencing_token = holder_.fencing_token(Role::scale_in);
    entries.push_back({scale_in_key(intent.machine), write_scale_in_intent(intent)});
  }
  const bool durable = co_await record(term, Role::scale_in, std::move(entries));
  co_return durable;
}

Task<bool> IntentLog::record(uint64_t term, Role role, std::vector<Entry> entries) {
  std::erase_if(entries, [&](const Entry& entry) { return mod_revisions_.contains(entry.key); });
  if (entries.empty()) co_return true;
  const bool ready = co_await holder_.fence_unanswered_writes(term, role);
  if (!ready || !holder_.may_act(role)) co_return false;
  const WriteResult written = co_await write(term, role, entries);
  if (written != WriteResult::unknown) co_return written == WriteResult::applied;
  // Without this, a transaction that is applied late restores an intent that was settled and
  // removed meanwhile.
  const bool final = co_await holder_.fence_unanswered_writes(term, role);
  if (!final) co_return false;
  const bool durable = co_await read_back(term, entries);
  co_return durable;
}

// Creates all entries in one transaction with the role's compares.
Task<IntentLog::WriteResult> IntentLog::write(uint64_t term, Role role,
                                              std::vector<Entry> entries) {
  kv::Transaction txn;
  txn.compares = holder_.compares(role);
  for (const Entry& entry : entries) {
    txn.compares.push_back({entry.key, 0});
    txn.writes.push_back({entry.key, entry.value, 0});
  }
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result = co_await store_.commit(std::move(txn), kCallTimeout);
  if (!context_.in_term(term)) co_return WriteResult::not_applied;
  holder_.apply_result(role, result, sent);
  if (result.applied) {
    for (const Entry& entry : entries) mod_revisions_[entry.key] = result.revision;
    co_return WriteResult::applied;
  }
  const bool exists = std::any_of(entries.begin(), entries.end(), [&](const Entry& entry) {
    return result.compare_failed(entry.key);
  });
  if (result.outcome == Outcome::not_executed || (result.outcome == Outcome::ok && !exists)) {
    co_return WriteResult::not_applied;
  }
  co_return WriteResult::unknown;
}

// Reads the entries back after a transaction whose outcome is unknown. A stored intent counts as
// durable, whichever attempt wrote it; this includes a termination decided by a previous holder.
Task<bool> IntentLog::read_back(uint64_t term, std::vector<Entry> entries) {
  bool all_found = true;
  for (const Entry& entry : entries) {
    const kv::GetResult got = co_await store_.get(entry.key, kCallTimeout);
    if (!context_.in_term(term) || got.outcome != Outcome::ok) co_return false;
    if (got.found) {
      mod_revisions_[entry.key] = got.item.mod_revision;
    } else {
      all_found = false;
    }
  }
  co_return all_found;
}

void IntentLog::mark_settled(Role role, std::string key) {
  if (!mod_revisions_.contains(key)) return;
  const bool listed = std::any_of(settled_.begin(), settled_.end(),
                                  [&](const SettledIntent& settled) { return settled.key == key; });
  if (listed) return;
  settled_.push_back({role, std::move(key)});
  has_settled_.notify();
}

Task<void> IntentLog::remove_settled(uint64_t term) {
  while (context_.in_term(term)) {
    if (settled_.empty()) (void)co_await has_settled_.wait();
    if (!context_.in_term(term)) co_return;
    if (settled_.empty()) continue;
    const bool removed = co_await remove_batch(term);
    if (!removed && context_.in_term(term)) co_await context_.loop.sleep(kRetryDelay);
  }
}

// Removes settled intents of one role in one transaction. Returns whether they were removed.
Task<bool> IntentLog::remove_batch(uint64_t term) {
  const Role role = settled_.front().role;
  const bool fenced = co_await holder_.fence_unanswered_writes(term, role);
  if (!fenced || !holder_.may_act(role)) co_return false;
  std::vector<SettledIntent> batch;
  kv::Transaction txn;
  txn.compares = holder_.compares(role);
  for (const SettledIntent& settled : settled_) {
    if (settled.role != role || batch.size() >= max_batch()) continue;
    batch.push_back(settled);
    txn.compares.push_back({settled.key, mod_revisions_[settled.key]});
    txn.writes.push_back({settled.key, "", 0});
  }
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result = co_await store_.commit(std::move(txn), kCallTimeout);
  if (!context_.in_term(term)) co_return false;
  holder_.apply_result(role, result, sent);
  if (!result.applied) {
    if (result.outcome != Outcome::not_executed) co_await reread_settled(term, batch);
    co_return false;
  }
  std::erase_if(settled_, [&](const SettledIntent& settled) {
    return std::any_of(batch.begin(), batch.end(),
                       [&](const SettledIntent& removed) { return removed.key == settled.key; });
  });
  for (const SettledIntent& removed : batch) mod_revisions_.erase(removed.key);
  co_return true;
}

// Called after a removal that failed or was not answered. Drops the intents that no longer exist
// and reads the current mod revisions of the others for the next attempt.
Task<void> IntentLog::reread_settled(uint64_t term, std::vector<SettledIntent> batch) {
  for (const SettledIntent& settled : batch) {
    const kv::GetResult got = co_await store_.get(settled.key, kCallTimeout);
    if (!context_.in_term(term)) co_return;
    if (got.outcome != Outcome::ok) continue;
    if (got.found) {
      mod_revisions_[settled.key] = got.item.mod_revision;
      continue;
    }
    mod_revisions_.erase(settled.key);
    std::erase_if(settled_, [&](const SettledIntent& each) { return each.key == settled.key; });
  }
}

}  // namespace dunlinknot::roles
