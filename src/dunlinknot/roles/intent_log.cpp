#include "dunlinknot/roles/intent_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr Millis kCallTime{1200};
constexpr Millis kRetry{150};
constexpr size_t kMostWrites = 16;  // of a transaction

}  // namespace

IntentLog::IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder)
    : context_(context), store_(store), holder_(holder), has_ended_(context.loop) {}

void IntentLog::begin_term() {
  mod_revisions_.clear();
  ended_.clear();
  has_ended_.notify();
}

size_t IntentLog::max_batch() const {
  return std::min(store_.limits().txn_ops(), kMostWrites);
}

Task<std::optional<OpenIntents>> IntentLog::load(uint64_t term) {
  OpenIntents open;
  std::string after;
  for (bool more = true; more;) {
    const kv::ListResult list =
        co_await store_.list(std::string(kIntentPrefix), after, std::chrono::seconds(3));
    if (!context_.in_term(term)) co_return std::nullopt;
    if (list.outcome != Outcome::ok) {
      co_await context_.loop.sleep(kRetry);
      if (!context_.in_term(term)) co_return std::nullopt;
      continue;
    }
    for (const kv::KeyValue& item : list.items) {
      const bool launch = !scale_out_name(item.key).empty();
      const auto scale_out = read_scale_out_intent(item.key, item.value);
      const auto scale_in = read_scale_in_intent(item.key, item.value);
      if (launch && std::holds_alternative<ScaleOutIntent>(scale_out)) {
        open.scale_out.push_back(std::get<ScaleOutIntent>(scale_out));
      } else if (!launch && std::holds_alternative<ScaleInIntent>(scale_in)) {
        open.scale_in.push_back(std::get<ScaleInIntent>(scale_in));
      } else {
        const RecordError error =
            launch ? std::get<RecordError>(scale_out) : std::get<RecordError>(scale_in);
        spdlog::error("singleton roles: the intent {} is left alone: {}", item.key, text(error));
        open.unreadable.push_back({item.key, error});
        continue;
      }
      mod_revisions_[item.key] = item.mod_revision;
    }
    more = list.more && !list.items.empty();
    if (more) after = list.items.back().key;
  }
  co_return open;
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
  const bool settled = co_await holder_.settle_writes(term, role);
  if (!settled || !holder_.may_act(role)) co_return false;
  kv::Transaction txn;
  txn.compares = holder_.compares(role);
  for (const Entry& entry : entries) {
    txn.compares.push_back({entry.key, 0});
    txn.writes.push_back({entry.key, entry.value, 0});
  }
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result = co_await store_.commit(std::move(txn), kCallTime);
  if (!context_.in_term(term)) co_return false;
  holder_.apply_result(role, result, sent);
  if (result.applied) {
    for (const Entry& entry : entries) mod_revisions_[entry.key] = result.revision;
    co_return true;
  }
  const bool stands_already = std::any_of(entries.begin(), entries.end(), [&](const Entry& entry) {
    return result.compare_failed(entry.key);
  });
  if (result.outcome == Outcome::refused || (result.outcome == Outcome::ok && !stands_already)) {
    co_return false;
  }
  // Found by a test: applied late, it brought back an intent that was settled and removed by then.
  const bool final = co_await holder_.settle_writes(term, role);
  if (!final) co_return false;
  const bool durable = co_await read_back(term, entries);
  co_return durable;
}

// Nobody knows whether the transaction went through, or an earlier try of it did: what stands
// counts, whichever attempt wrote it. A machine that a former holder decided to return stays so.
Task<bool> IntentLog::read_back(uint64_t term, const std::vector<Entry>& entries) {
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
  const bool waits = std::any_of(ended_.begin(), ended_.end(),
                                 [&](const Ended& ended) { return ended.key == key; });
  if (waits) return;
  ended_.push_back({role, std::move(key)});
  has_ended_.notify();
}

Task<void> IntentLog::remove_ended(uint64_t term) {
  while (context_.in_term(term)) {
    if (ended_.empty()) (void)co_await has_ended_.wait();
    if (!context_.in_term(term)) co_return;
    if (ended_.empty()) continue;
    const bool removed = co_await remove_batch(term);
    if (!removed && context_.in_term(term)) co_await context_.loop.sleep(kRetry);
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

Task<void> IntentLog::reread_ended(uint64_t term, const std::vector<Ended>& batch) {
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
