#include "deployment.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <stdexcept>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::review {

using http::Outcome;
using http::Reply;
using http::Request;
using http::Response;

Task<Reply> User::call(std::string method, std::string target, std::string body, Nanos within) {
  http::Call call;
  call.to = node_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = loop_.now() + within;
  Reply reply = co_await client_.exchange(std::move(call));
  co_return reply;
}

std::string standing_of(const Reply& reply) {
  const auto document = wire::Document::parse(reply.body);
  if (!document) return "";
  return std::string(document->root()["standing"].text().value_or(""));
}

Deployment::Deployment(int argc, char** argv, Setup setup)
    : setup_(std::move(setup)),
      loop_(clock_),
      started_(loop_.now()),
      store_(loop_, setup_.limits),
      cloud_(loop_),
      worker_client_(loop_, 8, seconds(60)) {
  if (argc != 4) throw std::runtime_error("usage: PROGRAM FOLDER RECORD");
  program_ = argv[1];
  folder_ = argv[2];
  record_.open(argv[3]);
  if (!record_) throw std::runtime_error("cannot write the record");
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = !trouble || std::string(trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  cloud_.types = setup_.types;
  cloud_.list_lag = to_nanos(Seconds(setup_.list_lag_s));
  cloud_.on_launched = [this](const test::ScriptedCloud::Machine& machine) {
    note("cloud: rented " + machine.id + " (" + machine.type + ")");
    loop_.spawn(boot_worker(machine));
  };
  cloud_.on_deleted = [this](const std::string& id) {
    note("cloud: deleted " + id);
    if (const auto it = workers_.find(id); it != workers_.end()) it->second->power_off();
  };
  for (uint32_t i = 0; i < setup_.controllers; ++i) add_controller(i);
  for (const auto& controller : controllers_) write_settings(*controller);
  note(std::string("case with the disruption: ") + (trouble_ ? "yes" : "no"));
}

Deployment::~Deployment() {
  for (const auto& controller : controllers_) kill_process(*controller);
  loop_.destroy_coroutines();
}

void Deployment::note(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", elapsed());
  record_ << time << line << "\n" << std::flush;
}

Task<void> Deployment::finish(Task<int> drive) {
  try {
    result_ = co_await std::move(drive);
  } catch (const std::exception& error) {
    note(std::string("the case could not run: ") + error.what());
    result_ = kCouldNotRun;
  }
  loop_.stop();
}

int Deployment::run(Task<int> drive) {
  for (const auto& controller : controllers_) start(*controller);
  loop_.spawn(finish(std::move(drive)));
  loop_.run();
  for (const auto& controller : controllers_) kill_process(*controller);
  note("result: " + std::to_string(result_) +
       (result_ == kBroken ? " (rule broken)" : result_ == kHeld ? " (rule held)" : " (could not run)"));
  return result_;
}

http::Endpoint Deployment::serve(std::function<Task<Response>(Request)> handler) {
  http::ServerOptions options;
  options.max_connections = 2000;
  options.limits.body = size_t{256} * 1024;
  options.idle_timeout = seconds(300);
  servers_.push_back(std::make_unique<http::Server>(
      loop_, http::Endpoint{htonl(INADDR_LOOPBACK), 0}, options, std::move(handler)));
  loop_.spawn(servers_.back()->serve());
  return {htonl(INADDR_LOOPBACK), servers_.back()->port()};
}

// A free port for a controller, below the range from which the system chooses ports by itself, so
// that no connection takes it before the controller listens.
http::Endpoint Deployment::free_port() {
  static std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 100; ++tries) {
    const http::Endpoint at{htonl(INADDR_LOOPBACK),
                            std::uniform_int_distribution<uint16_t>(15'000, 30'000)(random)};
    try {
      const http::Listener listener(loop_, at);
      return at;
    } catch (const std::runtime_error&) {  // in use
    }
  }
  throw std::runtime_error("no free port");
}

void Deployment::add_controller(uint32_t index) {
  controllers_.push_back(std::make_unique<Controller>());
  Controller* controller = controllers_.back().get();
  controller->name = "dunlin-" + std::to_string(index);
  controller->settings = folder_ + "/" + controller->name + ".toml";
  controller->log = folder_ + "/" + controller->name + ".log";
  controller->listen = free_port();
  controller->back = free_port();
  controller->state = serve([this, controller](Request request) -> Task<Response> {
    while (controller->cut_state) co_await loop_.sleep(Millis(20));
    Response response = co_await store_.handle(std::move(request));
    co_return response;
  });
  controller->cloud = serve([this](Request request) -> Task<Response> {
    if (cloud_down) {
      Response trouble;
      trouble.status = 503;
      trouble.body = wire::write_error("trouble");
      co_return trouble;
    }
    http::Call call;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.deadline = loop_.now() + seconds(10);
    call.max_body = size_t{1024} * 1024;
    const Reply reply = co_await cloud_.serve(std::move(call));
    Response response;
    response.status = reply.outcome == Outcome::ok ? reply.status : 504;
    response.body = reply.body;
    co_return response;
  });
}

void Deployment::write_settings(const Controller& controller) {
  std::ofstream out(controller.settings);
  const auto index = static_cast<size_t>(controller.name.back() - '0');
  const auto zone_of = [&](size_t i) { return setup_.zones[i % setup_.zones.size()]; };
  out << std::fixed;
  out << "node = \"" << controller.name << "\"\nzone = \"" << zone_of(index) << "\"\nlisten = \""
      << controller.listen.text() << "\"\nback = \"" << controller.back.text() << "\"\n";
  for (size_t i = 0; i < controllers_.size(); ++i) {
    if (controllers_[i].get() == &controller) continue;
    out << "[[seeds]]\nnode = \"" << controllers_[i]->name << "\"\nzone = \"" << zone_of(i)
        << "\"\naddr = \"" << controllers_[i]->back.text() << "\"\n";
  }
  out << "[services]\ncloud = \"" << controller.cloud.text() << "\"\nstate = \""
      << controller.state.text() << "\"\n[params]\nnodes = " << controllers_.size() << "\nzones = [";
  for (size_t i = 0; i < setup_.zones.size(); ++i)
    out << (i > 0 ? ", " : "") << "\"" << setup_.zones[i] << "\"";
  out << "]\nskew_ms = 5.0\n"
      << setup_.teams << "[params.workers]\nreport_s = " << setup_.report_s
      << "\nlease_s = " << setup_.lease_s << "\ngang_wait_s = " << setup_.gang_wait_s
      << "\ngang_peer_s = " << setup_.gang_peer_s << "\ncancel_s = " << setup_.cancel_s << "\n";
  const auto limits = [&](const StoreLimits& l) {
    out << "rps = " << l.rps << "\nwrite_rps = " << l.write_rps
        << "\nvalue_kb = " << static_cast<double>(l.value_bytes) / 1024.0
        << "\ntxn_ops = " << l.txn_ops << "\n";
  };
  out << "[params.state]\n";
  limits(setup_.limits);
  if (setup_.next_limits) {
    out << "[params.state.next]\n";
    limits(*setup_.next_limits);
  }
  out << "[params.cloud]\nrps = " << setup_.cloud_rps << "\nlist_lag_s = " << setup_.list_lag_s
      << "\n[params.quota]\ncpu = " << setup_.cpu << "\nmemory_mb = " << setup_.memory_mb
      << "\nmax_connections = " << setup_.max_connections << "\n";
}

// The command of the deploy file. The process ends with this one.
void Deployment::start(Controller& controller) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot start a process");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int log = open(controller.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    setenv("LOG_LEVEL", "info", 1);
    execl(program_.c_str(), program_.c_str(), "serve", "--config", controller.settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  controller.pid = pid;
  note("process: started " + controller.name);
}

void Deployment::kill_process(Controller& controller) {
  if (controller.pid == 0) return;
  kill(controller.pid, SIGKILL);
  waitpid(controller.pid, nullptr, 0);
  controller.pid = 0;
  note("process: killed " + controller.name);
}

bool Deployment::ended(Controller& controller) {
  if (controller.pid == 0) return false;
  int status = 0;
  if (waitpid(controller.pid, &status, WNOHANG) != controller.pid) return false;
  controller.pid = 0;
  note("process: " + controller.name + " ended by itself");
  return true;
}

Controller* Deployment::leader() {
  const auto it = store_.data().find("leader");
  if (it == store_.data().end()) return nullptr;
  const auto document = wire::Document::parse(it->second.value);
  const auto record = wire::read_leader(document->root());
  if (!record) return nullptr;
  for (const auto& controller : controllers_) {
    if (controller->name == record->node) return controller.get();
  }
  return nullptr;
}

Task<bool> Deployment::wait_ready(Nanos timeout) {
  const Instant deadline = loop_.now() + timeout;
  for (const auto& controller : controllers_) {
    bool ready = false;
    while (!ready && loop_.now() < deadline) {
      const auto probe = user(*controller);
      const Reply reply = co_await probe->call("GET", "/ready", "", seconds(1));
      ready = reply.outcome == Outcome::ok && reply.status == 200;
      if (!ready) co_await loop_.sleep(Millis(200));
    }
    if (!ready) co_return false;
  }
  co_return leader() != nullptr;
}

std::string Deployment::describe(const JobSpec& spec) {
  specs_[spec.id] = spec;
  wire::Writer writer;
  wire::write_job(writer, spec);
  return writer.take();
}

Task<void> Deployment::boot_worker(test::ScriptedCloud::Machine machine) {
  Nanos boot = setup_.boot;
  if (boot_time) boot = boot_time(machine.id);
  co_await loop_.sleep(boot);
  const auto type = std::find_if(setup_.types.begin(), setup_.types.end(),
                                 [&](const MachineType& t) { return t.name == machine.type; });
  const std::string id = machine.id;
  const http::Endpoint address = serve([this, id](Request request) -> Task<Response> {
    http::Call call;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.deadline = loop_.now() + seconds(60);
    const Reply reply = co_await workers_.at(id)->serve_command(std::move(call));
    Response response;
    response.status = reply.outcome == Outcome::ok ? reply.status : 503;
    response.body = reply.body;
    co_return response;
  });
  auto worker = std::make_unique<test::ScriptedWorker>(loop_, id, *type, machine.zone, machine.spot,
                                                       address.text(),
                                                       to_nanos(Seconds(setup_.lease_s)));
  worker->specs = &specs_;
  worker->run_time = run_time;
  worker->fetch_time = fetch_time;
  worker->on_start = [this, id](const TaskRef& task) {
    note("worker " + id + ": task " + task.text() + " starts");
    if (on_start) on_start(id, task);
  };
  worker->on_end = [this, id](const test::ScriptedWorker::Running& running) {
    note("worker " + id + ": task " + running.task.text() + " ends, cause " +
         std::to_string(static_cast<int>(running.cause)));
    if (on_end) on_end(id, running);
  };
  test::ScriptedWorker* pointer = worker.get();
  workers_[id] = std::move(worker);
  note("worker " + id + ": up");
  if (on_machine_up) on_machine_up(id);
  const auto node = std::make_shared<size_t>(0);
  loop_.spawn(pointer->watch_lease());
  if (setup_.report_changes) {
    // The worker offers a report every 50 ms; only those that are due are sent.
    loop_.spawn(pointer->run(
        [this, id, node](Request request) { return report_if_due(id, std::move(request), node); },
        Millis(50)));
  } else {
    loop_.spawn(pointer->run(
        [this, node](Request request) { return report(std::move(request), node); },
        to_nanos(Seconds(setup_.report_s))));
  }
}

// A change is one of the tasks, of the spot notice or of the session.
Task<Response> Deployment::report_if_due(std::string machine, Request request,
                                         std::shared_ptr<size_t> node) {
  const test::ScriptedWorker& worker = *workers_.at(machine);
  std::string state = std::to_string(worker.incarnation) +
                      (worker.interruption_notice ? " notice" : "");
  for (const auto& [key, task] : worker.tasks)
    state += " " + key.first.text() + "#" + std::to_string(key.second) + ":" +
             std::to_string(static_cast<int>(task.state));
  LastReport& last = last_reports_[machine];
  const Nanos since = loop_.now() - last.sent;
  const bool due = since >= to_nanos(Seconds(setup_.report_s));
  const bool changed = state != last.state && since >= Millis(500);
  Response nothing;
  nothing.status = 503;
  if (!due && !changed) co_return nothing;
  last = {loop_.now(), std::move(state)};
  Response response = co_await report(std::move(request), node);
  co_return response;
}

// One report: at once to the node that a 421 names, otherwise to the next node 1 s later.
Task<Response> Deployment::report(Request request, std::shared_ptr<size_t> node) {
  Response result;
  result.status = 503;
  for (int hop = 0; hop < 2; ++hop) {
    http::Call call;
    call.to = controllers_[*node]->listen;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.deadline = loop_.now() + seconds(4);
    const Reply reply = co_await worker_client_.exchange(std::move(call));
    if (reply.outcome == Outcome::ok && reply.status == 200) {
      ++answered_reports;
      result.status = 200;
      result.body = reply.body;
      co_return result;
    }
    size_t named = *node;
    if (reply.outcome == Outcome::ok && reply.status == 421) {
      const auto document = wire::Document::parse(reply.body);
      const auto foreman = document ? document->root()["foreman"].text() : std::nullopt;
      for (size_t i = 0; foreman && i < controllers_.size(); ++i) {
        if (controllers_[i]->name == *foreman) named = i;
      }
    }
    if (named == *node) {
      *node = (*node + 1) % controllers_.size();
      co_await loop_.sleep(seconds(1));
      co_return result;
    }
    *node = named;
  }
  co_return result;
}

}  // namespace dunlinknot::review
