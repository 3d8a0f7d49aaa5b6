// The scripted key-value store: keys, transactions, leases and watches.
#include "scripted_store.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace dunlinknot::test {

using http::Call;
using http::Reply;
using wire::Document;
using wire::View;
using wire::Writer;

namespace {

uint64_t parse_count(const std::string& digits) {
  return digits.empty() ? 0 : std::stoull(digits);
}

// Encodes a view again, so that it outlives the document that it points into.
std::string repack(View view) {
  Writer writer;
  const std::function<void(View)> write = [&](View value) {
    if (value.null()) {
      writer.null();
    } else if (value.is_list()) {
      writer.list(value.size());
      for (size_t i = 0; i < value.size(); ++i) write(value.at(i));
    } else if (value.is_map()) {
      writer.map(value.map_size());
      for (size_t i = 0; i < value.map_size(); ++i) {
        writer.key(value.key_at(i));
        write(value.value_at(i));
      }
    } else if (const auto text = value.text()) {
      writer.text(*text);
    } else if (const auto flag = value.flag()) {
      writer.flag(*flag);
    } else if (const auto count = value.count()) {
      writer.count(*count);
    } else {
      writer.amount(value.amount().value_or(0));
    }
  };
  write(view);
  return writer.take();
}

}  // namespace

size_t compact_json_size(View value) {
  const auto brackets = [](size_t items) { return 2 + (items > 0 ? items - 1 : 0); };
  size_t size = 0;
  if (value.is_list()) {
    size = brackets(value.size());
    for (size_t i = 0; i < value.size(); ++i) size += compact_json_size(value.at(i));
  } else if (value.is_map()) {
    size = brackets(value.map_size());
    for (size_t i = 0; i < value.map_size(); ++i) {
      size += value.key_at(i).size() + 3 + compact_json_size(value.value_at(i));
    }
  } else if (const auto text = value.text()) {
    size = text->size() + 2;
  } else if (const auto count = value.count()) {
    size = std::to_string(*count).size();
  } else if (const auto amount = value.amount()) {
    std::ostringstream shown;
    shown << std::setprecision(15) << *amount;
    size = shown.str().size();
  } else {
    size = value.flag().value_or(true) ? 4 : 5;
  }
  return size;
}

bool ScriptedStore::within_size_limits(View transaction) const {
  constexpr size_t kMaxComparesPerWrite = 4;
  constexpr size_t kMaxTransactionBytes = size_t{64} * 1024;
  const View writes = transaction["writes"];
  if (writes.size() > limits.txn_ops) return false;
  if (transaction["guards"].size() > kMaxComparesPerWrite * limits.txn_ops) return false;
  if (compact_json_size(transaction) > kMaxTransactionBytes) return false;
  for (size_t i = 0; i < writes.size(); ++i) {
    if (compact_json_size(writes.at(i)["v"]) > limits.value_bytes) return false;
  }
  return true;
}

bool ScriptedStore::Rate::take(Instant now, double per_second, double amount) {
  const double passed = to_seconds(now - at).count();
  at = now;
  const double refilled = available ? *available + passed * per_second : per_second;
  available = std::min(per_second, refilled);
  if (*available < amount) return false;
  *available -= amount;
  return true;
}

void ScriptedStore::record_event(std::string key, bool deleted, std::string value) {
  constexpr size_t kMaxEvents = 10'000;
  if (on_change) on_change(key);
  events_.push_back({revision_, std::move(key), deleted, std::move(value)});
  if (events_.size() <= kMaxEvents) return;
  compacted_revision_ = events_.front().revision;
  events_.pop_front();
}

void ScriptedStore::put(const std::string& key, std::string value) {
  ++revision_;
  data[key] = Entry{value, revision_, 0};
  record_event(key, false, std::move(value));
}

void ScriptedStore::erase(const std::string& key) {
  ++revision_;
  data.erase(key);
  record_event(key, true, "");
}

void ScriptedStore::end_outage() {
  outage = false;
  for (auto& [id, lease] : leases_) lease.ends = loop_.now() + lease.ttl;
}

void ScriptedStore::expire_leases() {
  if (outage) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (loop_.now() < it->second.ends) {
      ++it;
      continue;
    }
    const uint64_t id = it->first;
    it = leases_.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : data) {
      if (entry.lease == id) keys.push_back(key);
    }
    for (const auto& key : keys) erase(key);
  }
}

Reply ScriptedStore::execute_transaction(View root) {
  std::vector<std::string> failed;
  const View compares = root["guards"];
  if (!within_size_limits(root)) {
    ++oversized;
    return reply(400, wire::write_error("too large"));
  }
  if (!writes_.take(loop_.now(), limits.write_rps, static_cast<double>(root["writes"].size()))) {
    ++throttled;
    return reply(429);
  }
  for (size_t i = 0; i < compares.size(); ++i) {
    const std::string key(*compares.at(i)["key"].text());
    const auto it = data.find(key);
    const uint64_t mod_revision = it == data.end() ? 0 : it->second.mod_revision;
    if (mod_revision != *compares.at(i)["stamp"].count()) failed.push_back(key);
  }
  Writer writer;
  if (!failed.empty()) {
    writer.map(2).key("failed").list(failed.size());
    for (const auto& key : failed) writer.text(key);
    writer.key("ledgerRev").count(revision_);
    return reply(409, writer.take());
  }
  const View writes = root["writes"];
  max_writes = std::max(max_writes, writes.size());
  for (size_t i = 0; i < writes.size(); ++i) {
    const auto lease = writes.at(i)["tenancy"].count();
    if (lease && !leases_.contains(*lease)) {
      return reply(400, wire::write_error("no such lease"));
    }
  }
  if (writes.size() > 0) ++revision_;
  for (size_t i = 0; i < writes.size(); ++i) {
    const View write = writes.at(i);
    if (const auto key = write["put"].text()) {
      std::string value = repack(write["v"]);
      max_value = std::max(max_value, value.size());
      data[std::string(*key)] = Entry{value, revision_, write["tenancy"].count().value_or(0)};
      record_event(std::string(*key), false, std::move(value));
    } else {
      const std::string removed(*write["delete"].text());
      if (data.contains(removed) && on_removed) on_removed(removed);
      if (data.erase(removed)) record_event(removed, true, "");
    }
  }
  writer.map(1).key("ledgerRev").count(revision_);
  return reply(200, writer.take());
}

Task<void> ScriptedStore::execute_transaction_late(std::string body) {
  co_await loop_.sleep(fault_delay);
  const auto doc = Document::parse(body);
  expire_leases();
  (void)execute_transaction(doc->root());
}

Task<Reply> ScriptedStore::watch(std::string target, Instant deadline) {
  const std::string prefix = query_value(target, "starts");
  const uint64_t since = parse_count(query_value(target, "since"));
  const Instant end = loop_.now() + Millis(parse_count(query_value(target, "blockMs")));
  for (;;) {
    if (watches_too_old || since < compacted_revision_) {
      ++expired_watches;
      co_return reply(410);
    }
    if (loop_.now() >= deadline) co_return Reply{};  // the client has timed out
    expire_leases();
    std::vector<const Event*> changes;
    if (!outage) {
      const auto later = [](uint64_t revision, const Event& event) {
        return revision < event.revision;
      };
      auto event = std::upper_bound(events_.begin(), events_.end(), since, later);
      for (; event != events_.end(); ++event) {
        if (event->key.starts_with(prefix)) changes.push_back(&*event);
      }
    }
    if (!changes.empty() || (loop_.now() >= end && !outage)) {
      Writer writer;
      writer.map(2).key("ledgerRev").count(revision_).key("news").list(changes.size());
      for (const auto* change : changes) {
        if (change->deleted) {
          writer.map(2).key("delete").text(change->key).key("stamp").count(change->revision);
        } else {
          writer.map(3)
              .key("put")
              .text(change->key)
              .key("v")
              .raw(change->value)
              .key("stamp")
              .count(change->revision);
        }
      }
      co_return reply(200, writer.take());
    }
    co_await loop_.sleep(Millis(10));
  }
}

Reply ScriptedStore::lease_request(const std::string& method, const std::string& target) {
  const uint64_t id = std::stoull(target.substr(8));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply(404);
  if (method == "DELETE") {
    it->second.ends = loop_.now();
    expire_leases();
  } else {
    it->second.ends = loop_.now() + it->second.ttl;
  }
  return reply(200);
}

Reply ScriptedStore::read_key(const std::string& target) const {
  const auto it = data.find(target.substr(6));
  Writer writer;
  if (it == data.end()) {
    writer.map(1).key("ledgerRev").count(revision_);
    return reply(404, writer.take());
  } else {
    writer.map(4).key("key").text(it->first).key("v").raw(it->second.value);
    writer.key("stamp").count(it->second.mod_revision).key("tenancy");
    it->second.lease ? writer.count(it->second.lease) : writer.null();
    return reply(200, writer.take());
  }
}

Reply ScriptedStore::list_keys(const std::string& target) const {
  const std::string prefix = query_value(target, "starts");
  const std::string after = query_value(target, "since");
  const uint64_t max_rows = parse_count(query_value(target, "most"));
  constexpr size_t kMaxPageBytes = size_t{512} * 1024;
  std::vector<std::pair<std::string, const Entry*>> rows;
  bool more = false;
  size_t bytes = 0;
  for (const auto& [key, entry] : data) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    bytes += key.size() + entry.value.size();
    if (rows.size() == max_rows || bytes > kMaxPageBytes) {
      more = true;
      break;
    }
    rows.emplace_back(key, &entry);
  }
  Writer writer;
  writer.map(3).key("rows").list(rows.size());
  for (const auto& [key, entry] : rows) {
    writer.map(3)
        .key("key")
        .text(key)
        .key("v")
        .raw(entry->value)
        .key("stamp")
        .count(entry->mod_revision);
  }
  writer.key("more").flag(more).key("ledgerRev").count(revision_);
  return reply(200, writer.take());
}

Reply ScriptedStore::execute(const Call& call) {
  const auto doc = Document::parse(call.body);
  const View root = doc ? doc->root() : View();
  if (call.target == "/multi") return execute_transaction(root);
  if (call.target == "/leases") {
    const Millis ttl(*root["ttlMs"].count());
    leases_[next_lease_] = Lease{ttl, loop_.now() + ttl};
    Writer writer;
    writer.map(1).key("tenancy").count(next_lease_++);
    return reply(200, writer.take());
  }
  if (call.target.starts_with("/leases/")) return lease_request(call.method, call.target);
  if (call.target.starts_with("/keys/")) return read_key(call.target);
  if (call.target.starts_with("/keys?")) return list_keys(call.target);
  return reply(400);
}

Task<Reply> ScriptedStore::serve(Call call) {
  ++requests;
  const CallFault fault = call_fault ? call_fault(call) : CallFault::none;
  co_await loop_.sleep(Millis(3));
  if (outage && !call.target.starts_with("/changes")) co_return reply(503);
  if (const auto faulty = reply_to_faulty_call(fault)) co_return *faulty;
  if (fault == CallFault::lose_request) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  if (fault == CallFault::apply_late) {
    loop_.spawn(execute_transaction_late(call.body));
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  if (!requests_.take(loop_.now(), limits.rps, 1)) {
    ++throttled;
    co_return reply(429);
  }
  expire_leases();
  Reply out;
  if (call.target.starts_with("/changes")) {
    out = co_await watch(call.target, call.deadline);
  } else {
    out = execute(call);
  }
  if (fault == CallFault::slow_reply) co_await loop_.sleep(fault_delay);
  if (fault == CallFault::lose_reply) {
    co_await loop_.sleep_until(call.deadline);
    co_return Reply{};
  }
  co_return within_limit(call, std::move(out));
}

}  // namespace dunlinknot::test
