// The calls of the key-value store; what they send and get is formed in wire/store_messages.
#include "dunlinknot/kv/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

namespace {

using wire::Document;
using wire::View;
namespace store = wire::store;

constexpr double kUserShare = 0.5;    // of the writes
constexpr double kUserRequests = 2;   // in the budget, that users are accepted
constexpr double kMostReserved = 10;  // writes that must be in the budget; more may overdraw it

// The largest bodies that are accepted as answers, in bytes.
constexpr size_t kItemBody = size_t{64} * 1024;  // one value, or a transaction's result
constexpr size_t kLeaseBody = 4096;
constexpr size_t kListBody = size_t{600} * 1024;  // the store sends at most 512 KiB
constexpr size_t kWatchBody = size_t{4} * 1024 * 1024;

constexpr auto kWatchAnswerTime = std::chrono::seconds(3);  // after the time that it may block

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::shared_ptr<Document> parse(const std::string& body) {
  auto document = Document::parse(body);
  if (!document) return nullptr;
  return std::make_shared<Document>(std::move(*document));
}

View root_of(const std::shared_ptr<Document>& document) {
  return document ? document->root() : View();
}

// An answer of an unexpected form shows nothing of what was carried out.
Outcome unreadable(const char* what, int status) {
  spdlog::info("key-value store: unreadable answer to {} (status {}), taken as unknown", what,
               status);
  return Outcome::unknown;
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

// When the announced limits explain the refusal, whoever sent the transaction forms a smaller one.
void Client::on_refused_transaction(const Transaction& txn) {
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

bool Client::has_user_budget(double writes) {
  const Instant now = loop_.now();
  return requests_.level(now) >= kUserRequests && user_writes_.level(now) >= writes;
}

// Takes a request and its writes out of the budget; false when it has no room for them.
bool Client::reserve_budget(Instant now, double writes, Importance importance) {
  const bool user = importance == Importance::user;
  if (importance != Importance::essential) {
    const double level = user ? user_writes_.level(now) : writes_.level(now);
    if (requests_.level(now) < 1) return false;
    if (writes > 0 && level < std::min(writes, kMostReserved)) return false;
  }
  requests_.force(now);
  if (writes > 0) writes_.force(now, writes);
  if (user) user_writes_.force(now, writes);
  return true;
}

Task<http::Reply> Client::call(Request request) {
  const Instant sent = loop_.now();
  if (!reserve_budget(sent, request.writes, request.importance)) {
    ++throttled_;
    http::Reply refused;
    refused.outcome = Outcome::refused;
    refused.status = kTooManyRequests;
    co_return refused;
  }
  http::Call call;
  call.to = at_;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  call.body = std::move(request.body);
  call.deadline = sent + request.within;
  call.max_body = request.max_body;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome != Outcome::ok) co_return reply;
  if (reply.status == kTooManyRequests || reply.status == kUnavailable) {
    reply.outcome = Outcome::refused;
    if (reply.status == kTooManyRequests) on_throttled(request.writes > 0);
  } else {
    has_responded_ = true;
    last_response_at_ = loop_.now();
    last_answered_request_at_ = std::max(last_answered_request_at_, sent);
  }
  co_return reply;
}

Task<GetResult> Client::get(std::string key, Nanos within, Importance how) {
  Request request{"GET", store::key_path(key), "", within, kItemBody, 0, how};
  const http::Reply reply = co_await call(std::move(request));
  GetResult out;
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  out.document = parse(reply.body);
  const View root = root_of(out.document);
  if (reply.status == kOk) {
    if (auto item = store::read_key_value(root)) {
      out.found = true;
      out.item = std::move(*item);
      co_return out;
    }
  } else if (reply.status == kNotFound) {
    if (const auto revision = store::read_revision(root)) {
      out.revision = *revision;
      co_return out;
    }
  }
  out.outcome = unreadable("a read", reply.status);
  co_return out;
}

Task<ListResult> Client::list(std::string prefix, std::string after, Nanos within) {
  Request request{"GET", store::list_path(prefix, after), "", within, kListBody};
  const http::Reply reply = co_await call(std::move(request));
  ListResult out;
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  out.document = parse(reply.body);
  auto listing = store::read_listing(root_of(out.document));
  if (reply.status != kOk || !listing) {
    out.outcome = unreadable("a listing", reply.status);
    co_return out;
  }
  out.items = std::move(listing->items);
  out.more = listing->more;
  out.revision = listing->revision;
  co_return out;
}

Task<TransactionResult> Client::commit(Transaction txn, Nanos within, Importance how) {
  Request request{"POST",
                  std::string(store::kTransactionPath),
                  store::write_transaction(txn),
                  within,
                  kItemBody,
                  static_cast<double>(txn.writes.size()),
                  how};
  const http::Reply reply = co_await call(std::move(request));
  TransactionResult out;
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  const auto document = parse(reply.body);
  const View root = root_of(document);
  const auto revision = store::read_revision(root);
  auto failed = store::read_failed_compares(root);
  if (reply.status == kOk && revision) {
    out.applied = true;
    out.revision = *revision;
  } else if (reply.status == kConflict && failed) {
    out.revision = revision.value_or(0);
    out.failed = std::move(*failed);
  } else if (reply.status == kBadRequest) {
    out.outcome = Outcome::refused;
    const std::string error = store::read_error(root);
    out.lease_expired = store::is_expired_lease(error);
    if (!out.lease_expired) {
      spdlog::error("key-value store refused a transaction: {}", error);
      on_refused_transaction(txn);
    }
  } else {
    out.outcome = unreadable("a transaction", reply.status);
  }
  co_return out;
}

Task<LeaseResult> Client::grant_lease(Millis ttl, Nanos within) {
  Request request{"POST", std::string(store::kLeasesPath), store::write_lease_request(ttl), within,
                  kLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult out;
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  const auto document = parse(reply.body);
  const auto lease = store::read_lease(root_of(document));
  if (reply.status == kOk && lease) {
    out.lease = *lease;
  } else {
    out.outcome = unreadable("a lease request", reply.status);
  }
  co_return out;
}

Task<LeaseResult> Client::renew_lease(uint64_t lease, Nanos within) {
  Request request{"POST", store::lease_renewal_path(lease), "", within, kLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult out;
  out.lease = lease;
  out.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return out;
  out.expired = reply.status == kNotFound;
  if (reply.status != kOk && !out.expired) out.outcome = unreadable("a renewal", reply.status);
  co_return out;
}

Task<LeaseResult> Client::revoke_lease(uint64_t lease, Nanos within) {
  Request request{"DELETE", store::lease_path(lease), "", within, kLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult out;
  out.outcome = reply.outcome;
  co_return out;
}

Task<WatchResult> Client::watch(std::string prefix, uint64_t since, Millis block) {
  Request request{"GET", store::changes_path(prefix, since, block), "", block + kWatchAnswerTime,
                  kWatchBody};
  const http::Reply reply = co_await call(std::move(request));
  WatchResult out;
  out.outcome = reply.outcome;
  if (reply.too_large) {
    // Asking again would bring the same answer and more. The keys are listed page by page instead,
    // as when the service no longer has the changes.
    spdlog::info("key-value store: the changes of {} since {} are too many for one answer", prefix,
                 since);
    out.outcome = Outcome::ok;
    out.relist_required = true;
    co_return out;
  }
  if (reply.outcome != Outcome::ok) co_return out;
  if (reply.status == kGone) {
    out.relist_required = true;
    co_return out;
  }
  out.document = parse(reply.body);
  auto read = store::read_changes(root_of(out.document));
  if (reply.status != kOk || !read) {
    out.outcome = unreadable("a watch", reply.status);
    co_return out;
  }
  out.revision = read->revision;
  out.changes = std::move(read->changes);
  co_return out;
}

}  // namespace dunlinknot::kv
