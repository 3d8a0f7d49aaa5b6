// The scripted cloud: launches machines up to its capacity, terminates them, and lists them with a
// delay.
#pragma once
#include <functional>
#include <map>

#include "dunlinknot/wire/messages.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// Implements the cloud's protocol. A launch repeated under the same request name is answered with
// the machines of the first one.
class ScriptedCloud {
 public:
  explicit ScriptedCloud(EventLoop& loop) : loop_(loop) {}
  // Serves one call. `sender_token` is the fencing token of the singleton role under which the
  // sender acts; it is passed on to `on_operation`.
  Task<http::Reply> serve(http::Call call, uint64_t sender_token = 0);

  // A launch or deletion that was executed, whether or not it changed anything.
  struct Operation {
    std::string request;  // the request name of a launch; empty for a deletion
    std::vector<std::string> machines;
    bool changed = false;
    uint64_t sender_token = 0;
  };
  std::function<void(const Operation&)> on_operation;
  std::function<CallFault(const http::Call&)> call_fault;  // called for each call
  Nanos fault_delay = seconds(10);                         // of CallFault::apply_late

  struct Machine {
    std::string id, type, zone;
    bool spot = false;
    Instant launched_at{};
    bool removed = false;
    Instant removed_at{};
    std::string address;
  };
  std::vector<MachineType> types;
  std::string machine_address = "10.1.0.1:9000";  // the address given to each launched machine
  // Machines that can still be launched, by "type/zone/spot" or "type/zone/ordinary"; absent: 0.
  std::map<std::string, uint32_t> capacity;
  bool unavailable = false;          // every call is answered 503
  bool lose_launch_replies = false;  // launches are executed, their replies are lost
  Nanos list_lag = seconds(8);       // the machine list shows the state of this long ago
  std::map<std::string, Machine> machines;
  std::map<std::string, std::vector<std::string>> machines_by_request;
  uint64_t launches = 0, refusals = 0, lists = 0;
  std::function<void(const Machine&)> on_launched;
  std::function<void(const std::string&)> on_deleted;
  std::vector<std::string> deletions;  // machine ids in the order of the requests, with repeats

 private:
  Task<void> execute_later(http::Call call, uint64_t sender_token);
  http::Reply execute(const http::Call& call, uint64_t sender_token);
  http::Reply launch(const http::Call& call, uint64_t sender_token);
  http::Reply remove(const http::Call& call, uint64_t sender_token);
  http::Reply list(const http::Call& call);

  EventLoop& loop_;
  uint64_t next_machine_ = 1;
};

}  // namespace dunlinknot::test
