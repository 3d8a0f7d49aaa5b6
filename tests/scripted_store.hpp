// The scripted key-value store: compare-and-swap transactions, leases, watches, outages and
// transactions that are applied late.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "dunlinknot/settings/settings.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// Implements the protocol of the key-value store on one event loop, with its limits; a test chooses
// the faults.
class ScriptedStore {
 public:
  ScriptedStore(EventLoop& loop, const settings::StoreLimits& in_force)
      : limits(in_force), loop_(loop) {}
  Task<http::Reply> serve(http::Call call);

  // While set, requests are answered 503, watches stay open without changes, and no lease expires.
  bool outage = false;
  bool watches_too_old = false;  // watches are answered 410
  void end_outage();             // restarts every lease with its full time to live
  std::function<CallFault(const http::Call&)> call_fault;  // called for each call
  std::function<void(const std::string&)> on_removed;  // called before a transaction deletes a key
  std::function<void(const std::string&)> on_change;   // called when a key is put or deleted
  Nanos fault_delay = seconds(10);  // of CallFault::apply_late and CallFault::slow_reply
  uint64_t requests = 0;
  size_t max_value = 0, max_writes = 0;  // the largest value in bytes, the most writes of one call
  // A larger value or transaction gets 400, and requests and writes beyond the rates get 429.
  settings::StoreLimits limits;
  size_t oversized = 0;        // transactions rejected with 400 for their size
  size_t throttled = 0;        // requests rejected with 429
  size_t expired_watches = 0;  // watches answered 410

  struct Entry {
    std::string value;  // in MessagePack
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };
  std::map<std::string, Entry> data;
  // Write as another client would, without a transaction.
  void put(const std::string& key, std::string value);
  void erase(const std::string& key);

 private:
  struct Lease {
    Millis ttl;
    Instant ends;
  };
  // Holds the requests or writes of one second, and starts full.
  struct Rate {
    bool take(Instant now, double per_second, double amount);
    std::optional<double> available;
    Instant at{};
  };
  struct Event {
    uint64_t revision;
    std::string key;
    bool deleted;
    std::string value;
  };
  void expire_leases();
  // Executes any request but a watch.
  http::Reply execute(const http::Call& call);
  // Renews or ends a lease.
  http::Reply lease_request(const std::string& method, const std::string& target);
  http::Reply read_key(const std::string& target) const;
  http::Reply list_keys(const std::string& target) const;
  http::Reply execute_transaction(wire::View root);
  bool within_size_limits(wire::View transaction) const;
  Task<void> execute_transaction_late(std::string body);
  Task<http::Reply> watch(std::string target, Instant deadline);
  void record_event(std::string key, bool deleted, std::string value);

  EventLoop& loop_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  std::map<uint64_t, Lease> leases_;
  std::deque<Event> events_;
  uint64_t compacted_revision_ = 0;  // events up to this revision have been discarded
  Rate requests_;
  Rate writes_;
};

// Connects a client directly to the scripted store.
class StoreTransport : public http::Transport {
 public:
  explicit StoreTransport(ScriptedStore& store) : store_(store) {}
  Task<http::Reply> exchange(http::Call call) override {
    co_return co_await store_.serve(std::move(call));
  }

 private:
  ScriptedStore& store_;
};

// The size of a value in JSON without whitespace.
size_t compact_json_size(wire::View value);

}  // namespace dunlinknot::test
