// The key-value store: typed calls, a deadline on each, a budget below the service's limits, and an
// outcome that tells "not carried out" from "may have been, or may yet be".
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/kv/limits.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::kv {

using http::Outcome;

struct KeyValue {
  std::string key;
  wire::View value;
  uint64_t mod_revision = 0;
  uint64_t lease = 0;
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  bool found = false;
  KeyValue item;
  uint64_t revision = 0;
  std::shared_ptr<wire::Document> document;  // owns what `item` points into
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> items;
  bool more = false;
  uint64_t revision = 0;
  std::shared_ptr<wire::Document> document;
};

struct Compare {
  std::string key;
  uint64_t mod_revision = 0;  // 0: must not exist
};

struct Write {
  std::string key;
  std::string value;  // packed; empty: delete
  uint64_t lease = 0;
};

struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  bool applied = false;
  bool lease_expired = false;
  uint64_t revision = 0;
  std::vector<std::string> failed;  // keys whose guard did not hold
  bool compare_failed(std::string_view key) const;
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  bool expired = false;
  uint64_t lease = 0;
};

struct Change {
  std::string key;
  bool deleted = false;
  wire::View value;
  uint64_t mod_revision = 0;
};

struct WatchResult {
  Outcome outcome = Outcome::unknown;
  bool too_old = false;  // or more than one answer may hold: the keys must be listed again
  std::vector<Change> changes;
  uint64_t revision = 0;
  std::shared_ptr<wire::Document> document;
};

// How a call may use the budget. `essential` calls (leases, leadership) go through in any case.
// `user` calls (submissions, cancellations) have a share of their own, which the allocation store's
// writes do not use up.
enum class Importance { normal, user, essential };

class Client {
 public:
  // Keeps to this share of the service's rates.
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint at, const Limits& limits,
         double share);

  Task<GetResult> get(std::string key, Nanos within, Importance how = Importance::normal);
  Task<ListResult> list(std::string prefix, std::string after, Nanos within);
  Task<TransactionResult> commit(Transaction txn, Nanos within,
                                 Importance how = Importance::normal);
  Task<LeaseResult> grant_lease(Millis ttl, Nanos within);
  Task<LeaseResult> renew_lease(uint64_t lease, Nanos within);
  Task<LeaseResult> revoke_lease(uint64_t lease, Nanos within);
  Task<WatchResult> watch(std::string prefix, uint64_t since, Millis block);

  // When the service last served us: when we had the answer, and when that request was sent.
  bool ever_served() const { return ever_served_; }
  Instant last_served() const { return last_served_; }
  Instant last_served_sent() const { return last_served_sent_; }
  uint64_t throttled() const { return throttled_; }
  // Room for what users ask for: half of the writes, whatever the leader's own work takes.
  bool has_room_for_users(double writes);
  // How long until the budget allows so many writes.
  Nanos writes_in(double writes) { return writes_.until(loop_.now(), writes); }
  double write_burst() const { return writes_.burst(); }
  const Limits& limits() const { return limits_; }
  double write_level() { return writes_.level(loop_.now()); }

 private:
  Task<http::Reply> call(std::string method, std::string target, std::string body, Nanos within,
                         size_t max_body, double writes, Importance how);

  void on_malformed(const Transaction& txn);
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
  bool ever_served_ = false;
  Instant last_served_{};
  Instant last_served_sent_{};
  uint64_t throttled_ = 0;
};

}  // namespace dunlinknot::kv
