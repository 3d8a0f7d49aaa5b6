// The client of the key-value store: typed calls with a deadline each and a rate budget below the
// service's limits. A call's outcome distinguishes a request that was certainly not executed from
// one that may have been executed, or may still be.
#pragma once
#include <optional>
#include <string>

#include "dunlinknot/kv/limits.hpp"
#include "dunlinknot/kv/types.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"

namespace dunlinknot::kv {

// How a client used the store since the process started.
struct CallCounts {
  uint64_t sent = 0;             // calls sent to the store
  uint64_t over_budget = 0;      // of these, essential calls sent although the budget was used up
  uint64_t throttled = 0;        // calls refused for their rate, by the budget or by the store
  uint64_t expired_watches = 0;  // watches of changes that the store no longer has (410)
};

// One per process, so that all components share its budget. Runs on the event loop passed to the
// constructor. No call throws or retries. A call that exceeds the budget is refused without being
// sent. The caller decides how to handle the outcome `unknown`.
class Client {
 public:
  // `rate_share`: the part (0 to 1) of the service's rate limits that this client uses. `transport`
  // must outlive the client.
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint endpoint, const Limits& limits,
         double rate_share);

  // Each call is answered within the duration `timeout`, or its outcome is `unknown`.
  Task<GetResult> get(std::string key, Nanos timeout, Importance importance = Importance::normal);
  // Reads one page of keys after `after`; kv::Pager reads all pages.
  Task<ListResult> list(std::string prefix, std::string after, Nanos timeout);
  Task<TransactionResult> commit(Transaction txn, Nanos timeout,
                                 Importance importance = Importance::normal);
  Task<LeaseResult> grant_lease(Millis ttl, Nanos timeout);
  Task<LeaseResult> renew_lease(uint64_t lease, Nanos timeout);
  Task<LeaseResult> revoke_lease(uint64_t lease, Nanos timeout);
  // Reads the changes after the revision `since`; waits up to `block` for the first one. A result
  // without changes means that there were none up to its revision.
  Task<WatchResult> watch(std::string prefix, uint64_t since, Millis block);

  // Whether the service has answered any request, when it last did, and the latest sending time of
  // an answered request. Refusals (429, 503) do not count as answers.
  bool has_responded() const { return has_responded_; }
  Instant last_response_at() const { return last_response_at_; }
  Instant last_answered_request_at() const { return last_answered_request_at_; }
  const CallCounts& counts() const { return counts_; }
  // For how long essential calls alone have used up the whole budget, so that every other call was
  // refused. Zero while the budget has any room: calls that are not essential never overdraw it.
  Nanos overdrawn_for();
  // Calls per second that the budget allows.
  double request_budget() const { return limits_.rps() * rate_share_; }

  // Whether the budget allows a user's request with this many writes. Half of the write rate is
  // available to users, however many writes the leader itself makes.
  bool has_user_budget(double writes);
  // How long until the budget allows this many writes.
  Nanos time_until_writes(double writes) {
    return writes_.time_until_available(loop_.now(), writes);
  }
  // How many writes the budget allows at once when it is full, and now.
  double write_burst() const { return writes_.burst(); }
  double available_writes() { return writes_.level(loop_.now()); }
  const Limits& limits() const { return limits_; }

 private:
  struct Request {
    std::string method;
    std::string target;
    std::string body;
    Nanos timeout{};
    size_t max_body = 0;  // maximum size of the response's body in bytes
    double writes = 0;    // number of writes taken from the budget
    // Listings, watches and lease calls are never refused by the budget: a leader depends on them.
    Importance importance = Importance::essential;
  };
  Task<http::Reply> call(Request request);
  bool reserve_budget(Instant now, double writes, Importance importance);
  void update_overdraft(Instant now);
  bool on_rejected_transaction(const Transaction& txn, std::string_view error);
  void on_throttled(bool has_writes);
  void adopt_limits();

  EventLoop& loop_;
  http::Transport& transport_;
  http::Endpoint endpoint_;
  Limits limits_;
  double rate_share_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket user_writes_;
  bool has_responded_ = false;
  Instant last_response_at_{};
  Instant last_answered_request_at_{};
  CallCounts counts_;
  std::optional<Instant> overdrawn_since_;  // set while the budget of requests is negative
};

}  // namespace dunlinknot::kv
