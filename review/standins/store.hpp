// Stand-in for the state service: keys, transactions, leases, changes, and the limits of the page
// "The protocols of dunlinknot".
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::review {

struct StoreLimits {
  double rps = 0;
  double write_rps = 0;
  size_t value_bytes = 0;
  size_t txn_ops = 0;
};

class Store {
 public:
  Store(EventLoop& loop, const StoreLimits& limits);
  Task<http::Response> handle(http::Request request);

  void set_limits(const StoreLimits& limits);
  struct Entry {
    std::string value;  // MessagePack
    uint64_t stamp = 0;
    uint64_t tenancy = 0;
  };
  const std::map<std::string, Entry>& data() const { return data_; }
  // Puts and deletes since the start, each counted.
  uint64_t changes() const { return changes_; }

  // Answers since the start, by kind.
  uint64_t requests = 0, throttled_requests = 0, throttled_writes = 0, refused_transactions = 0,
           too_old = 0;
  std::string last_refusal;  // why the last transaction got 400

 private:
  struct Bucket {
    double rate = 0, level = 0;
    Instant at{};
    bool take(Instant now, double amount);
  };
  struct Lease {
    Millis ttl;
    Instant ends;
  };
  struct Change {
    uint64_t revision;
    std::string key;
    bool deleted;
    std::string value;
  };
  void expire_leases();
  void record(const std::string& key, bool deleted, const std::string& value);
  void forget_old_changes();
  http::Response transaction(wire::View root);
  http::Response read_key(const std::string& key) const;
  http::Response list(const std::string& target) const;
  http::Response lease_call(const http::Request& request, wire::View root);
  Task<http::Response> changes_since(std::string target);

  EventLoop& loop_;
  StoreLimits limits_;
  Bucket requests_bucket_, writes_bucket_;
  std::map<std::string, Entry> data_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> history_;
  uint64_t forgotten_revision_ = 0;  // changes up to this revision are no longer kept
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  uint64_t changes_ = 0;
};

}  // namespace dunlinknot::review
