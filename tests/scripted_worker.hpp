// The scripted worker: fencing tokens, incarnations, leases, and commands in the order of arrival.
#pragma once
#include <functional>
#include <map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/wire/messages.hpp"
#include "fake_clock.hpp"
#include "scripted_transport.hpp"

namespace dunlinknot::test {

// A worker that implements the protocol. It ends all its tasks and begins a new incarnation when
// its lease expires. A test injects faults through the flags.
class ScriptedWorker {
 public:
  struct Running {
    TaskRef task;
    uint64_t attempt;
    TaskState state;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    Instant since{};
    Instant ends{};  // of the present state: fetching, running or saving
  };
  ScriptedWorker(EventLoop& loop, std::string id, const MachineType& type, std::string zone,
                 bool spot, std::string address, Nanos lease);

  // Sends a heartbeat to `handler` at every interval until the machine is powered off.
  Task<void> run(std::function<Task<http::Response>(http::Request)> handler, Nanos interval);
  // Ends the tasks at the moment at which the lease expires.
  Task<void> watch_lease();
  void power_off();
  // Serves a command that a controller sends directly (POST /do).
  Task<http::Reply> serve_command(http::Call call);
  // Commands that the worker executed, as they arrived.
  struct ReceivedCommands {
    std::string body;
    bool direct = false;  // by a direct call; otherwise in the response to a heartbeat
    uint64_t incarnation = 0;
    Instant heartbeat_sent_at{};  // of a response: when its heartbeat was sent
  };
  // Executes a late copy of commands, as far as the protocol allows: a copy of a direct call if its
  // token and incarnation still match; a copy of a response only while no later heartbeat was sent
  // and within the time for which a worker waits for a response. `any_response`: a copy of a
  // response at any time within its incarnation, which the protocol excludes.
  void execute_copy(const ReceivedCommands& received, bool any_response = false);
  // The next heartbeat, with the next sequence number.
  Heartbeat heartbeat();
  void execute_commands(wire::View commands);
  void lose_lease();

  bool powered_on = true;
  bool isolated = false;         // sends and receives nothing
  bool drop_responses = false;   // responses to heartbeats arrive too late and are discarded
  bool refuse_direct = false;    // direct commands are not delivered
  bool drop_heartbeats = false;  // heartbeats reach no controller; direct commands are delivered
  bool hung = false;  // executes nothing until reset; direct commands wait in the socket meanwhile
  std::function<Nanos(const TaskRef&)> run_time;    // default 5 s
  std::function<Nanos(const TaskRef&)> fetch_time;  // of the task's image, default 0
  std::function<bool(const TaskRef&)> fails;        // default false for each task
  std::map<std::string, JobSpec>* specs = nullptr;
  std::optional<Seconds> interruption_notice;
  std::map<std::pair<TaskRef, uint64_t>, Running> tasks;  // by task and attempt
  std::vector<std::pair<TaskRef, uint64_t>> started;      // task and attempt in order of start
  std::function<void(const TaskRef&)> on_start;
  std::function<void(const Running&)> on_end;
  std::function<void(const ReceivedCommands&)> on_commands;
  uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  std::string id;
  std::string address;

 private:
  void advance();
  void begin(Running& running);
  void end(Running& running, ExitCause cause);
  void end_all();
  http::Reply execute(const std::string& body);
  bool accept_response(const std::string& body);
  Task<void> execute_later(std::string body);
  EventLoop& loop_;
  MachineType type_;
  std::string zone_;
  bool spot_;
  Nanos lease_;
  Instant lease_renewed_at_;        // when the last accepted heartbeat was sent
  Instant last_heartbeat_sent_at_;  // when the last heartbeat was sent
};

}  // namespace dunlinknot::test
