// The client of the key-value store: typed calls, a deadline on each, a budget below the service's
// limits, and an outcome that distinguishes "not carried out" from "may have been, or may yet be".
#pragma once
#include <string>

#include "dunlinknot/kv/limits.hpp"
#include "dunlinknot/kv/types.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"

namespace dunlinknot::kv {

// One per process; all parts share its budget. Runs on the event loop that it was given. No call
// throws or retries: a call that is over budget is refused without being sent, and the caller
// decides what an `unknown` outcome means.
class Client {
 public:
  // Keeps to this share (0 to 1) of the service's rates. `transport` must outlive it.
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint at, const Limits& limits,
         double share);

  // Each call gets its answer within the duration `within`, or the outcome is `unknown`.
  Task<GetResult> get(std::string key, Nanos within, Importance how = Importance::normal);
  // One page; kv::Pager reads all of them.
  Task<ListResult> list(std::string prefix, std::string after, Nanos within);
  Task<TransactionResult> commit(Transaction txn, Nanos within,
                                 Importance how = Importance::normal);
  Task<LeaseResult> grant_lease(Millis ttl, Nanos within);
  Task<LeaseResult> renew_lease(uint64_t lease, Nanos within);
  Task<LeaseResult> revoke_lease(uint64_t lease, Nanos within);
  // The changes after the revision `since`, waiting up to `block` for one. A watch that is answered
  // without changes is a result like any other: there were none up to its revision.
  Task<WatchResult> watch(std::string prefix, uint64_t since, Millis block);

  // When the service last answered a request of ours, and when that request was sent.
  bool has_responded() const { return has_responded_; }
  Instant last_response_at() const { return last_response_at_; }
  Instant last_answered_request_at() const { return last_answered_request_at_; }
  // Calls refused for their rate, here or by the service, since the process began.
  uint64_t throttled() const { return throttled_; }

  // Whether the budget has room for what users ask for: half of the writes, whatever the leader's
  // own work uses.
  bool has_user_budget(double writes);
  // How long until the budget allows so many writes.
  Nanos time_until_writes(double writes) { return writes_.until(loop_.now(), writes); }
  // How many writes the budget allows at once when it is full, and at present.
  double write_burst() const { return writes_.burst(); }
  double available_writes() { return writes_.level(loop_.now()); }
  const Limits& limits() const { return limits_; }

 private:
  struct Request {
    std::string method;
    std::string target;
    std::string body;
    Nanos within{};
    size_t max_body = 0;  // bytes of the answer
    double writes = 0;    // that it takes from the budget
    // Listings, watches and leases are never refused for the budget: a leader depends on them.
    Importance importance = Importance::essential;
  };
  Task<http::Reply> call(Request request);
  bool reserve_budget(Instant now, double writes, Importance importance);
  void on_refused_transaction(const Transaction& txn);
  void on_throttled(bool writes);
  void adopt_limits();

  EventLoop& loop_;
  http::Transport& transport_;
  http::Endpoint at_;
  Limits limits_;
  double share_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket user_writes_;
  bool has_responded_ = false;
  Instant last_response_at_{};
  Instant last_answered_request_at_{};
  uint64_t throttled_ = 0;
};

}  // namespace dunlinknot::kv
