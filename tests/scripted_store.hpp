// The scripted key-value store: compare-and-swap, leases, watches, outages and late transactions.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "dunlinknot/settings/settings.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// Keeps the protocol of the key-value store on one event loop; a test decides what goes wrong.
class ScriptedStore {
 public:
  explicit ScriptedStore(EventLoop& loop) : loop_(loop) {}
  Task<http::Reply> serve(http::Call call);

  bool outage = false;
  bool too_old = false;                                    // watches are answered 410
  void end_outage();                                       // every lease has its full time again
  std::function<CallFault(const http::Call&)> call_fault;  // asked for each call
  std::function<void(const std::string&)> on_removed;      // a key that a transaction deletes
  std::function<void(const std::string&)> on_change;       // a key that was put or deleted
  Nanos fault_delay = seconds(10);
  uint64_t requests = 0;
  size_t max_value = 0, max_writes = 0;  // the largest seen
  // Enforced where set: a larger value or transaction gets 400, writes beyond the rate 429.
  std::optional<settings::StoreLimits> limits;
  size_t oversized = 0, throttled = 0;  // requests refused for them

  struct Entry {
    std::string value;  // packed
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };
  std::map<std::string, Entry> data;
  void put(const std::string& key, std::string value);  // as another client would
  void erase(const std::string& key);

 private:
  struct Lease {
    Millis ttl;
    Instant ends;
  };
  struct Event {
    uint64_t revision;
    std::string key;
    bool deleted;
    std::string value;
  };
  void expire();
  http::Reply execute(const http::Call& call);
  http::Reply lease_request(const std::string& method, const std::string& target);
  http::Reply read_key(const std::string& target) const;
  http::Reply list_keys(const std::string& target) const;
  http::Reply multi(wire::View root);
  bool takes(wire::View compares, wire::View writes) const;
  bool within_rate(size_t writes);
  Task<void> multi_later(std::string body);
  Task<http::Reply> changes(std::string target, Instant deadline);
  void note(std::string key, bool deleted, std::string value);

  EventLoop& loop_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  std::map<uint64_t, Lease> leases_;
  std::deque<Event> events_;
  uint64_t forgotten_ = 0;  // changes up to this revision are no longer kept
  double write_level_ = 0;
  Instant write_level_at_{};
};

// The size of a value in JSON without any spaces.
size_t compact_json_size(wire::View value);

}  // namespace dunlinknot::test
