// The scripted cloud: launches machines while it has capacity, terminates them, and lists them
// late.
#pragma once
#include <functional>
#include <map>

#include "dunlinknot/wire/messages.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// Keeps the protocol of the cloud; requests are idempotent by their name.
class ScriptedCloud {
 public:
  explicit ScriptedCloud(EventLoop& loop) : loop_(loop) {}
  // `sender_token`: of the role under which the sender acts, for the history.
  Task<http::Reply> serve(http::Call call, uint64_t sender_token = 0);

  // A request that was carried out, whether or not it changed anything.
  struct Operation {
    std::string request;  // of a launch; empty: a deletion
    std::vector<std::string> machines;
    bool changed = false;
    uint64_t sender_token = 0;
  };
  std::function<void(const Operation&)> on_operation;
  std::function<CallFault(const http::Call&)> call_fault;  // asked for each call
  Nanos fault_delay = seconds(10);

  struct Machine {
    std::string id, type, zone;
    bool spot = false;
    Instant since{};
    bool removed = false;
    Instant removed_at{};
    std::string address;
  };
  std::vector<MachineType> types;
  std::string machine_address = "10.1.0.1:9000";  // of each machine that is launched
  std::map<std::string, uint32_t> capacity;       // "type/zone/spot|ordinary"; absent: 0
  bool unavailable = false;
  bool lose_launch_replies = false;
  Nanos list_lag = seconds(8);
  std::map<std::string, Machine> machines;
  std::map<std::string, std::vector<std::string>> machines_by_request;  // by request name
  uint64_t launches = 0, refusals = 0, lists = 0;
  std::function<void(const Machine&)> on_launched;
  std::function<void(const std::string&)> on_deleted;
  std::vector<std::string> deletions;

 private:
  Task<void> execute_later(http::Call call, uint64_t sender_token);
  http::Reply execute(const http::Call& call, uint64_t sender_token);
  http::Reply launch(const http::Call& call, uint64_t sender_token);
  http::Reply remove(const http::Call& call, uint64_t sender_token);
  http::Reply list(const http::Call& call);

  EventLoop& loop_;
  uint64_t next_ = 1;
};

}  // namespace dunlinknot::test
