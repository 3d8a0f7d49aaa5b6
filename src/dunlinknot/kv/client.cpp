#include "dunlinknot/kv/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

namespace {

using wire::Document;
using wire::View;
using wire::Writer;

constexpr double kUserShare = 0.5;  // of the writes
constexpr size_t kListBody = size_t{600} * 1024;
constexpr size_t kWatchBody = size_t{4} * 1024 * 1024;

std::shared_ptr<Document> parse(const std::string& body) {
  auto d = Document::parse(body);
  if (!d) return nullptr;
  return std::make_shared<Document>(std::move(*d));
}

std::optional<KeyValue> read_item(View value) {
  const auto key = value["key"].text();
  const auto mod_revision = value["stamp"].count();
  if (!key || !mod_revision) return std::nullopt;
  return KeyValue{std::string(*key), value["v"], *mod_revision,
                  value["tenancy"].count().value_or(0)};
}

// A reply that should not have come as it did tells nothing about what was done.
void log_odd(const char* what, int status) {
  spdlog::info("key-value store: unreadable answer to {} (status {}), taken as unknown", what,
               status);
}

}  // namespace

bool TransactionResult::compare_failed(std::string_view key) const {
  return std::find(failed.begin(), failed.end(), key) != failed.end();
}

Client::Client(EventLoop& loop, http::Transport& transport, http::Endpoint at, const Limits& limits,
               double share)
    : loop_(loop),
      transport_(transport),
      at_(at),
      limits_(limits),
      share_(share),
      requests_(limits_.rps() * share, limits_.rps() * share),
      writes_(limits_.write_rps() * share, limits_.write_rps() * share),
      user_writes_(limits_.write_rps() * share * kUserShare,
                   limits_.write_rps() * share * kUserShare) {}

void Client::adopt_limits() {
  const Instant now = loop_.now();
  requests_.set_rate(now, limits_.rps() * share_);
  writes_.set_rate(now, limits_.write_rps() * share_);
  user_writes_.set_rate(now, limits_.write_rps() * share_ * kUserShare);
}

// A 400 that the announced limits explain: whoever sent the transaction forms a smaller one.
void Client::on_malformed(const Transaction& txn) {
  size_t largest = 0;
  for (const Write& write : txn.writes) {
    const auto value = Document::parse(write.value);
    if (value) largest = std::max(largest, wire::json_size(value->root()));
  }
  if (limits_.on_malformed(txn.writes.size(), largest)) adopt_limits();
}

void Client::on_throttled(bool writes) {
  ++throttled_;
  if (writes && limits_.on_throttled_write()) adopt_limits();
}

bool Client::has_room_for_users(double writes) {
  const Instant now = loop_.now();
  return requests_.level(now) >= 2 && user_writes_.level(now) >= writes;
}

Task<http::Reply> Client::call(std::string method, std::string target, std::string body,
                               Nanos within, size_t max_body, double writes, Importance how) {
  const Instant sent = loop_.now();
  if (how == Importance::essential) {
    requests_.force(sent);
    if (writes > 0) writes_.force(sent, writes);
  } else {
    const bool user = how == Importance::user;
    const double level = user ? user_writes_.level(sent) : writes_.level(sent);
    if (requests_.level(sent) < 1 || (writes > 0 && level < std::min(writes, 10.0))) {
      ++throttled_;
      http::Reply refused;
      refused.outcome = Outcome::refused;
      refused.status = 429;
      co_return refused;
    }
    requests_.force(sent);
    if (writes > 0) writes_.force(sent, writes);
    if (user) user_writes_.force(sent, writes);
  }
  http::Call call;
  call.to = at_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = sent + within;
  call.max_body = max_body;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome == Outcome::ok) {
    if (reply.status == 429 || reply.status == 503) {
      reply.outcome = Outcome::refused;
      if (reply.status == 429) on_throttled(writes > 0);
    } else {
      ever_served_ = true;
      last_served_ = loop_.now();
      last_served_sent_ = std::max(last_served_sent_, sent);
    }
  }
  co_return reply;
}

Task<GetResult> Client::get(std::string key, Nanos within, Importance how) {
  GetResult out;
  http::Reply reply = co_await call("GET", "/keys/" + key, "", within, size_t{64} * 1024, 0, how);
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  out.document = parse(reply.body);
  if (out.document && reply.status == 200) {
    if (auto item = read_item(out.document->root())) {
      out.found = true;
      out.item = std::move(*item);
      co_return out;
    }
  } else if (out.document && reply.status == 404) {
    if (const auto rev = out.document->root()["ledgerRev"].count()) {
      out.revision = *rev;
      co_return out;
    }
  }
  log_odd("a read", reply.status);
  out.outcome = Outcome::unknown;
  co_return out;
}

Task<ListResult> Client::list(std::string prefix, std::string after, Nanos within) {
  ListResult out;
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&since=" + after;
  target += "&most=500";
  http::Reply reply = co_await call("GET", target, "", within, kListBody, 0, Importance::essential);
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  out.document = parse(reply.body);
  const View root = out.document ? out.document->root() : View();
  const auto rev = root["ledgerRev"].count();
  if (reply.status != 200 || !rev || !root["rows"].is_list()) {
    log_odd("a listing", reply.status);
    out.outcome = Outcome::unknown;
    co_return out;
  }
  out.revision = *rev;
  out.more = root["more"].flag().value_or(false);
  const View rows = root["rows"];
  for (size_t i = 0; i < rows.size(); ++i) {
    auto item = read_item(rows.at(i));
    if (!item) {
      log_odd("a listing", reply.status);
      out.outcome = Outcome::unknown;
      co_return out;
    }
    out.items.push_back(std::move(*item));
  }
  co_return out;
}

Task<TransactionResult> Client::commit(Transaction txn, Nanos within, Importance how) {
  TransactionResult out;
  Writer writer;
  writer.map(2).key("guards").list(txn.compares.size());
  for (const auto& g : txn.compares)
    writer.map(2).key("key").text(g.key).key("stamp").count(g.mod_revision);
  writer.key("writes").list(txn.writes.size());
  for (const auto& op : txn.writes) {
    if (op.value.empty()) {
      writer.map(1).key("delete").text(op.key);
    } else {
      writer.map(op.lease ? 3 : 2).key("put").text(op.key).key("v").raw(op.value);
      if (op.lease) writer.key("tenancy").count(op.lease);
    }
  }
  http::Reply reply = co_await call("POST", "/multi", writer.take(), within, size_t{64} * 1024,
                                    static_cast<double>(txn.writes.size()), how);
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  const auto doc = parse(reply.body);
  const View root = doc ? doc->root() : View();
  const auto rev = root["ledgerRev"].count();
  if (reply.status == 200 && rev) {
    out.applied = true;
    out.revision = *rev;
  } else if (reply.status == 409 && root["failed"].is_list()) {
    out.revision = rev.value_or(0);
    const View failed = root["failed"];
    for (size_t i = 0; i < failed.size(); ++i) {
      if (const auto k = failed.at(i).text()) out.failed.emplace_back(*k);
    }
  } else if (reply.status == 400) {
    const std::string error(root["error"].text().value_or("?"));
    out.lease_expired = error == "no such lease";
    if (!out.lease_expired) {
      spdlog::error("key-value store refused a transaction: {}", error);
      on_malformed(txn);
    }
    out.outcome = Outcome::refused;
  } else {
    log_odd("a transaction", reply.status);
    out.outcome = Outcome::unknown;
  }
  co_return out;
}

Task<LeaseResult> Client::grant_lease(Millis ttl, Nanos within) {
  LeaseResult out;
  Writer writer;
  writer.map(1).key("ttlMs").count(static_cast<uint64_t>(ttl.count()));
  http::Reply reply =
      co_await call("POST", "/leases", writer.take(), within, 4096, 0, Importance::essential);
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  const auto doc = parse(reply.body);
  const auto id = doc ? doc->root()["tenancy"].count() : std::nullopt;
  if (reply.status != 200 || !id) {
    log_odd("a lease request", reply.status);
    out.outcome = Outcome::unknown;
    co_return out;
  }
  out.lease = *id;
  co_return out;
}

Task<LeaseResult> Client::renew_lease(uint64_t lease, Nanos within) {
  LeaseResult out;
  out.lease = lease;
  http::Reply reply = co_await call("POST", "/leases/" + std::to_string(lease) + "/extend", "",
                                    within, 4096, 0, Importance::essential);
  out.outcome = reply.outcome;
  if (reply.outcome == Outcome::ok) out.expired = reply.status == 404;
  if (reply.outcome == Outcome::ok && reply.status != 200 && reply.status != 404) {
    log_odd("a renewal", reply.status);
    out.outcome = Outcome::unknown;
  }
  co_return out;
}

Task<LeaseResult> Client::revoke_lease(uint64_t lease, Nanos within) {
  LeaseResult out;
  http::Reply reply = co_await call("DELETE", "/leases/" + std::to_string(lease), "", within, 4096,
                                    0, Importance::essential);
  out.outcome = reply.outcome;
  co_return out;
}

Task<WatchResult> Client::watch(std::string prefix, uint64_t since, Millis block) {
  WatchResult out;
  const std::string target = "/changes?starts=" + prefix + "&since=" + std::to_string(since) +
                             "&blockMs=" + std::to_string(block.count());
  const Nanos within = block + std::chrono::seconds(3);
  http::Reply reply =
      co_await call("GET", target, "", within, kWatchBody, 0, Importance::essential);
  out.outcome = reply.outcome;
  if (reply.too_large) {
    // Asking again would bring the same answer and more. What stands is listed page by page
    // instead, as when the service no longer has the changes.
    spdlog::info("key-value store: the changes of {} since {} are too many for one answer", prefix,
                 since);
    out.outcome = Outcome::ok;
    out.too_old = true;
    co_return out;
  }
  if (reply.outcome != Outcome::ok) co_return out;
  if (reply.status == 410) {
    out.too_old = true;
    co_return out;
  }
  out.document = parse(reply.body);
  const View root = out.document ? out.document->root() : View();
  const auto rev = root["ledgerRev"].count();
  if (reply.status != 200 || !rev) {
    log_odd("a watch", reply.status);
    out.outcome = Outcome::unknown;
    co_return out;
  }
  out.revision = *rev;
  const View changes = root["news"];
  for (size_t i = 0; i < changes.size(); ++i) {
    const View value = changes.at(i);
    Change change;
    if (const auto put = value["put"].text()) {
      change.key = *put;
    } else if (const auto removed = value["delete"].text()) {
      change.key = *removed;
      change.deleted = true;
    } else {
      continue;
    }
    change.value = value["v"];
    change.mod_revision = value["stamp"].count().value_or(0);
    out.changes.push_back(std::move(change));
  }
  co_return out;
}

}  // namespace dunlinknot::kv
