// The intent log: guarded writes, and evidence about writes without an answer.
#include "dunlinknot/roles/intent_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/roles/list_all.hpp"

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr Millis kCallTime{1200};
constexpr Millis kRetryPause{150};
constexpr size_t kMaxWrites = 16;  // of a transaction, where the store's own limit is higher

}  // namespace

IntentLog::IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder)
    : context_(context), store_(store), holder_(holder), has_ended_(context.loop) {}

void IntentLog::begin_term() {
  mod_revisions_.clear();
  ended_.clear();
  has_ended_.notify();
}

size_t IntentLog::max_batch() const {
  return std::min(store_.limits().txn_ops(), kMaxWrites);
}

Task<std::optional<OpenIntents>> IntentLog::load(uint64_t term) {
  // A leader without the open intents could repeat what is decided: it retries until its term ends.
  const ListRetry retry{kRetryPause, std::nullopt, [this, term] { return context_.in_term(term); }};
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
    spdlog::error("singleton roles: the intent {} is left alone: {}", item.key, text(*error));
    open.unreadable.push_back({item.key, *error});
    return;
  }
  if (const auto* launch = std::get_if<ScaleOutIntent>(&read)) open.scale_out.push_back(*launch);
  if (const auto* end = std::get_if<ScaleInIntent>(&read)) open.scale_in.push_back(*end);
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
  const bool ready = co_await holder_.settle_writes(term, role);
  if (!ready || !holder_.may_act(role)) co_return false;
  const Written written = co_await write(term, role, entries);
  if (written != Written::unknown) co_return written == Written::yes;
  // Found by a test: applied late, it brought back an intent that was settled and removed by then.
  const bool final = co_await holder_.settle_writes(term, role);
  if (!final) co_return false;
  const bool durable = co_await read_back(term, entries);
  co_return durable;
}

// One transaction that creates all entries, under the role's compares.
Task<IntentLog::Written> IntentLog::write(uint64_t term, Role role, std::vector<Entry> entries) {
  kv::Transaction txn;
  txn.compares = holder_.compares(role);
  for (const Entry& entry : entries) {
    txn.compares.push_back({entry.key, 0});
    txn.writes.push_back({entry.key, entry.value, 0});
  }
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result = co_await store_.commit(std::move(txn), kCallTime);
  if (!context_.in_term(term)) co_return Written::no;
  holder_.apply_result(role, result, sent);
  if (result.applied) {
    for (const Entry& entry : entries) mod_revisions_[entry.key] = result.revision;
    co_return Written::yes;
  }
  const bool exists = std::any_of(entries.begin(), entries.end(), [&](const Entry& entry) {
    return result.compare_failed(entry.key);
  });
  if (result.outcome == Outcome::refused || (result.outcome == Outcome::ok && !exists)) {
    co_return Written::no;
  }
  co_return Written::unknown;
}

// It is unknown whether the transaction was applied, or an earlier attempt of it: what is stored
// counts, whichever attempt wrote it. A termination that a former holder decided stays decided.
Task<bool> IntentLog::read_back(uint64_t term, std::vector<Entry> entries) {
  bool all = true;
  for (const Entry& entry : entries) {
    const kv::GetResult got = co_await store_.get(entry.key, kCallTime);
    if (!context_.in_term(term) || got.outcome != Outcome::ok) co_return false;
    if (got.found) {
      mod_revisions_[entry.key] = got.item.mod_revision;
    } else {
      all = false;
    }
  }
  co_return all;
}

void IntentLog::end(Role role, std::string key) {
  if (!mod_revisions_.contains(key)) return;
  const bool listed = std::any_of(ended_.begin(), ended_.end(),
                                  [&](const Ended& ended) { return ended.key == key; });
  if (listed) return;
  ended_.push_back({role, std::move(key)});
  has_ended_.notify();
}

Task<void> IntentLog::remove_settled(uint64_t term) {
  while (context_.in_term(term)) {
    if (ended_.empty()) (void)co_await has_ended_.wait();
    if (!context_.in_term(term)) co_return;
    if (ended_.empty()) continue;
    const bool removed = co_await remove_batch(term);
    if (!removed && context_.in_term(term)) co_await context_.loop.sleep(kRetryPause);
  }
}

// One transaction over ended intents of one role.
Task<bool> IntentLog::remove_batch(uint64_t term) {
  const Role role = ended_.front().role;
  const bool settled = co_await holder_.settle_writes(term, role);
  if (!settled || !holder_.may_act(role)) co_return false;
  std::vector<Ended> batch;
  kv::Transaction txn;
  txn.compares = holder_.compares(role);
  for (const Ended& ended : ended_) {
    if (ended.role != role || batch.size() >= max_batch()) continue;
    batch.push_back(ended);
    txn.compares.push_back({ended.key, mod_revisions_[ended.key]});
    txn.writes.push_back({ended.key, "", 0});
  }
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result = co_await store_.commit(std::move(txn), kCallTime);
  if (!context_.in_term(term)) co_return false;
  holder_.apply_result(role, result, sent);
  if (!result.applied) {
    if (result.outcome != Outcome::refused) co_await reread_ended(term, batch);
    co_return false;
  }
  std::erase_if(ended_, [&](const Ended& ended) {
    return std::any_of(batch.begin(), batch.end(),
                       [&](const Ended& removed) { return removed.key == ended.key; });
  });
  for (const Ended& removed : batch) mod_revisions_.erase(removed.key);
  co_return true;
}

// After a removal that failed or had no answer: drops what is removed from the list, and compares
// the present mod revision of the rest next time.
Task<void> IntentLog::reread_ended(uint64_t term, std::vector<Ended> batch) {
  for (const Ended& ended : batch) {
    const kv::GetResult got = co_await store_.get(ended.key, kCallTime);
    if (!context_.in_term(term)) co_return;
    if (got.outcome != Outcome::ok) continue;
    if (got.found) {
      mod_revisions_[ended.key] = got.item.mod_revision;
      continue;
    }
    mod_revisions_.erase(ended.key);
    std::erase_if(ended_, [&](const Ended& each) { return each.key == ended.key; });
  }
}

}  // namespace dunlinknot::roles
