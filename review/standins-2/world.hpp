// Stand-ins for the cases of the second review: cloud, workers and users on loopback, the project's
// scripted key-value store, and real controller processes. Each controller has its own addresses of
// the cloud and the store.
#pragma once
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/wire/messages.hpp"
#include "scripted_store.hpp"

namespace review {

using namespace dunlinknot;
using std::chrono::seconds;

struct World;

// The settings of a deployment; the defaults are those of the Cellarline page.
struct Setup {
  std::vector<std::string> zones{"townsville"};
  std::string teams;
  std::string objectives;
  double report_s = 1.5;
  double lease_s = 14;
  double gang_wait_s = 40;
  double gang_peer_s = 6;
  double cancel_s = 39;
  double rps = 250, write_rps = 100, value_kb = 8;
  int txn_ops = 48;
  double cloud_rps = 4, list_lag_s = 8;
  double cpu = 0.08, memory_mb = 56;
  int max_connections = 800;
  int controllers = 3;
};

struct Controller {
  std::string name;
  std::string settings;
  std::string log;
  http::Endpoint listen, back, state, cloud;
  pid_t pid = 0;
};

// A task on a worker.
struct WorkerTask {
  TaskRef task;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
  Instant until{};         // end of the present state
  Instant since{};         // begin of the present state
  double run_left = 0;     // seconds of run time still to do
};

// A worker as PROTOCOL describes it.
struct Worker {
  World& world;
  std::string id;
  MachineType type;
  std::string zone;
  bool spot = false;
  bool on = true;             // the machine has power
  bool sick = false;          // fails every task that it starts
  uint64_t shift = 1, tally = 0, baton = 0;
  size_t node = 0;            // index of the controller that it reports to
  Instant last_answered_sent;
  Instant last_sent{};
  bool changed = false;
  bool beating = false;  // a report is in flight
  std::string address;
  std::unique_ptr<http::Server> server;
  std::map<std::pair<TaskRef, uint64_t>, WorkerTask> tasks;
  std::optional<Instant> next_beat;

  Worker(World& w, std::string id_, MachineType type_, std::string zone_, bool spot_);
  Task<void> beats();
  Task<void> clockwork();
  std::string report();
  void execute(wire::View orders);
  void end(WorkerTask& task, ExitCause cause, bool saved = false);
  void lose_lease();
  void drop_tasks();
  void power_off(const char* why);
  http::Response direct(const http::Request& request);
};

struct CloudMachine {
  std::string id, type, zone;
  bool spot = false;
  Instant rented{};
  std::optional<Instant> up, gone;
};

// The cloud as PROTOCOL describes it.
struct Cloud {
  World& world;
  std::vector<MachineType> types;
  std::map<std::string, int> capacity;  // "type/zone/spot" or "type/zone/ordinary"; absent: none
  std::map<std::string, double> boot_s;  // by type; absent: startupS of the catalog
  std::map<std::string, CloudMachine> machines;
  std::map<std::string, std::vector<std::string>> hires;
  unsigned next_id = 1;
  int rentals = 0;  // rental requests that arrived
  Task<http::Response> serve(http::Request request);
  CloudMachine& add(const std::string& type, const std::string& zone, bool spot);
  std::string pool(const std::string& type, const std::string& zone, bool spot) const {
    return type + "/" + zone + "/" + (spot ? "spot" : "ordinary");
  }
  void take(const std::string& id, const char* why);  // the machine is gone
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string standing;
  uint64_t done = 0, running = 0;
};

struct World {
  SystemClock clock;
  EventLoop loop{clock};
  Setup setup;
  std::string directory;
  std::ofstream record_file;
  Instant began;
  dunlinknot::settings::StoreLimits limits;
  std::unique_ptr<test::ScriptedStore> store;
  Cloud cloud{*this, {}, {}, {}, {}, {}, 1, 0};
  std::vector<std::unique_ptr<Controller>> controllers;
  std::vector<std::unique_ptr<http::Server>> servers;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  http::Client client{loop, 4, seconds(30)};
  std::mt19937 random{1};
  std::map<std::string, JobSpec> specs;       // uploaded by the users
  std::map<std::string, double> run_s;        // run time of each job's tasks
  std::function<void(Worker&)> on_worker;     // called when a machine is up
  int result = 2;
  bool cloud_down = false;  // the cloud answers every request 503

  World(Setup s, const std::string& record_path);
  ~World();
  void record(const std::string& line);
  double elapsed() const { return to_seconds(loop.now() - began).count(); }
  int run(Task<void> scenario);
  Task<void> finish_after(Task<void> scenario);

  void add_controllers();
  void start(Controller& controller);
  void end(Controller& controller, const char* why);
  Task<bool> all_ready(Nanos within);
  std::optional<std::string> leader() const;
  Controller& controller(const std::string& name);
  size_t index_of(const std::string& name) const;

  http::Endpoint serve(std::function<Task<http::Response>(http::Request)> handler);
  http::Endpoint free_endpoint();
  Task<http::Reply> call(http::Endpoint to, std::string method, std::string target,
                         std::string body, Nanos within);
  Task<Answer> submit(size_t node, const JobSpec& spec, double run_seconds);
  Task<Answer> poll(size_t node, const std::string& id);
  // Submits as a user does: with retries at the next node, for up to 60 s.
  Task<bool> accepted(const JobSpec& spec, double run_seconds);

  // Gangs whose tasks wait or run: (job, attempt) -> the tasks that have their image.
  std::map<std::pair<std::string, uint64_t>, std::set<uint32_t>> gathered;
};

std::string format(const char* pattern, ...) __attribute__((format(printf, 1, 2)));

}  // namespace review
