#include "store.hpp"

#include <algorithm>
#include <functional>
#include <sstream>

namespace dunlinknot::review {

using http::Response;
using wire::Document;
using wire::View;
using wire::Writer;

namespace {

constexpr size_t kKeptChanges = 10'000;
constexpr size_t kMaxRows = 1000;
constexpr size_t kMaxPageBytes = size_t{512} * 1024;
constexpr size_t kMaxTransactionBytes = size_t{64} * 1024;
constexpr size_t kComparesPerWrite = 4;

Response answer(int status, std::string body = "") {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string query(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

uint64_t number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

void copy_value(Writer& writer, View value) {
  if (value.null()) {
    writer.null();
  } else if (value.is_list()) {
    writer.list(value.size());
    for (size_t i = 0; i < value.size(); ++i) copy_value(writer, value.at(i));
  } else if (value.is_map()) {
    writer.map(value.map_size());
    for (size_t i = 0; i < value.map_size(); ++i) {
      writer.key(value.key_at(i));
      copy_value(writer, value.value_at(i));
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
}

// The size in JSON without whitespace.
size_t json_bytes(View value) {
  if (value.is_list()) {
    size_t size = 2 + (value.size() > 0 ? value.size() - 1 : 0);
    for (size_t i = 0; i < value.size(); ++i) size += json_bytes(value.at(i));
    return size;
  }
  if (value.is_map()) {
    size_t size = 2 + (value.map_size() > 0 ? value.map_size() - 1 : 0);
    for (size_t i = 0; i < value.map_size(); ++i)
      size += value.key_at(i).size() + 3 + json_bytes(value.value_at(i));
    return size;
  }
  if (const auto text = value.text()) return text->size() + 2;
  if (const auto flag = value.flag()) return *flag ? 4 : 5;
  if (const auto count = value.count()) return std::to_string(*count).size();
  if (const auto amount = value.amount()) {
    std::ostringstream shown;
    shown << *amount;
    return shown.str().size();
  }
  return 4;
}

std::string revision_body(uint64_t revision) {
  Writer writer;
  writer.map(1).key("ledgerRev").count(revision);
  return writer.take();
}

}  // namespace

bool Store::Bucket::take(Instant now, double amount) {
  if (at != Instant{}) level = std::min(rate, level + rate * to_seconds(now - at).count());
  at = now;
  if (level < amount) return false;
  level -= amount;
  return true;
}

Store::Store(EventLoop& loop, const StoreLimits& limits) : loop_(loop) {
  requests_bucket_.level = limits.rps;
  writes_bucket_.level = limits.write_rps;
  set_limits(limits);
}

void Store::set_limits(const StoreLimits& limits) {
  limits_ = limits;
  requests_bucket_.rate = limits.rps;
  writes_bucket_.rate = limits.write_rps;
  requests_bucket_.level = std::min(requests_bucket_.level, limits.rps);
  writes_bucket_.level = std::min(writes_bucket_.level, limits.write_rps);
}

void Store::record(const std::string& key, bool deleted, const std::string& value) {
  ++changes_;
  history_.push_back({revision_, key, deleted, value});
}

void Store::forget_old_changes() {
  while (history_.size() > kKeptChanges) {
    forgotten_revision_ = history_.front().revision;
    history_.pop_front();
  }
}

void Store::expire_leases() {
  const Instant now = loop_.now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.ends) {
      ++it;
      continue;
    }
    const uint64_t id = it->first;
    it = leases_.erase(it);
    for (auto entry = data_.begin(); entry != data_.end();) {
      if (entry->second.tenancy != id) {
        ++entry;
        continue;
      }
      ++revision_;
      record(entry->first, true, "");
      entry = data_.erase(entry);
    }
  }
  forget_old_changes();
}

Response Store::transaction(View root) {
  const View guards = root["guards"];
  const View writes = root["writes"];
  const auto refuse = [&](std::string why) {
    ++refused_transactions;
    last_refusal = why;
    Writer writer;
    writer.map(1).key("error").text(why);
    return answer(400, writer.take());
  };
  if (writes.size() > limits_.txn_ops)
    return refuse("too many writes: " + std::to_string(writes.size()));
  if (guards.size() > kComparesPerWrite * limits_.txn_ops)
    return refuse("too many guards: " + std::to_string(guards.size()) + " with " +
                  std::to_string(writes.size()) + " writes");
  if (json_bytes(root) > kMaxTransactionBytes) return refuse("transaction too large");
  for (size_t i = 0; i < writes.size(); ++i) {
    if (json_bytes(writes.at(i)["v"]) > limits_.value_bytes) return refuse("value too large");
  }
  if (!writes_bucket_.take(loop_.now(), static_cast<double>(writes.size()))) {
    ++throttled_writes;
    return answer(429);
  }
  for (size_t i = 0; i < writes.size(); ++i) {
    const auto tenancy = writes.at(i)["tenancy"].count();
    if (tenancy && !leases_.contains(*tenancy)) {
      Writer writer;
      writer.map(1).key("error").text("no such lease");
      return answer(400, writer.take());
    }
  }
  std::vector<std::string> failed;
  for (size_t i = 0; i < guards.size(); ++i) {
    const std::string key(guards.at(i)["key"].text().value_or(""));
    const auto it = data_.find(key);
    const uint64_t stamp = it == data_.end() ? 0 : it->second.stamp;
    if (stamp != guards.at(i)["stamp"].count().value_or(0)) failed.push_back(key);
  }
  if (!failed.empty()) {
    Writer writer;
    writer.map(2).key("failed").list(failed.size());
    for (const auto& key : failed) writer.text(key);
    writer.key("ledgerRev").count(revision_);
    return answer(409, writer.take());
  }
  if (writes.size() > 0) ++revision_;
  for (size_t i = 0; i < writes.size(); ++i) {
    const View write = writes.at(i);
    if (const auto key = write["put"].text()) {
      Writer value;
      copy_value(value, write["v"]);
      const std::string packed = value.take();
      data_[std::string(*key)] = {packed, revision_, write["tenancy"].count().value_or(0)};
      record(std::string(*key), false, packed);
    } else if (const auto removed = write["delete"].text()) {
      if (data_.erase(std::string(*removed)) > 0) record(std::string(*removed), true, "");
    }
  }
  forget_old_changes();
  return answer(200, revision_body(revision_));
}

Response Store::read_key(const std::string& key) const {
  const auto it = data_.find(key);
  if (it == data_.end()) return answer(404, revision_body(revision_));
  Writer writer;
  writer.map(4).key("key").text(key).key("v").raw(it->second.value);
  writer.key("stamp").count(it->second.stamp).key("tenancy");
  it->second.tenancy ? writer.count(it->second.tenancy) : writer.null();
  return answer(200, writer.take());
}

Response Store::list(const std::string& target) const {
  const std::string prefix = query(target, "starts");
  const std::string since = query(target, "since");
  const std::string most = query(target, "most");
  const size_t max_rows = std::min<size_t>(most.empty() ? kMaxRows : number(most), kMaxRows);
  std::vector<std::pair<std::string, const Entry*>> rows;
  size_t bytes = 0;
  bool more = false;
  for (auto it = data_.lower_bound(prefix); it != data_.end() && it->first.starts_with(prefix);
       ++it) {
    if (!since.empty() && it->first <= since) continue;
    bytes += it->first.size() + it->second.value.size() + 64;
    if (rows.size() == max_rows || bytes > kMaxPageBytes) {
      more = true;
      break;
    }
    rows.emplace_back(it->first, &it->second);
  }
  Writer writer;
  writer.map(3).key("rows").list(rows.size());
  for (const auto& [key, entry] : rows) {
    writer.map(3).key("key").text(key).key("v").raw(entry->value).key("stamp").count(entry->stamp);
  }
  writer.key("more").flag(more).key("ledgerRev").count(revision_);
  return answer(200, writer.take());
}

Response Store::lease_call(const http::Request& request, View root) {
  if (request.target == "/leases") {
    const Millis ttl(static_cast<int64_t>(root["ttlMs"].count().value_or(0)));
    if (ttl < Millis(100) || ttl > Millis(600'000)) return answer(400);
    leases_[next_lease_] = {ttl, loop_.now() + ttl};
    Writer writer;
    writer.map(1).key("tenancy").count(next_lease_++);
    return answer(200, writer.take());
  }
  const auto it = leases_.find(number(request.target.substr(8)));
  if (it == leases_.end()) return answer(404);
  if (request.method == "DELETE") {
    it->second.ends = loop_.now();
    expire_leases();
  } else {
    it->second.ends = loop_.now() + it->second.ttl;
  }
  return answer(200);
}

Task<Response> Store::changes_since(std::string target) {
  const std::string prefix = query(target, "starts");
  const uint64_t since = number(query(target, "since"));
  const Instant end =
      loop_.now() + Millis(std::min<uint64_t>(number(query(target, "blockMs")), 60'000));
  for (;;) {
    expire_leases();
    if (since < forgotten_revision_) {
      ++too_old;
      co_return answer(410);
    }
    std::vector<const Change*> found;
    const auto later = [](uint64_t revision, const Change& change) {
      return revision < change.revision;
    };
    for (auto it = std::upper_bound(history_.begin(), history_.end(), since, later);
         it != history_.end(); ++it) {
      if (it->key.starts_with(prefix)) found.push_back(&*it);
    }
    if (!found.empty() || loop_.now() >= end) {
      Writer writer;
      writer.map(2).key("ledgerRev").count(revision_).key("news").list(found.size());
      for (const Change* change : found) {
        if (change->deleted) {
          writer.map(2).key("delete").text(change->key).key("stamp").count(change->revision);
        } else {
          writer.map(3).key("put").text(change->key).key("v").raw(change->value);
          writer.key("stamp").count(change->revision);
        }
      }
      co_return answer(200, writer.take());
    }
    co_await loop_.sleep(Millis(5));
  }
}

Task<Response> Store::handle(http::Request request) {
  ++requests;
  if (!requests_bucket_.take(loop_.now(), 1)) {
    ++throttled_requests;
    co_return answer(429);
  }
  expire_leases();
  const auto document = Document::parse(request.body);
  const View root = document ? document->root() : View();
  if (request.target.starts_with("/changes?")) {
    Response response = co_await changes_since(request.target);
    co_return response;
  }
  if (request.target == "/multi") {
    if (!root.is_map()) co_return answer(400);
    co_return transaction(root);
  }
  if (request.target.starts_with("/leases")) co_return lease_call(request, root);
  if (request.target.starts_with("/keys/")) co_return read_key(request.target.substr(6));
  if (request.target.starts_with("/keys?")) co_return list(request.target);
  co_return answer(400);
}

}  // namespace dunlinknot::review
