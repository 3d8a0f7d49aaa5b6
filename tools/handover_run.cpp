// Forces handovers of the singleton roles between real controller processes, against a cloud, a
// key-value store, workers and users that this process plays on loopback. Writes the history of all
// acts, checks it and prints counts.
//
// Controllers are stopped and continued by signal, killed and restarted, and cut from the state
// service, the cloud or both. Requests to the cloud are executed late, or their answers lost.
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
  std::string directory;  // for settings, logs and the history
  uint32_t controllers = 3;
  uint32_t handovers = 300;
  uint32_t seed = 1;
  bool calm_cloud = false;  // no late requests and no lost answers: only events are waited for
  bool roles = true;        // off: shows that the checks find something
};

enum class Fault : uint8_t { kill, stop, stop_at_act, cut_state, cut_cloud, cut_both };
constexpr std::array<std::string_view, 6> kFaultNames{
    "killed", "stopped", "stopped at an act", "cut from state", "cut from cloud", "cut from both"};

constexpr std::string_view kLeaderTtl = "1";
constexpr std::string_view kRolesTtl = "1.5";
constexpr std::string_view kRolesRenew = "0.4";
constexpr Millis kWorkerPace{500};
constexpr auto kWorkerLease = seconds(14);
constexpr auto kGiveUp = seconds(15);     // on a fault that brings no handover
constexpr Millis kLatestRequest{15'500};  // how late a request to the cloud may be executed
constexpr auto kSettleTime = seconds(90);

// One controller process and the ways to trouble it.
struct Controller {
  std::string name;
  std::string settings;
  std::string log;
  http::Endpoint listen, back, state, cloud;
  pid_t pid = 0;
  bool stopped = false;
  bool cut_state = false;
  bool cut_cloud = false;
  uint64_t scale_in_token = 0;  // the last one under which it held the role
};

struct Handover {
  Fault fault;
  Seconds gap;
};

class Run {
 public:
  explicit Run(const Options& options) : options_(options), loop_(clock_), random_(options.seed) {
    history_.open(std::filesystem::path(options_.directory) / "history.csv");
    history_ << "time_s,event,node,token,name,changed\n";
    began_ = loop_.now();
    holder_key_ =
        options_.roles ? roles::role_key(roles::Role::scale_in) : std::string(wire::kLeaderKey);
    state_.on_change = [this](const std::string& key) { apply_change(key); };
    state_.on_removed = [this](const std::string& key) { apply_removed(key); };
    cloud_.on_operation = [this](const ScriptedCloud::Operation& act) { apply_act(act); };
    cloud_.on_launched = [this](const ScriptedCloud::Machine& machine) { add_worker(machine); };
    cloud_.on_deleted = [this](const std::string& id) { workers_.at(id)->power_off(); };
    cloud_.machine_address = "127.0.0.1:1";  // refuses: stops travel with the answers to reports
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
    for (Controller& controller : controllers_) start(controller);
    loop_.spawn(drive());
    loop_.run();
    for (Controller& controller : controllers_) end(controller);
    loop_.abandon();
    return report();
  }

 private:
  // --- set-up
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

  // Any free port of the loopback address.
  static http::Endpoint free_endpoint() { return {htonl(INADDR_LOOPBACK), 0}; }

  // A port that was free a moment ago, for a process that is to listen there.
  http::Endpoint reserve_endpoint() {
    const http::Listener listener(loop_, free_endpoint());
    return *http::Endpoint::parse("127.0.0.1:" + std::to_string(listener.port()));
  }

  void add_controller(uint32_t index) {
    Controller& c = controllers_.emplace_back();
    c.name = "node-" + std::to_string(index);
    const std::filesystem::path directory(options_.directory);
    c.settings = directory / (c.name + ".toml");
    c.log = directory / (c.name + ".log");
    c.listen = reserve_endpoint();
    c.back = reserve_endpoint();
    c.state = serve([this, &c](http::Call call) -> Task<http::Reply> {
      while (c.cut_state) co_await loop_.sleep(Millis(50));
      co_return co_await state_.serve(std::move(call));
    });
    c.cloud = serve([this, &c](http::Call call) -> Task<http::Reply> {
      while (c.cut_cloud) co_await loop_.sleep(Millis(50));
      co_return co_await cloud_.serve(std::move(call), c.scale_in_token);
    });
  }

  void write_settings(const Controller& own) {
    std::ofstream out(own.settings);
    out << "node = \"" << own.name << "\"\nzone = \"a\"\nlisten = \"" << own.listen.text()
        << "\"\nback = \"" << own.back.text() << "\"\n";
    for (const Controller& other : controllers_) {
      if (&other == &own) continue;
      out << "[[seeds]]\nnode = \"" << other.name << "\"\nzone = \"a\"\naddr = \""
          << other.back.text() << "\"\n";
    }
    out << "[services]\ncloud = \"" << own.cloud.text() << "\"\nstate = \"" << own.state.text()
        << "\"\n[params]\nnodes = " << controllers_.size() << "\nzones = [\"a\"]\nskew_ms = 5.0\n"
        << "[[params.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 64.0\n"
        << "gpus = 0.0\ngpus_max = 0.0\n"
        << "[params.workers]\nreport_s = 0.5\nlease_s = " << kWorkerLease.count()
        << ".0\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = 39.0\n"
        << "[params.state]\nrps = 1000.0\nwrite_rps = 1000.0\nvalue_kb = 8.0\ntxn_ops = 16\n"
        << "[params.cloud]\nrps = 20.0\nlist_lag_s = 3.0\n"
        << "[params.quota]\ncpu = 1.0\nmemory_mb = 64.0\nmax_connections = 500\n";
    std::ofstream op(std::filesystem::path(options_.directory) / "operator.xml");
    op << "<dunlinknot><leadership><ttl>" << kLeaderTtl << "</ttl></leadership>"
       << "<fleet><idle-return>1</idle-return></fleet><duties><on>" << (options_.roles ? 1 : 0)
       << "</on><ttl>" << kRolesTtl << "</ttl><renew-every>" << kRolesRenew
       << "</renew-every></duties></dunlinknot>\n";
  }

  // --- processes
  void start(Controller& c) {
    const std::string op = std::filesystem::path(options_.directory) / "operator.xml";
    std::array<const char*, 7> arguments{
        options_.program.c_str(), "serve", "--operator", op.c_str(), "--config",
        c.settings.c_str(),       nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, c.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int failed = posix_spawn(&c.pid, options_.program.c_str(), &actions, nullptr,
                                   const_cast<char**>(arguments.data()), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error("cannot start " + options_.program);
  }

  void end(Controller& c) {
    if (c.pid == 0) return;
    kill(c.pid, SIGKILL);
    waitpid(c.pid, nullptr, 0);
    c.pid = 0;
    c.stopped = false;
  }

  // --- machines
  void add_worker(const ScriptedCloud::Machine& machine) {
    auto worker =
        std::make_unique<ScriptedWorker>(loop_, machine.id, cloud_.types.front(), machine.zone,
                                         machine.spot, cloud_.machine_address, kWorkerLease);
    worker->specs = &specs_;
    worker->run_time = [this](const TaskRef&) { return Nanos(Millis(500 + random_() % 2500)); };
    worker->on_start = [this](const TaskRef& task) { apply_start(task); };
    worker->on_end = [this](const ScriptedWorker::Running& r) {
      if (r.state != TaskState::fetching) running_.erase(r.task);
    };
    ScriptedWorker* raw = worker.get();
    workers_[machine.id] = std::move(worker);
    const auto at = std::make_shared<size_t>(0);
    loop_.spawn(raw->run(
        [this, at](http::Request request) { return send_heartbeat(std::move(request), at); },
        kWorkerPace));
    loop_.spawn(raw->watch_lease());
  }

  Task<http::Response> send_heartbeat(http::Request request, std::shared_ptr<size_t> at) {
    http::Response out;
    out.status = 503;
    for (size_t k = 0; k < controllers_.size() && out.status != 200; ++k) {
      const size_t index = (*at + k) % controllers_.size();
      const http::Reply reply = co_await call(controllers_[index], request, Millis(600));
      if (reply.outcome != http::Outcome::ok) continue;
      out.status = reply.status;
      out.body = reply.body;
      if (reply.status == 200) *at = index;
    }
    co_return out;
  }

  Task<http::Reply> call(const Controller& c, http::Request request, Nanos within) {
    http::Call call;
    call.to = c.listen;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.deadline = loop_.now() + within;
    co_return co_await client_.exchange(std::move(call));
  }

  // --- users
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
      const Controller& c = controllers_[random_() % controllers_.size()];
      const http::Reply reply = co_await call(c, request, seconds(2));
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

  // --- the history
  void note(std::string_view event, std::string_view node, uint64_t token, std::string_view name,
            bool changed) {
    history_ << to_seconds(loop_.now() - began_).count() << ',' << event << ',' << node << ','
             << token << ',' << name << ',' << (changed ? 1 : 0) << '\n';
  }
  void violation(const std::string& what) {
    violations_.push_back(what);
    note("violation", "", 0, what, false);
  }

  // Who may act at present, and under which fencing token; without singleton roles the leader,
  // under its epoch.
  std::optional<roles::RoleHolderRecord> present_holder() const {
    const auto entry = state_.data.find(holder_key_);
    if (entry == state_.data.end()) return std::nullopt;
    const auto document = wire::Document::parse(entry->second.value);
    if (!options_.roles) {
      const auto leader = wire::read_leader(document->root());
      return roles::RoleHolderRecord{leader->node, leader->epoch};
    }
    return std::get<roles::RoleHolderRecord>(roles::read_holder(document->root()));
  }

  uint64_t present_token() const {
    const auto record = present_holder();
    return record ? record->fencing_token : 0;
  }

  void apply_change(const std::string& key) {
    if (key == holder_key_) apply_holder();
    const bool intent = key.starts_with(roles::kIntentPrefix) && state_.data.contains(key);
    if (intent && stop_at_intent_) {
      Controller* holder = std::exchange(stop_at_intent_, nullptr);
      kill(holder->pid, SIGSTOP);
    }
  }

  void apply_holder() {
    const auto present = present_holder();
    if (!present) return note("vacant", "", 0, "", false);
    const roles::RoleHolderRecord& record = *present;
    for (Controller& c : controllers_) {
      if (c.name == record.node) c.scale_in_token = record.fencing_token;
    }
    if (record.fencing_token != holder_token_)
      note("holder", record.node, record.fencing_token, "", false);
    holder_token_ = record.fencing_token;
  }

  void apply_act(const ScriptedCloud::Operation& act) {
    const bool launch = !act.request.empty();
    const std::string& name = launch ? act.request : act.machines.front();
    const std::string key = launch ? roles::scale_out_key(name) : roles::scale_in_key(name);
    const bool open = state_.data.contains(key);
    const bool fenced = act.sender_token != present_token();
    note(launch ? "rent" : "return", node_of(act.sender_token), act.sender_token, name,
         act.changed);
    ++acts_;
    if (!act.changed) {
      if (fenced) ++fenced_without_effect_;
      return;
    }
    ++changed_;
    if (!open && options_.roles) violation("an act that is not decided: " + key);
    if (fenced && open) ++fenced_repeats_;
    if (!launch) check_scale_in(name);
  }

  std::string node_of(uint64_t token) const {
    for (const Controller& c : controllers_) {
      if (c.scale_in_token == token) return c.name;
    }
    return "";
  }

  void check_scale_in(const std::string& machine) {
    const ScriptedWorker& worker = *workers_.at(machine);
    for (const auto& [key, task] : worker.tasks) {
      if (task.state == TaskState::exited) continue;
      violation("machine " + machine + " was returned with " + key.first.text());
    }
  }

  void apply_removed(const std::string& key) {
    const auto lives = [&](std::string_view machine) {
      const auto found = cloud_.machines.find(std::string(machine));
      return found != cloud_.machines.end() && !found->second.removed;
    };
    if (key.starts_with(wire::kFinalPrefix)) violation("a final answer was removed: " + key);
    if (const auto machine = roles::machine_of_scale_in_key(key);
        !machine.empty() && lives(machine)) {
      violation("an intent was removed before its machine was gone: " + key);
    }
  }

  void apply_start(const TaskRef& task) {
    if (!running_.insert(task).second) violation("runs twice: " + task.text());
  }

  // --- faults
  Controller* holder() {
    const uint64_t token = present_token();
    for (Controller& c : controllers_) {
      if (token != 0 && c.scale_in_token == token && c.pid != 0 && !c.stopped) return &c;
    }
    return nullptr;
  }

  Task<bool> wait_for(std::function<bool()> condition, Nanos most) {
    const Instant until = loop_.now() + most;
    while (!condition() && loop_.now() < until) co_await loop_.sleep(Millis(5));
    co_return condition();
  }

  // Ends a trouble after a while; the next one may begin before.
  Task<void> recover(Controller& c, Fault fault) {
    co_await loop_.sleep(Millis(100 + random_() % 4000));
    if (fault == Fault::kill) {
      start(c);
    } else if (c.stopped) {
      kill(c.pid, SIGCONT);
    }
    c.stopped = c.cut_state = c.cut_cloud = false;
  }

  Task<void> trouble(Controller& c, Fault fault) {
    switch (fault) {
      case Fault::kill:
        end(c);
        break;
      case Fault::stop:
        c.stopped = true;
        kill(c.pid, SIGSTOP);
        break;
      case Fault::stop_at_act: {
        stop_at_intent_ = &c;
        const bool met = co_await wait_for([&] { return stop_at_intent_ == nullptr; }, seconds(4));
        if (!met) kill(c.pid, SIGSTOP);
        stop_at_intent_ = nullptr;
        c.stopped = true;
        break;
      }
      case Fault::cut_state:
        c.cut_state = true;
        break;
      case Fault::cut_cloud:
        c.cut_cloud = true;
        break;
      case Fault::cut_both:
        c.cut_state = c.cut_cloud = true;
        break;
    }
  }

  Task<void> force_handover() {
    (void)co_await wait_for([this] { return holder() != nullptr; }, kGiveUp);
    Controller* c = holder();
    if (!c) co_return;
    const auto fault = static_cast<Fault>(random_() % kFaultNames.size());
    const uint64_t before = holder_token_;
    co_await trouble(*c, fault);
    note(kFaultNames[static_cast<size_t>(fault)], c->name, before, "", false);
    const Instant at = loop_.now();
    if (fault == Fault::cut_cloud) {
      // It brings no handover by itself; the holder ends amid its acts.
      co_await loop_.sleep(Millis(200 + random_() % 1500));
      end(*c);
      loop_.spawn(recover(*c, Fault::kill));
    } else {
      loop_.spawn(recover(*c, fault));
    }
    const bool changed = co_await wait_for([&] { return holder_token_ != before; }, kGiveUp);
    if (!changed) co_return;
    handovers_.push_back({fault, to_seconds(loop_.now() - at)});
    if (handovers_.size() % 20 == 0) std::cout << handovers_.size() << " handovers\n" << std::flush;
    co_await loop_.sleep(Millis(random_() % 800));
  }

  void trouble_the_cloud() {
    cloud_.call_fault = [this](const http::Call& call) {
      if (call.method != "POST") return CallFault::none;
      cloud_.fault_delay = Millis(500 + random_() % (kLatestRequest.count() - 500));
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
    if (!options_.calm_cloud) trouble_the_cloud();
    while (handovers_.size() < options_.handovers) co_await force_handover();
    finishing_ = true;
    cloud_.call_fault = nullptr;
    if (!options_.calm_cloud) co_await loop_.sleep(kLatestRequest);
    settled_ = co_await wait_for([this] { return all_settled(); }, kSettleTime);
    loop_.stop();
  }

  bool all_settled() const {
    const bool held = std::any_of(cloud_.machines.begin(), cloud_.machines.end(),
                                  [](const auto& entry) { return !entry.second.removed; });
    const bool open = std::any_of(accepted_.begin(), accepted_.end(), [this](const auto& id) {
      return !state_.data.contains(wire::final_key(id));
    });
    return !held && !open;
  }

  // --- the result
  static void print_gaps(std::string_view what, std::vector<double> gaps) {
    if (gaps.empty()) return;
    std::sort(gaps.begin(), gaps.end());
    std::cout << "  " << what << ": " << gaps.size() << ", without a holder median "
              << gaps[gaps.size() / 2] << " s, worst " << gaps.back() << " s\n";
  }

  int report() {
    std::vector<double> all;
    std::cout << "handovers " << handovers_.size() << " in "
              << to_seconds(loop_.now() - began_).count() << " s\n";
    for (size_t fault = 0; fault < kFaultNames.size(); ++fault) {
      std::vector<double> gaps;
      for (const Handover& h : handovers_) {
        if (static_cast<size_t>(h.fault) == fault) gaps.push_back(h.gap.count());
      }
      all.insert(all.end(), gaps.begin(), gaps.end());
      print_gaps(kFaultNames[fault], gaps);
    }
    print_gaps("all", all);
    const auto held = std::count_if(cloud_.machines.begin(), cloud_.machines.end(),
                                    [](const auto& entry) { return !entry.second.removed; });
    std::cout << "acts at the cloud " << acts_ << ", of them with effect " << changed_
              << "\nby fenced holders: of what is decided still, with effect " << fenced_repeats_
              << "; without effect " << fenced_without_effect_ << "\nmachines launched "
              << cloud_.machines.size() << ", held at the end " << held << "\njobs accepted "
              << accepted_.size() << ", all settled: " << (settled_ ? "yes" : "no")
              << "\nstate service requests " << state_.requests << "\nviolations "
              << violations_.size() << "\n";
    for (size_t i = 0; i < violations_.size() && i < 20; ++i) {
      std::cout << "  " << violations_[i] << "\n";
    }
    return violations_.empty() && settled_ ? 0 : 1;
  }

  Options options_;
  SystemClock clock_;
  EventLoop loop_;
  std::mt19937_64 random_;
  Instant began_{};
  std::ofstream history_;
  ScriptedStore state_{loop_};
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
  uint64_t acts_ = 0, changed_ = 0, fenced_repeats_ = 0, fenced_without_effect_ = 0;
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
    app.add_option("--controllers", options.controllers, "Processes")->check(CLI::Range(2, 9));
    app.add_option("--handovers", options.handovers, "Handovers to force");
    app.add_option("--seed", options.seed, "Of the faults that are drawn");
    app.add_flag("--calm-cloud", options.calm_cloud, "No late requests and no lost answers");
    app.add_flag("!--no-duties", options.roles, "Without duties: the checks have to find faults");
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
