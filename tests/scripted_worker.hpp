// The scripted worker: fencing tokens, incarnations, leases, and commands in the order they come.
#pragma once
#include <functional>
#include <map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/wire/messages.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// A worker that keeps to the protocol: fencing tokens, incarnations, leases, dropped responses.
class ScriptedWorker {
 public:
  struct Running {
    TaskRef task;
    uint64_t attempt;
    TaskState state;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    Instant since{};
    Instant ends{};
  };
  ScriptedWorker(EventLoop& loop, std::string id, const MachineType& type, std::string zone,
                 bool spot, std::string address, Nanos lease);

  Task<void> run(std::function<Task<http::Response>(http::Request)> handler, Nanos pace);
  Task<void> watch_lease();
  void power_off();
  Task<http::Reply> direct(http::Call call);  // POST /do
  Heartbeat heartbeat();
  void obey(wire::View orders);
  void lose_lease();

  bool powered_on = true;
  bool isolated = false;        // nothing in or out
  bool drop_responses = false;  // they come too late
  bool refuse_direct = false;
  bool drop_heartbeats = false;  // reaches no controller; direct commands reach it
  bool hung = false;             // executes nothing, and may go on; direct commands wait for it
  std::function<Nanos(const TaskRef&)> run_time;    // default 5 s
  std::function<Nanos(const TaskRef&)> fetch_time;  // of its image, default none
  std::function<bool(const TaskRef&)> fails;        // default never
  std::map<std::string, JobSpec>* specs = nullptr;
  std::optional<Seconds> interruption_notice;
  std::map<std::pair<TaskRef, uint64_t>, Running> tasks;
  std::vector<std::pair<TaskRef, uint64_t>> started;
  std::function<void(const TaskRef&)> on_start;
  std::function<void(const Running&)> on_end;
  uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  std::string id;
  std::string address;

 private:
  void advance();
  void begin(Running& r);
  void end(Running& r, ExitCause cause);
  void end_all();
  http::Reply execute(const std::string& body);
  Task<void> execute_later(std::string body);
  EventLoop& loop_;
  MachineType type_;
  std::string zone_;
  bool spot_;
  Nanos lease_;
  Instant answered_sent_;
};

}  // namespace dunlinknot::test
