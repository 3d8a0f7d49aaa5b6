// A small deployment on loopback: real controller processes, started with the command of the deploy
// file, and stand-ins for the state service, the cloud, the workers and the users.
#pragma once
#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/wire/messages.hpp"
#include "scripted_cloud.hpp"
#include "scripted_worker.hpp"
#include "store.hpp"

namespace dunlinknot::review {

using std::chrono::seconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct Setup {
  uint32_t controllers = 3;
  std::vector<std::string> zones{"a"};
  StoreLimits limits;
  std::optional<StoreLimits> next_limits;  // announced in the settings
  std::string teams;                       // TOML of params.teams
  double report_s = 2.5, lease_s = 14, gang_wait_s = 40, gang_peer_s = 8, cancel_s = 39;
  double cloud_rps = 4, list_lag_s = 10;
  double cpu = 0.2, memory_mb = 104;
  uint32_t max_connections = 1800;
  std::vector<MachineType> types;
  Nanos boot = seconds(2);  // from a rental to the first report
  // Workers also report when something changes, at most every half second.
  bool report_changes = false;
};

struct Controller {
  std::string name, settings, log;
  http::Endpoint listen, back, state, cloud;
  pid_t pid = 0;
  bool cut_state = false;  // requests to the state service are held back unanswered
};

// One connection of a user, kept open from call to call.
class User {
 public:
  User(EventLoop& loop, http::Endpoint node) : loop_(loop), node_(node), client_(loop, 1, seconds(600)) {}
  Task<http::Reply> call(std::string method, std::string target, std::string body, Nanos within);

 private:
  EventLoop& loop_;
  http::Endpoint node_;
  http::Client client_;
};

class Deployment {
 public:
  // `arguments`: program, temporary folder, record file; TROUBLE is read from the environment.
  Deployment(int argc, char** argv, Setup setup);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Runs the case and returns its exit code.
  int run(Task<int> drive);
  bool trouble() const { return trouble_; }
  EventLoop& loop() { return loop_; }
  Store& store() { return store_; }
  test::ScriptedCloud& cloud() { return cloud_; }
  std::vector<std::unique_ptr<Controller>>& controllers() { return controllers_; }
  std::map<std::string, std::unique_ptr<test::ScriptedWorker>>& workers() { return workers_; }
  std::map<std::string, JobSpec>& specs() { return specs_; }

  // Writes a line with the time to the record.
  void note(const std::string& line);
  double elapsed() const { return to_seconds(loop_.now() - started_).count(); }

  void start(Controller& controller);
  void kill_process(Controller& controller);
  bool ended(Controller& controller);  // whether the process ended by itself
  // The controller named in the key `leader`; null if there is none.
  Controller* leader();
  Task<bool> wait_ready(Nanos timeout);  // every controller answers GET /ready with 200

  std::unique_ptr<User> user(const Controller& controller) {
    return std::make_unique<User>(loop_, controller.listen);
  }
  // Remembers the job's description for the workers, and returns the body of its submission.
  std::string describe(const JobSpec& spec);

  std::function<Nanos(const TaskRef&)> run_time;
  std::function<Nanos(const TaskRef&)> fetch_time;
  std::function<Nanos(const std::string& machine)> boot_time;  // instead of Setup::boot
  std::function<void(const std::string& machine, const TaskRef&)> on_start;
  std::function<void(const std::string& machine, const test::ScriptedWorker::Running&)> on_end;
  std::function<void(const std::string& machine)> on_machine_up;
  size_t answered_reports = 0;
  bool cloud_down = false;  // every call to the cloud is answered 503 `trouble`

 private:
  http::Endpoint serve(std::function<Task<http::Response>(http::Request)> handler);
  http::Endpoint free_port();
  void add_controller(uint32_t index);
  void write_settings(const Controller& controller);
  Task<void> boot_worker(test::ScriptedCloud::Machine machine);
  Task<http::Response> report(http::Request request, std::shared_ptr<size_t> node);
  Task<http::Response> report_if_due(std::string machine, http::Request request,
                                     std::shared_ptr<size_t> node);
  struct LastReport {
    Instant sent{};
    std::string state;
  };
  Task<void> finish(Task<int> drive);

  Setup setup_;
  std::string program_, folder_;
  bool trouble_ = true;
  std::ofstream record_;
  SystemClock clock_;
  EventLoop loop_;
  Instant started_;
  Store store_;
  test::ScriptedCloud cloud_;
  http::Client worker_client_;
  std::vector<std::unique_ptr<http::Server>> servers_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::map<std::string, std::unique_ptr<test::ScriptedWorker>> workers_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, LastReport> last_reports_;
  int result_ = kCouldNotRun;
};

std::string standing_of(const http::Reply& reply);

}  // namespace dunlinknot::review
