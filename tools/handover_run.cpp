// Forces handovers of the singleton roles between real controller processes. This process simulates
// the cloud, the key-value store, the workers and the users on loopback. It writes the history of
// all cloud operations and role grants, checks it and prints counts.
//
// Controllers are stopped and continued by signal, killed and restarted, and partitioned from the
// key-value store, the cloud or both. The cloud executes requests late or loses the responses.
#include <netinet/in.h>
#include <spawn.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "dunlinknot/http/server.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

struct Options {
  std::string program = "target/dunlinknot";
  std::string directory;  // directory of settings, logs and the history
  uint32_t controllers = 3;
  uint32_t handovers = 300;
  uint32_t seed = 1;
  bool calm_cloud = false;  // no late requests and no lost responses, and no wait for late ones
  bool roles = true;        // off: the checks are expected to find violations
};

enum class Fault : uint8_t { kill, stop, stop_at_intent, cut_store, cut_cloud, cut_both };
constexpr std::array<std::string_view, 6> kFaultNames{
    "killed", "stopped", "stopped at an act", "cut from state", "cut from cloud", "cut from both"};

constexpr std::string_view kLeaderTtl = "1";
constexpr std::string_view kRolesTtl = "1.5";
constexpr std::string_view kRolesRenew = "0.4";
constexpr Millis kHeartbeatInterval{500};
constexpr auto kWorkerLease = seconds(14);
constexpr auto kHandoverTimeout = seconds(15);  // wait for a handover after a fault
// Largest delay of a request that the cloud executes late.
constexpr Millis kMaxRequestDelay{15'500};
constexpr auto kSettleTimeout = seconds(90);
constexpr double kBytesPerKb = 1024;
constexpr settings::StoreLimits kStoreLimits{
    .rps = 1000, .write_rps = 1000, .value_bytes = size_t{8} * 1024, .txn_ops = 16};

// A controller process and the faults injected into it.
struct Controller {
  std::string name;
  std::string settings;
  std::string log;
  http::Endpoint listen, back, state, cloud;
  pid_t pid = 0;
  bool stopped = false;
  bool cut_store = false;
  bool cut_cloud = false;
  uint64_t scale_in_token = 0;  // last fencing token under which it held the scale-in role
};

// A forced handover and the time from the fault to the next holder.
struct Handover {
  Fault fault;
  Seconds vacancy;
};

// One run: starts the controllers, injects faults, records the history and checks it.
class Run {
 public:
  explicit Run(const Options& options) : options_(options), loop_(clock_), random_(options.seed) {
    history_.open(std::filesystem::path(options_.directory) / "history.csv");
    history_ << "time_s,event,node,token,name,changed\n";
    start_time_ = loop_.now();
    holder_key_ =
        options_.roles ? roles::role_key(roles::Role::scale_in) : std::string(wire::kLeaderKey);
    store_.on_change = [this](const std::string& key) { on_key_changed(key); };
    store_.on_removed = [this](const std::string& key) { on_key_removed(key); };
    cloud_.on_operation = [this](const ScriptedCloud::Operation& operation) {
      on_cloud_operation(operation);
    };
    cloud_.on_launched = [this](const ScriptedCloud::Machine& machine) { add_worker(machine); };
    cloud_.on_deleted = [this](const std::string& id) { workers_.at(id)->power_off(); };
    // Refuses connections, so that stop commands are sent in heartbeat responses only.
    cloud_.machine_address = "127.0.0.1:1";
    cloud_.list_lag = seconds(3);
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.cache_gb = 50;
    box.fetch_gb_per_s = 10;
    box.price = 1;
    box.spot_price = 0.4;
    box.boot = Seconds(1);
    box.zones = {"a"};
    cloud_.types = {box};
    cloud_.capacity["box/a/ordinary"] = 8;
    for (uint32_t i = 0; i < options_.controllers; ++i) add_controller(i);
    for (Controller& controller : controllers_) write_settings(controller);
  }

  int run() {
    for (Controller& controller : controllers_) start_process(controller);
    loop_.spawn(drive());
    loop_.run();
    for (Controller& controller : controllers_) kill_process(controller);
    loop_.destroy_coroutines();
    return report();
  }

 private:
  // --- Setup
  http::Endpoint serve(const std::function<Task<http::Reply>(http::Call)>& handler) {
    http::ServerOptions server_options;
    server_options.max_connections = 1000;
    const auto handle = [handler, this](http::Request request) -> Task<http::Response> {
      http::Call call;
      call.method = request.method;
      call.target = request.target;
      call.body = request.body;
      call.deadline = loop_.now() + seconds(70);
      call.max_body = size_t{64} * 1024 * 1024;
      const http::Reply reply = co_await handler(std::move(call));
      http::Response response;
      response.status = reply.outcome == http::Outcome::ok ? reply.status : 504;
      response.body = reply.body;
      co_return response;
    };
    servers_.push_back(
        std::make_unique<http::Server>(loop_, free_endpoint(), server_options, handle));
    loop_.spawn(servers_.back()->serve());
    return *http::Endpoint::parse("127.0.0.1:" + std::to_string(servers_.back()->port()));
  }

  // Endpoint for binding to any free port of the loopback address.
  static http::Endpoint free_endpoint() { return {htonl(INADDR_LOOPBACK), 0}; }

  // Returns a port that is free at this time, for a controller process that will listen on it.
  http::Endpoint find_free_endpoint() {
    const http::Listener listener(loop_, free_endpoint());
    return *http::Endpoint::parse("127.0.0.1:" + std::to_string(listener.port()));
  }

  void add_controller(uint32_t index) {
    Controller& controller = controllers_.emplace_back();
    controller.name = "node-" + std::to_string(index);
    const std::filesystem::path directory(options_.directory);
    controller.settings = directory / (controller.name + ".toml");
    controller.log = directory / (controller.name + ".log");
    controller.listen = find_free_endpoint();
    controller.back = find_free_endpoint();
    controller.state = serve([this, &controller](http::Call call) -> Task<http::Reply> {
      while (controller.cut_store) co_await loop_.sleep(Millis(50));
      co_return co_await store_.serve(std::move(call));
    });
    controller.cloud = serve([this, &controller](http::Call call) -> Task<http::Reply> {
      while (controller.cut_cloud) co_await loop_.sleep(Millis(50));
      co_return co_await cloud_.serve(std::move(call), controller.scale_in_token);
    });
  }

  void write_settings(const Controller& controller) {
    std::ofstream out(controller.settings);
    out << "node = \"" << controller.name << "\"\nzone = \"a\"\nlisten = \""
        << controller.listen.text() << "\"\nback = \"" << controller.back.text() << "\"\n";
    for (const Controller& other : controllers_) {
      if (&other == &controller) continue;
      out << "[[seeds]]\nnode = \"" << other.name << "\"\nzone = \"a\"\naddr = \""
          << other.back.text() << "\"\n";
    }
    out << "[services]\ncloud = \"" << controller.cloud.text() << "\"\nstate = \""
        << controller.state.text() << "\"\n[params]\nnodes = " << controllers_.size()
        << "\nzones = [\"a\"]\nskew_ms = 5.0\n"
        << "[[params.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 64.0\n"
        << "gpus = 0.0\ngpus_max = 0.0\n"
        << "[params.workers]\nreport_s = 0.5\nlease_s = " << kWorkerLease.count()
        << ".0\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = 39.0\n"
        << "[params.state]\nrps = " << kStoreLimits.rps
        << "\nwrite_rps = " << kStoreLimits.write_rps
        << "\nvalue_kb = " << static_cast<double>(kStoreLimits.value_bytes) / kBytesPerKb
        << "\ntxn_ops = " << kStoreLimits.txn_ops << "\n"
        << "[params.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n"
        << "[params.quota]\ncpu = 1.0\nmemory_mb = 64.0\nmax_connections = 500\n";
    std::ofstream operator_xml(std::filesystem::path(options_.directory) / "operator.xml");
    operator_xml << "<dunlinknot><leadership><ttl>" << kLeaderTtl << "</ttl></leadership>"
                 << "<fleet><idle-return>1</idle-return></fleet><duties><on>"
                 << (options_.roles ? 1 : 0) << "</on><ttl>" << kRolesTtl << "</ttl><renew-every>"
                 << kRolesRenew << "</renew-every></duties></dunlinknot>\n";
  }

  // --- Controller processes
  void start_process(Controller& controller) {
    const std::string operator_xml = std::filesystem::path(options_.directory) / "operator.xml";
    std::array<const char*, 7> arguments{
        options_.program.c_str(),    "serve", "--operator", operator_xml.c_str(), "--config",
        controller.settings.c_str(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, controller.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int failed = posix_spawn(&controller.pid, options_.program.c_str(), &actions, nullptr,
                                   const_cast<char**>(arguments.data()), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error("cannot start " + options_.program);
  }

  void kill_process(Controller& controller) {
    if (controller.pid == 0) return;
    kill(controller.pid, SIGKILL);
    waitpid(controller.pid, nullptr, 0);
    controller.pid = 0;
    controller.stopped = false;
  }

  // --- Workers
  void add_worker(const ScriptedCloud::Machine& machine) {
    auto worker =
        std::make_unique<ScriptedWorker>(loop_, machine.id, cloud_.types.front(), machine.zone,
                                         machine.spot, cloud_.machine_address, kWorkerLease);
    worker->specs = &specs_;
    worker->run_time = [this](const TaskRef&) { return Nanos(Millis(500 + random_() % 2500)); };
    worker->on_start = [this](const TaskRef& task) { on_task_started(task); };
    worker->on_end = [this](const ScriptedWorker::Running& r) {
      if (r.state != TaskState::fetching) running_.erase(r.task);
    };
    ScriptedWorker* worker_pointer = worker.get();
    workers_[machine.id] = std::move(worker);
    const auto last_index = std::make_shared<size_t>(0);
    loop_.spawn(worker_pointer->run(
        [this, last_index](http::Request request) {
          return send_heartbeat(std::move(request), last_index);
        },
        kHeartbeatInterval));
    loop_.spawn(worker_pointer->watch_lease());
  }

  Task<http::Response> send_heartbeat(http::Request request, std::shared_ptr<size_t> last_index) {
    http::Response out;
    out.status = 503;
    for (size_t step = 0; step < controllers_.size() && out.status != 200; ++step) {
      const size_t index = (*last_index + step) % controllers_.size();
      const http::Reply reply = co_await call(controllers_[index], request, Millis(600));
      if (reply.outcome != http::Outcome::ok) continue;
      out.status = reply.status;
      out.body = reply.body;
      if (reply.status == 200) *last_index = index;
    }
    co_return out;
  }

  Task<http::Reply> call(const Controller& controller, http::Request request, Nanos within) {
    http::Call call;
    call.to = controller.listen;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.deadline = loop_.now() + within;
    co_return co_await client_.exchange(std::move(call));
  }

  // --- Users
  Task<void> submit_one() {
    JobSpec spec = job("run-" + std::to_string(100'000 + submitted_++),
                       static_cast<uint32_t>(1 + random_() % 6));
    spec.image_gb = 0.1;
    specs_[spec.id] = spec;
    wire::Writer body;
    wire::write_job(body, spec);
    http::Request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = body.take();
    for (size_t tries = 0; tries < 60; ++tries) {
      const Controller& controller = controllers_[random_() % controllers_.size()];
      const http::Reply reply = co_await call(controller, request, seconds(2));
      if (reply.outcome == http::Outcome::ok && (reply.status == 200 || reply.status == 201)) {
        accepted_.push_back(spec.id);
        co_return;
      }
      co_await loop_.sleep(Millis(300));
    }
  }

  Task<void> submit_jobs() {
    while (!finishing_) {
      loop_.spawn(submit_one());
      co_await loop_.sleep(Millis(300 + random_() % 1500));
    }
  }

  // --- History and checks
  void write_event(std::string_view event, std::string_view node, uint64_t token,
                   std::string_view name, bool changed) {
    history_ << to_seconds(loop_.now() - start_time_).count() << ',' << event << ',' << node << ','
             << token << ',' << name << ',' << (changed ? 1 : 0) << '\n';
  }
  void report_violation(const std::string& description) {
    violations_.push_back(description);
    write_event("violation", "", 0, description, false);
  }

  // Returns the current holder of the scale-in role and its fencing token; without singleton roles,
  // the leader and its epoch.
  std::optional<roles::RoleHolderRecord> current_holder() const {
    const auto entry = store_.data.find(holder_key_);
    if (entry == store_.data.end()) return std::nullopt;
    const auto document = wire::Document::parse(entry->second.value);
    if (!options_.roles) {
      const auto leader = wire::read_leader(document->root());
      return roles::RoleHolderRecord{leader->node, leader->epoch};
    }
    return std::get<roles::RoleHolderRecord>(roles::read_holder(document->root()));
  }

  uint64_t current_token() const {
    const auto record = current_holder();
    return record ? record->fencing_token : 0;
  }

  void on_key_changed(const std::string& key) {
    if (key == holder_key_) on_holder_changed();
    const bool intent = key.starts_with(roles::kIntentPrefix) && store_.data.contains(key);
    if (intent && stop_at_intent_) {
      Controller* holder = std::exchange(stop_at_intent_, nullptr);
      kill(holder->pid, SIGSTOP);
    }
  }

  void on_holder_changed() {
    const auto current = current_holder();
    if (!current) return write_event("vacant", "", 0, "", false);
    const roles::RoleHolderRecord& record = *current;
    for (Controller& controller : controllers_) {
      if (controller.name == record.node) controller.scale_in_token = record.fencing_token;
    }
    if (record.fencing_token != holder_token_)
      write_event("holder", record.node, record.fencing_token, "", false);
    holder_token_ = record.fencing_token;
  }

  void on_cloud_operation(const ScriptedCloud::Operation& operation) {
    const bool launch = !operation.request.empty();
    const std::string& name = launch ? operation.request : operation.machines.front();
    const std::string key = launch ? roles::scale_out_key(name) : roles::scale_in_key(name);
    const bool open = store_.data.contains(key);
    const bool fenced = operation.sender_token != current_token();
    write_event(launch ? "rent" : "return", node_of(operation.sender_token), operation.sender_token,
                name, operation.changed);
    ++cloud_operations_;
    if (!operation.changed) {
      if (fenced) ++fenced_without_effect_;
      return;
    }
    ++effective_operations_;
    if (!open && options_.roles)
      report_violation("cloud operation without a recorded intent: " + key);
    if (fenced && open) ++fenced_with_effect_;
    if (!launch) check_scale_in(name);
  }

  std::string node_of(uint64_t token) const {
    for (const Controller& controller : controllers_) {
      if (controller.scale_in_token == token) return controller.name;
    }
    return "";
  }

  void check_scale_in(const std::string& machine) {
    const ScriptedWorker& worker = *workers_.at(machine);
    for (const auto& [key, task] : worker.tasks) {
      if (task.state == TaskState::exited) continue;
      report_violation("machine " + machine + " was terminated while it had the unfinished task " +
                       key.first.text());
    }
  }

  void on_key_removed(const std::string& key) {
    const auto exists = [&](std::string_view machine) {
      const auto found = cloud_.machines.find(std::string(machine));
      return found != cloud_.machines.end() && !found->second.removed;
    };
    if (key.starts_with(wire::kFinalPrefix))
      report_violation("final record of a job was deleted: " + key);
    if (const auto machine = roles::machine_of_scale_in_key(key);
        !machine.empty() && exists(machine)) {
      report_violation("scale-in intent was deleted before its machine: " + key);
    }
  }

  void on_task_started(const TaskRef& task) {
    if (!running_.insert(task).second)
      report_violation("task was started while it was already running: " + task.text());
  }

  // --- Fault injection
  Controller* holder() {
    const uint64_t token = current_token();
    for (Controller& controller : controllers_) {
      if (token != 0 && controller.scale_in_token == token && controller.pid != 0 &&
          !controller.stopped)
        return &controller;
    }
    return nullptr;
  }

  Task<bool> wait_for(std::function<bool()> condition, Nanos timeout) {
    const Instant deadline = loop_.now() + timeout;
    while (!condition() && loop_.now() < deadline) co_await loop_.sleep(Millis(5));
    co_return condition();
  }

  // Ends a fault after a random delay. The next fault may start before that.
  Task<void> recover(Controller& controller, Fault fault) {
    co_await loop_.sleep(Millis(100 + random_() % 4000));
    if (fault == Fault::kill) {
      start_process(controller);
    } else if (controller.stopped) {
      kill(controller.pid, SIGCONT);
    }
    controller.stopped = controller.cut_store = controller.cut_cloud = false;
  }

  Task<void> inject_fault(Controller& controller, Fault fault) {
    switch (fault) {
      case Fault::kill:
        kill_process(controller);
        break;
      case Fault::stop:
        controller.stopped = true;
        kill(controller.pid, SIGSTOP);
        break;
      case Fault::stop_at_intent: {
        stop_at_intent_ = &controller;
        const bool stopped =
            co_await wait_for([&] { return stop_at_intent_ == nullptr; }, seconds(4));
        if (!stopped) kill(controller.pid, SIGSTOP);
        stop_at_intent_ = nullptr;
        controller.stopped = true;
        break;
      }
      case Fault::cut_store:
        controller.cut_store = true;
        break;
      case Fault::cut_cloud:
        controller.cut_cloud = true;
        break;
      case Fault::cut_both:
        controller.cut_store = controller.cut_cloud = true;
        break;
    }
  }

  Task<void> force_handover() {
    (void)co_await wait_for([this] { return holder() != nullptr; }, kHandoverTimeout);
    Controller* controller = holder();
    if (!controller) co_return;
    const auto fault = static_cast<Fault>(random_() % kFaultNames.size());
    const uint64_t before = holder_token_;
    co_await inject_fault(*controller, fault);
    write_event(kFaultNames[static_cast<size_t>(fault)], controller->name, before, "", false);
    const Instant fault_time = loop_.now();
    if (fault == Fault::cut_cloud) {
      // This fault alone causes no handover, so the holder is killed during its cloud operations.
      co_await loop_.sleep(Millis(200 + random_() % 1500));
      kill_process(*controller);
      loop_.spawn(recover(*controller, Fault::kill));
    } else {
      loop_.spawn(recover(*controller, fault));
    }
    const bool changed =
        co_await wait_for([&] { return holder_token_ != before; }, kHandoverTimeout);
    if (!changed) co_return;
    handovers_.push_back({fault, to_seconds(loop_.now() - fault_time)});
    if (handovers_.size() % 20 == 0) std::cout << handovers_.size() << " handovers\n" << std::flush;
    co_await loop_.sleep(Millis(random_() % 800));
  }

  void inject_cloud_faults() {
    cloud_.call_fault = [this](const http::Call& call) {
      if (call.method != "POST") return CallFault::none;
      cloud_.fault_delay = Millis(500 + random_() % (kMaxRequestDelay.count() - 500));
      switch (random_() % 6) {
        case 0:
          return CallFault::apply_late;
        case 1:
          return CallFault::lose_reply;
        default:
          return CallFault::none;
      }
    };
  }

  Task<void> drive() {
    loop_.spawn(submit_jobs());
    if (!options_.calm_cloud) inject_cloud_faults();
    while (handovers_.size() < options_.handovers) co_await force_handover();
    finishing_ = true;
    cloud_.call_fault = nullptr;
    if (!options_.calm_cloud) co_await loop_.sleep(kMaxRequestDelay);
    settled_ = co_await wait_for([this] { return all_settled(); }, kSettleTimeout);
    loop_.stop();
  }

  bool all_settled() const {
    const bool held = std::any_of(cloud_.machines.begin(), cloud_.machines.end(),
                                  [](const auto& entry) { return !entry.second.removed; });
    const bool open = std::any_of(accepted_.begin(), accepted_.end(), [this](const auto& id) {
      return !store_.data.contains(wire::final_key(id));
    });
    return !held && !open;
  }

  // --- Result
  static void print_vacancies(std::string_view label, std::vector<double> vacancies) {
    if (vacancies.empty()) return;
    std::sort(vacancies.begin(), vacancies.end());
    std::cout << "  " << label << ": " << vacancies.size() << ", without a holder median "
              << vacancies[vacancies.size() / 2] << " s, worst " << vacancies.back() << " s\n";
  }

  int report() {
    std::vector<double> all;
    std::cout << "handovers " << handovers_.size() << " in "
              << to_seconds(loop_.now() - start_time_).count() << " s\n";
    for (size_t fault = 0; fault < kFaultNames.size(); ++fault) {
      std::vector<double> vacancies;
      for (const Handover& handover : handovers_) {
        if (static_cast<size_t>(handover.fault) == fault)
          vacancies.push_back(handover.vacancy.count());
      }
      all.insert(all.end(), vacancies.begin(), vacancies.end());
      print_vacancies(kFaultNames[fault], vacancies);
    }
    print_vacancies("all", all);
    const auto held = std::count_if(cloud_.machines.begin(), cloud_.machines.end(),
                                    [](const auto& entry) { return !entry.second.removed; });
    std::cout << "cloud operations " << cloud_operations_ << ", with effect "
              << effective_operations_
              << "\nof fenced holders: with effect under an intent that is still open "
              << fenced_with_effect_ << ", without effect " << fenced_without_effect_
              << "\nmachines launched " << cloud_.machines.size() << ", held at the end " << held
              << "\njobs accepted " << accepted_.size()
              << ", all settled: " << (settled_ ? "yes" : "no") << "\nkey-value store requests "
              << store_.requests << "\nviolations " << violations_.size() << "\n";
    for (size_t i = 0; i < violations_.size() && i < 20; ++i) {
      std::cout << "  " << violations_[i] << "\n";
    }
    return violations_.empty() && settled_ ? 0 : 1;
  }

  Options options_;
  SystemClock clock_;
  EventLoop loop_;
  std::mt19937_64 random_;
  Instant start_time_{};
  std::ofstream history_;
  ScriptedStore store_{loop_, kStoreLimits};
  ScriptedCloud cloud_{loop_};
  http::Client client_{loop_, 4, seconds(10)};
  std::vector<std::unique_ptr<http::Server>> servers_;
  std::deque<Controller> controllers_;
  std::map<std::string, std::unique_ptr<ScriptedWorker>> workers_;
  std::map<std::string, JobSpec> specs_;
  std::set<TaskRef> running_;
  std::vector<std::string> accepted_;
  uint64_t submitted_ = 0;
  std::vector<Handover> handovers_;
  std::vector<std::string> violations_;
  Controller* stop_at_intent_ = nullptr;
  std::string holder_key_;
  uint64_t holder_token_ = 0;
  uint64_t cloud_operations_ = 0, effective_operations_ = 0, fenced_with_effect_ = 0,
           fenced_without_effect_ = 0;
  bool finishing_ = false;
  bool settled_ = false;
};

}  // namespace
}  // namespace dunlinknot::test

int main(int argc, char** argv) {
  try {
    dunlinknot::test::Options options;
    CLI::App app{"Forces handovers between real controllers on loopback and checks the history"};
    app.add_option("--program", options.program, "The controller's program");
    app.add_option("--directory", options.directory, "For settings, logs, history")->required();
    app.add_option("--controllers", options.controllers, "Number of controllers")
        ->check(CLI::Range(2, 9));
    app.add_option("--handovers", options.handovers, "Handovers to force");
    app.add_option("--seed", options.seed, "Seed of the random faults");
    app.add_flag("--calm-cloud", options.calm_cloud, "No late requests, no lost responses");
    app.add_flag("!--no-duties", options.roles, "Disable the roles; violations are expected");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_level(spdlog::level::err);
    std::filesystem::create_directories(options.directory);
    return dunlinknot::test::Run(options).run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "handover_run: %s\n", e.what());
    return 1;
  }
}
