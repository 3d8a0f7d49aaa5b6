// The calls of the key-value store. Their messages are encoded and decoded in wire/store_messages.
#include "dunlinknot/kv/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

namespace {

using wire::Document;
using wire::View;
namespace store = wire::store;

// The share of the write rate that is available to users' requests.
constexpr double kUserWriteShare = 0.5;
// Requests that must be left in the budget for a user's request to be accepted.
constexpr double kMinRequestsForUsers = 2;
// A call needs at most this many writes in the budget; a larger call may overdraw it.
constexpr double kMaxReservedWrites = 10;

// Maximum sizes of response bodies in bytes.
constexpr size_t kMaxItemBody = size_t{64} * 1024;  // one value, or a transaction's result
constexpr size_t kMaxLeaseBody = 4096;
constexpr size_t kMaxListBody = size_t{600} * 1024;  // the store sends at most 512 KiB
constexpr size_t kMaxWatchBody = size_t{4} * 1024 * 1024;

// Time for the answer to a watch beyond the time for which the watch may block.
constexpr auto kWatchAnswerTimeout = std::chrono::seconds(3);

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

// Logs a response with an unexpected status or a body that cannot be parsed. It does not show
// whether the request was executed.
Outcome unreadable_response(const char* request, int status) {
  spdlog::info(
      "key-value store: unexpected response to {} (status {}); the outcome is treated as unknown",
      request, status);
  return Outcome::unknown;
}

}  // namespace

bool TransactionResult::compare_failed(std::string_view key) const {
  return std::find(failed.begin(), failed.end(), key) != failed.end();
}

Client::Client(EventLoop& loop, http::Transport& transport, http::Endpoint endpoint,
               const Limits& limits, double rate_share)
    : loop_(loop),
      transport_(transport),
      endpoint_(endpoint),
      limits_(limits),
      rate_share_(rate_share),
      requests_(limits_.rps() * rate_share, limits_.rps() * rate_share),
      writes_(limits_.write_rps() * rate_share, limits_.write_rps() * rate_share),
      user_writes_(limits_.write_rps() * rate_share * kUserWriteShare,
                   limits_.write_rps() * rate_share * kUserWriteShare) {}

void Client::adopt_limits() {
  const Instant now = loop_.now();
  requests_.set_rate(now, limits_.rps() * rate_share_);
  writes_.set_rate(now, limits_.write_rps() * rate_share_);
  user_writes_.set_rate(now, limits_.write_rps() * rate_share_ * kUserWriteShare);
}

// When the transaction exceeds an announced limit, puts the announced limits in force and returns
// true. The caller then builds smaller transactions.
bool Client::on_rejected_transaction(const Transaction& txn, std::string_view error) {
  const TransactionSize size = size_of(txn);
  spdlog::error(
      "key-value store: transaction rejected as malformed, nothing was written: {}; first key {}, "
      "{}",
      error, txn.writes.empty() ? txn.compares.front().key : txn.writes.front().key,
      limits_.describe(size));
  const bool explained = limits_.on_rejected_transaction(size);
  if (explained) adopt_limits();
  return explained;
}

void Client::on_throttled(bool has_writes) {
  ++counts_.throttled;
  if (limits_.on_throttled(has_writes)) adopt_limits();
}

bool Client::has_user_budget(double writes) {
  const Instant now = loop_.now();
  return requests_.level(now) >= kMinRequestsForUsers && user_writes_.level(now) >= writes;
}

void Client::update_overdraft(Instant now) {
  if (requests_.level(now) >= 0) {
    overdrawn_since_.reset();
  } else if (!overdrawn_since_) {
    overdrawn_since_ = now;
  }
}

Nanos Client::overdrawn_for() {
  const Instant now = loop_.now();
  update_overdraft(now);
  return overdrawn_since_ ? now - *overdrawn_since_ : Nanos(0);
}

// Takes a request and its writes from the budget. Returns false when the budget does not allow
// them.
bool Client::reserve_budget(Instant now, double writes, Importance importance) {
  const bool is_user_request = importance == Importance::user;
  update_overdraft(now);
  if (importance != Importance::essential) {
    const double available = is_user_request ? user_writes_.level(now) : writes_.level(now);
    if (requests_.level(now) < 1) return false;
    if (writes > 0 && available < std::min(writes, kMaxReservedWrites)) return false;
  }
  ++counts_.sent;
  if (requests_.level(now) < 1) ++counts_.over_budget;
  requests_.take_unconditionally(now);
  update_overdraft(now);
  if (writes > 0) writes_.take_unconditionally(now, writes);
  if (is_user_request) user_writes_.take_unconditionally(now, writes);
  return true;
}

Task<http::Reply> Client::call(Request request) {
  const Instant sent = loop_.now();
  if (!reserve_budget(sent, request.writes, request.importance)) {
    ++counts_.throttled;
    http::Reply refused;
    refused.outcome = Outcome::not_executed;
    refused.status = kTooManyRequests;
    co_return refused;
  }
  http::Call call;
  call.to = endpoint_;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  call.body = std::move(request.body);
  call.deadline = sent + request.timeout;
  call.max_body = request.max_body;
  http::Reply reply = co_await transport_.exchange(std::move(call));
  if (reply.outcome != Outcome::ok) co_return reply;
  if (reply.status == kTooManyRequests || reply.status == kUnavailable) {
    reply.outcome = Outcome::not_executed;
    if (reply.status == kTooManyRequests) on_throttled(request.writes > 0);
  } else {
    has_responded_ = true;
    last_response_at_ = loop_.now();
    last_answered_request_at_ = std::max(last_answered_request_at_, sent);
  }
  co_return reply;
}

Task<GetResult> Client::get(std::string key, Nanos timeout, Importance importance) {
  Request request{"GET", store::key_path(key), "", timeout, kMaxItemBody, 0, importance};
  const http::Reply reply = co_await call(std::move(request));
  GetResult result;
  result.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return result;
  result.document = parse(reply.body);
  const View root = root_of(result.document);
  if (reply.status == kOk) {
    if (auto item = store::read_key_value(root)) {
      result.found = true;
      result.item = std::move(*item);
      co_return result;
    }
  } else if (reply.status == kNotFound) {
    if (const auto revision = store::read_revision(root)) {
      result.revision = *revision;
      co_return result;
    }
  }
  result.outcome = unreadable_response("a key read", reply.status);
  co_return result;
}

Task<ListResult> Client::list(std::string prefix, std::string after, Nanos timeout) {
  Request request{"GET", store::list_path(prefix, after), "", timeout, kMaxListBody};
  const http::Reply reply = co_await call(std::move(request));
  ListResult result;
  result.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return result;
  result.document = parse(reply.body);
  auto listing = store::read_listing(root_of(result.document));
  if (reply.status != kOk || !listing) {
    result.outcome = unreadable_response("a listing", reply.status);
    co_return result;
  }
  result.items = std::move(listing->items);
  result.more = listing->more;
  result.revision = listing->revision;
  co_return result;
}

Task<TransactionResult> Client::commit(Transaction txn, Nanos timeout, Importance importance) {
  Request request{"POST",
                  std::string(store::kTransactionPath),
                  store::write_transaction(txn),
                  timeout,
                  kMaxItemBody,
                  static_cast<double>(txn.writes.size()),
                  importance};
  const http::Reply reply = co_await call(std::move(request));
  TransactionResult result;
  result.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return result;
  const auto document = parse(reply.body);
  const View root = root_of(document);
  const auto revision = store::read_revision(root);
  auto failed = store::read_failed_compares(root);
  if (reply.status == kOk && revision) {
    result.applied = true;
    result.revision = *revision;
  } else if (reply.status == kConflict && failed) {
    result.revision = revision.value_or(0);
    result.failed = std::move(*failed);
  } else if (reply.status == kBadRequest) {
    result.outcome = Outcome::not_executed;
    const std::string error = store::read_error(root);
    result.lease_expired = store::is_expired_lease(error);
    if (!result.lease_expired) result.rejected = !on_rejected_transaction(txn, error);
  } else {
    result.outcome = unreadable_response("a transaction", reply.status);
  }
  co_return result;
}

Task<LeaseResult> Client::grant_lease(Millis ttl, Nanos timeout) {
  Request request{"POST", std::string(store::kLeasesPath), store::write_lease_request(ttl), timeout,
                  kMaxLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult result;
  result.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return result;
  const auto document = parse(reply.body);
  const auto lease = store::read_lease(root_of(document));
  if (reply.status == kOk && lease) {
    result.lease = *lease;
  } else {
    result.outcome = unreadable_response("a lease request", reply.status);
  }
  co_return result;
}

Task<LeaseResult> Client::renew_lease(uint64_t lease, Nanos timeout) {
  Request request{"POST", store::lease_renewal_path(lease), "", timeout, kMaxLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult result;
  result.lease = lease;
  result.outcome = reply.outcome;
  if (reply.outcome != Outcome::ok) co_return result;
  result.expired = reply.status == kNotFound;
  if (reply.status != kOk && !result.expired)
    result.outcome = unreadable_response("a lease renewal", reply.status);
  co_return result;
}

Task<LeaseResult> Client::revoke_lease(uint64_t lease, Nanos timeout) {
  Request request{"DELETE", store::lease_path(lease), "", timeout, kMaxLeaseBody};
  const http::Reply reply = co_await call(std::move(request));
  LeaseResult result;
  result.outcome = reply.outcome;
  co_return result;
}

Task<WatchResult> Client::watch(std::string prefix, uint64_t since, Millis block) {
  Request request{"GET", store::changes_path(prefix, since, block), "", block + kWatchAnswerTimeout,
                  kMaxWatchBody};
  const http::Reply reply = co_await call(std::move(request));
  WatchResult result;
  result.outcome = reply.outcome;
  if (reply.too_large) {
    // A retry would return at least the same changes. The caller lists the keys page by page
    // instead, as when the service no longer has the changes.
    spdlog::info(
        "key-value store: the changes under {} since revision {} exceed the maximum response size; "
        "the keys are listed again",
        prefix, since);
    result.outcome = Outcome::ok;
    result.relist_required = true;
    co_return result;
  }
  if (reply.outcome != Outcome::ok) co_return result;
  if (reply.status == kGone) {
    spdlog::info(
        "key-value store: the changes under {} since revision {} are no longer kept; the keys are "
        "read again",
        prefix, since);
    ++counts_.expired_watches;
    result.relist_required = true;
    co_return result;
  }
  result.document = parse(reply.body);
  auto changes = store::read_changes(root_of(result.document));
  if (reply.status != kOk || !changes) {
    result.outcome = unreadable_response("a watch", reply.status);
    co_return result;
  }
  result.revision = changes->revision;
  result.changes = std::move(changes->changes);
  co_return result;
}

}  // namespace dunlinknot::kv
