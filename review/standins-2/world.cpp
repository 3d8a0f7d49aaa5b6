#include "world.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace review {

using wire::Document;
using wire::View;
using wire::Writer;

std::string format(const char* pattern, ...) {
  char text[2000];
  va_list arguments;
  va_start(arguments, pattern);
  std::vsnprintf(text, sizeof text, pattern, arguments);
  va_end(arguments);
  return text;
}

namespace {

const char* name_of(TaskState state) {
  switch (state) {
    case TaskState::fetching: return "fetching";
    case TaskState::waiting: return "gathering";
    case TaskState::running: return "running";
    case TaskState::saving: return "flushing";
    case TaskState::exited: return "ended";
  }
  return "?";
}

const char* name_of(ExitCause cause) {
  switch (cause) {
    case ExitCause::none: return "none";
    case ExitCause::done: return "done";
    case ExitCause::stopped: return "halted";
    case ExitCause::gang_task_ended: return "mates_gone";
    case ExitCause::gang_incomplete: return "incomplete";
    case ExitCause::error: return "error";
    case ExitCause::no_room: return "no_room";
    case ExitCause::already_present: return "in_use";
    case ExitCause::unknown: return "unknown";
  }
  return "?";
}

http::Response response(int status, std::string body = "") {
  http::Response out;
  out.status = status;
  out.body = std::move(body);
  return out;
}

}  // namespace

// --- World

World::World(Setup s, const std::string& record_path) : setup(std::move(s)) {
  char path[] = "/tmp/dunlinknot-review-XXXXXX";
  if (!mkdtemp(path)) throw std::runtime_error("no temporary folder");
  directory = path;
  record_file.open(record_path);
  began = loop.now();
  limits.rps = setup.rps;
  limits.write_rps = setup.write_rps;
  limits.value_bytes = static_cast<size_t>(setup.value_kb * 1024);
  limits.txn_ops = static_cast<size_t>(setup.txn_ops);
  store = std::make_unique<test::ScriptedStore>(loop, limits);
}

World::~World() {
  for (auto& controller : controllers) end(*controller, "the case is over");
  loop.destroy_coroutines();
  if (std::getenv("KEEP_LOGS")) {
    std::cerr << "logs: " << directory << "\n";
  } else {
    std::error_code error;
    std::filesystem::remove_all(directory, error);
  }
}

void World::record(const std::string& line) {
  const std::string text = format("%8.3f  ", elapsed()) + line;
  record_file << text << std::endl;
  if (std::getenv("VERBOSE")) std::cerr << text << "\n";
}

Task<void> World::finish_after(Task<void> scenario) {
  try {
    co_await scenario;
  } catch (const std::exception& error) {
    record(std::string("the case could not run: ") + error.what());
    result = 2;
  }
  loop.stop();
}

int World::run(Task<void> scenario) {
  loop.spawn(finish_after(std::move(scenario)));
  loop.run();
  record(format("result: %d (0: the rule held, 1: it was broken, 2: the case could not run)",
                result));
  return result;
}

http::Endpoint World::serve(std::function<Task<http::Response>(http::Request)> handler) {
  http::ServerOptions options;
  options.max_connections = 1000;
  servers.push_back(std::make_unique<http::Server>(
      loop, http::Endpoint{htonl(INADDR_LOOPBACK), 0}, options, std::move(handler)));
  loop.spawn(servers.back()->serve());
  return *http::Endpoint::parse("127.0.0.1:" + std::to_string(servers.back()->port()));
}

http::Endpoint World::free_endpoint() {
  const http::Listener listener(loop, http::Endpoint{htonl(INADDR_LOOPBACK), 0});
  return *http::Endpoint::parse("127.0.0.1:" + std::to_string(listener.port()));
}

void World::add_controllers() {
  for (int i = 0; i < setup.controllers; ++i) {
    controllers.push_back(std::make_unique<Controller>());
    Controller& controller = *controllers.back();
    controller.name = "dunlin-" + std::to_string(i);
    controller.settings = directory + "/" + controller.name + ".toml";
    controller.log = directory + "/" + controller.name + ".log";
    controller.listen = free_endpoint();
    controller.back = free_endpoint();
    controller.state = serve([this](http::Request request) -> Task<http::Response> {
      http::Call call;
      call.method = request.method;
      call.target = request.target;
      call.body = request.body;
      call.deadline = loop.now() + seconds(70);
      call.max_body = size_t{64} * 1024 * 1024;
      const http::Reply reply = co_await store->serve(std::move(call));
      co_return response(reply.outcome == http::Outcome::ok ? reply.status : 504, reply.body);
    });
    controller.cloud = serve([this](http::Request request) -> Task<http::Response> {
      co_return co_await cloud.serve(std::move(request));
    });
  }
  for (size_t i = 0; i < controllers.size(); ++i) {
    const Controller& controller = *controllers[i];
    const auto zone = [&](size_t index) { return setup.zones[index % setup.zones.size()]; };
    std::ofstream out(controller.settings);
    out << "node = \"" << controller.name << "\"\nzone = \"" << zone(i) << "\"\nlisten = \""
        << controller.listen.text() << "\"\nback = \"" << controller.back.text() << "\"\n";
    for (size_t j = 0; j < controllers.size(); ++j) {
      if (j == i) continue;
      out << "[[seeds]]\nnode = \"" << controllers[j]->name << "\"\nzone = \"" << zone(j)
          << "\"\naddr = \"" << controllers[j]->back.text() << "\"\n";
    }
    out << "[services]\ncloud = \"" << controller.cloud.text() << "\"\nstate = \""
        << controller.state.text() << "\"\n[params]\nnodes = " << controllers.size()
        << "\nzones = [";
    for (size_t z = 0; z < setup.zones.size(); ++z)
      out << (z ? ", " : "") << "\"" << setup.zones[z] << "\"";
    out << "]\nskew_ms = 5.0\n" << setup.teams << setup.objectives;
    out << format(
        "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = "
        "%.1f\ncancel_s = %.1f\n",
        setup.report_s, setup.lease_s, setup.gang_wait_s, setup.gang_peer_s, setup.cancel_s);
    out << format(
        "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n"
        "[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n"
        "[params.quota]\ncpu = %.2f\nmemory_mb = %.1f\nmax_connections = %d\n",
        setup.rps, setup.write_rps, setup.value_kb, setup.txn_ops, setup.cloud_rps,
        setup.list_lag_s, setup.cpu, setup.memory_mb, setup.max_connections);
  }
}

void World::start(Controller& controller) {
  record("controller " + controller.name + " is started");
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int fd = open(controller.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDERR_FILENO);
    dup2(fd, STDOUT_FILENO);
    execl("target/dunlinknot", "target/dunlinknot", "serve", "--config",
          controller.settings.c_str(), nullptr);
    _exit(127);
  }
  controller.pid = pid;
}

void World::end(Controller& controller, const char* why) {
  if (controller.pid == 0) return;
  kill(controller.pid, SIGKILL);
  waitpid(controller.pid, nullptr, 0);
  controller.pid = 0;
  record("controller " + controller.name + " is killed: " + why);
}

Task<http::Reply> World::call(http::Endpoint to, std::string method, std::string target,
                              std::string body, Nanos within) {
  http::Call call;
  call.to = to;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = loop.now() + within;
  co_return co_await client.exchange(std::move(call));
}

Task<bool> World::all_ready(Nanos within) {
  const Instant deadline = loop.now() + within;
  while (loop.now() < deadline) {
    size_t ready = 0;
    for (auto& controller : controllers) {
      const http::Reply reply = co_await call(controller->listen, "GET", "/ready", "", seconds(1));
      if (reply.outcome == http::Outcome::ok && reply.status == 200) ++ready;
    }
    if (ready == controllers.size() && leader()) co_return true;
    co_await loop.sleep(Millis(200));
  }
  co_return false;
}

std::optional<std::string> World::leader() const {
  const auto entry = store->data.find("leader");
  if (entry == store->data.end()) return std::nullopt;
  const auto document = Document::parse(entry->second.value);
  const auto node = document->root()["node"].text();
  if (!node) return std::nullopt;
  return std::string(*node);
}

size_t World::index_of(const std::string& name) const {
  for (size_t i = 0; i < controllers.size(); ++i) {
    if (controllers[i]->name == name) return i;
  }
  throw std::runtime_error("no controller " + name);
}

Controller& World::controller(const std::string& name) {
  return *controllers[index_of(name)];
}

namespace {
Answer read_answer(const http::Reply& reply) {
  Answer answer;
  if (reply.outcome != http::Outcome::ok) return answer;
  answer.status = reply.status;
  const auto document = Document::parse(reply.body);
  if (!document) return answer;
  answer.standing = std::string(document->root()["standing"].text().value_or(""));
  answer.done = document->root()["done"].count().value_or(0);
  answer.running = document->root()["running"].count().value_or(0);
  return answer;
}
}  // namespace

Task<Answer> World::submit(size_t node, const JobSpec& spec, double run_seconds) {
  specs[spec.id] = spec;
  run_s[spec.id] = run_seconds;
  Writer writer;
  wire::write_job(writer, spec);
  const http::Reply reply =
      co_await call(controllers[node]->listen, "POST", "/v1/jobs", writer.take(), seconds(5));
  const Answer answer = read_answer(reply);
  record(format("user: submission of %s (%u tasks) to %s: %d %s", spec.id.c_str(), spec.tasks,
                controllers[node]->name.c_str(), answer.status, answer.standing.c_str()));
  co_return answer;
}

Task<bool> World::accepted(const JobSpec& spec, double run_seconds) {
  const Instant give_up = loop.now() + seconds(60);
  for (size_t node = 0; loop.now() < give_up; ++node) {
    const Answer answer = co_await submit(node % controllers.size(), spec, run_seconds);
    if (answer.status == 200 || answer.status == 201) co_return true;
    if (answer.status == 400 || answer.status == 422) co_return false;
    co_await loop.sleep(seconds(1));
  }
  co_return false;
}

Task<Answer> World::poll(size_t node, const std::string& id) {
  const http::Reply reply =
      co_await call(controllers[node]->listen, "GET", "/v1/jobs/" + id, "", seconds(2));
  const Answer answer = read_answer(reply);
  record(format("user: poll of %s at %s: %d %s, done %llu, running %llu", id.c_str(),
                controllers[node]->name.c_str(), answer.status, answer.standing.c_str(),
                static_cast<unsigned long long>(answer.done),
                static_cast<unsigned long long>(answer.running)));
  co_return answer;
}

// --- Cloud

CloudMachine& Cloud::add(const std::string& type, const std::string& zone, bool spot) {
  const std::string id = format("vm-%06u", next_id++);
  CloudMachine& machine = machines[id];
  machine = CloudMachine{id, type, zone, spot, world.loop.now(), {}, {}};
  const MachineType* found = nullptr;
  for (const MachineType& candidate : types) {
    if (candidate.name == type) found = &candidate;
  }
  const double boot = boot_s.contains(type) ? boot_s[type] : found->boot.count();
  world.loop.spawn([](World& w, std::string name, MachineType machine_type, std::string in,
                      bool is_spot, double seconds_to_boot) -> Task<void> {
    co_await w.loop.sleep(to_nanos(Seconds(seconds_to_boot)));
    CloudMachine& booted = w.cloud.machines[name];
    if (booted.gone) co_return;
    booted.up = w.loop.now();
    w.record("cloud: machine " + name + " (" + machine_type.name + (is_spot ? ", spot" : "") +
             ") is up");
    auto worker = std::make_unique<Worker>(w, name, machine_type, in, is_spot);
    Worker& added = *worker;
    w.workers[name] = std::move(worker);
    if (w.on_worker) w.on_worker(added);
    w.loop.spawn(added.beats());
    w.loop.spawn(added.clockwork());
  }(world, id, *found, zone, spot, boot));
  return machine;
}

void Cloud::take(const std::string& id, const char* why) {
  const auto found = machines.find(id);
  if (found == machines.end() || found->second.gone) return;
  CloudMachine& machine = found->second;
  machine.gone = world.loop.now();
  ++capacity[pool(machine.type, machine.zone, machine.spot)];
  world.record("cloud: machine " + id + " is gone: " + why);
  if (const auto worker = world.workers.find(id); worker != world.workers.end())
    worker->second->power_off(why);
}

Task<http::Response> Cloud::serve(http::Request request) {
  co_await world.loop.sleep(Millis(250));
  if (world.cloud_down) co_return response(503, wire::write_error("trouble"));
  if (request.target == "/catalog") co_return response(200, wire::write_catalog(types));
  if (request.target == "/rentals" && request.method == "POST") {
    const auto document = Document::parse(request.body);
    const View root = document->root();
    const std::string hire(*root["hire"].text());
    const std::string type(*root["rig"].text()), zone(*root["yard"].text());
    const bool spot = *root["loaners"].flag();
    const int count = static_cast<int>(*root["count"].count());
    ++rentals;
    if (!hires.contains(hire)) {
      int& available = capacity[pool(type, zone, spot)];
      const int given = std::min(available, count);
      world.record(format("cloud: rental %s of %d x %s in %s%s: %s", hire.c_str(), count,
                          type.c_str(), zone.c_str(), spot ? ", spot" : "",
                          given > 0 ? format("%d rented", given).c_str() : "503 no capacity"));
      if (given <= 0) co_return response(503, wire::write_error("no capacity"));
      available -= given;
      for (int i = 0; i < given; ++i) hires[hire].push_back(add(type, zone, spot).id);
    }
    Writer writer;
    writer.map(1).key("hosts").list(hires[hire].size());
    for (const std::string& id : hires[hire]) writer.text(id);
    co_return response(200, writer.take());
  }
  if (request.target == "/rentals/delete") {
    const auto document = Document::parse(request.body);
    const View hosts = document->root()["hosts"];
    for (size_t i = 0; i < hosts.size(); ++i)
      take(std::string(*hosts.at(i).text()), "the controllers returned it");
    co_return response(200, wire::write_error(""));
  }
  // The list, as it was `list_lag_s` ago.
  const Instant as_of = world.loop.now() - to_nanos(Seconds(world.setup.list_lag_s));
  const std::string since = test::query_value(request.target, "since");
  std::vector<const CloudMachine*> listed;
  for (const auto& [id, machine] : machines) {
    if (id <= since || machine.rented > as_of || (machine.gone && *machine.gone <= as_of)) continue;
    listed.push_back(&machine);
  }
  Writer writer;
  writer.map(2).key("hosts").list(listed.size());
  for (const CloudMachine* machine : listed) {
    const auto worker = world.workers.find(machine->id);
    const std::string address = worker == world.workers.end() ? "" : worker->second->address;
    const bool up = machine->up && *machine->up <= as_of;
    writer.map(7).key("id").text(machine->id).key("address").text(address);
    writer.key("rig").text(machine->type).key("yard").text(machine->zone);
    writer.key("loaners").flag(machine->spot).key("standing").text(up ? "running" : "starting");
    writer.key("heldS").amount(to_seconds(as_of - machine->rented).count());
  }
  writer.key("more").flag(false);
  co_return response(200, writer.take());
}

// --- Worker

Worker::Worker(World& w, std::string id_, MachineType type_, std::string zone_, bool spot_)
    : world(w), id(std::move(id_)), type(std::move(type_)), zone(std::move(zone_)), spot(spot_) {
  node = world.random() % world.controllers.size();
  last_answered_sent = world.loop.now();
  http::ServerOptions options;
  options.max_connections = 64;
  server = std::make_unique<http::Server>(
      world.loop, http::Endpoint{htonl(INADDR_LOOPBACK), 0}, options,
      [this](http::Request request) -> Task<http::Response> {
        // A machine without power gives no answer.
        while (!on) co_await world.loop.sleep(seconds(1));
        co_return direct(request);
      });
  address = "127.0.0.1:" + std::to_string(server->port());
  world.loop.spawn(server->serve());
}

std::string Worker::report() {
  Writer writer;
  writer.map(10).key("host").text(id).key("address").text(address).key("rig").text(type.name);
  writer.key("yard").text(zone).key("loaners").flag(spot).key("shift").count(shift);
  writer.key("tally").count(++tally).key("baton").count(baton).key("recallS");
  writer.null();  // no notice
  writer.key("pieces").list(tasks.size());
  for (const auto& [key, task] : tasks) {
    const bool exited = task.state == TaskState::exited;
    writer.map(exited ? 5 : 3).key("piece").text(task.task.text()).key("try").count(task.attempt);
    writer.key("standing").text(name_of(task.state));
    if (exited) writer.key("cause").text(name_of(task.cause)).key("stored").flag(task.saved);
  }
  return writer.take();
}

void Worker::end(WorkerTask& task, ExitCause cause, bool saved) {
  task.state = TaskState::exited;
  task.cause = cause;
  task.saved = saved;
  changed = true;
  const JobSpec& spec = world.specs[task.task.job];
  if (spec.gang) world.gathered[{task.task.job, task.attempt}].erase(task.task.index);
  world.record(format("worker %s: task %s, try %llu, ended: %s%s", id.c_str(),
                      task.task.text().c_str(), static_cast<unsigned long long>(task.attempt),
                      name_of(cause), saved ? ", stored" : ""));
}

void Worker::execute(View orders) {
  for (size_t i = 0; i < orders.size(); ++i) {
    const View order = orders.at(i);
    const TaskRef task = *TaskRef::parse(*order["piece"].text());
    const uint64_t attempt = *order["try"].count();
    const std::string verb(*order["verb"].text());
    const auto key = std::pair(task, attempt);
    const auto found = tasks.find(key);
    if (verb == "run") {
      if (found != tasks.end()) continue;
      WorkerTask added{task, attempt, TaskState::fetching, ExitCause::none, false, {}, {}, 0};
      const auto spec = world.specs.find(task.job);
      world.record(format("worker %s: run %s, try %llu", id.c_str(), task.text().c_str(),
                          static_cast<unsigned long long>(attempt)));
      changed = true;
      Resources used;
      bool present = false;
      for (const auto& [other_key, other] : tasks) {
        if (other.state == TaskState::exited) continue;
        used += world.specs[other.task.job].need;
        present |= other.task == task;
      }
      ExitCause refusal = ExitCause::none;
      if (spec == world.specs.end()) {
        refusal = ExitCause::unknown;
      } else if (present) {
        refusal = ExitCause::already_present;
      } else if (!(used + spec->second.need).fits_in(type.size)) {
        refusal = ExitCause::no_room;
      }
      added.since = world.loop.now();
      if (refusal == ExitCause::none) {
        added.until = world.loop.now() +
                      to_nanos(Seconds(spec->second.image_gb / std::max(0.01, type.fetch_gb_per_s)));
        added.run_left = world.run_s[task.job];
      }
      WorkerTask& entry = tasks[key] = added;
      if (refusal != ExitCause::none) end(entry, refusal);
    } else if (verb == "stop") {
      if (found == tasks.end() || found->second.state == TaskState::exited) continue;
      WorkerTask& entry = found->second;
      const double grace = order["windDownS"].amount().value_or(0);
      const JobSpec& spec = world.specs[task.job];
      const bool saves = spec.checkpoint_interval > Seconds(0) &&
                         grace >= spec.checkpoint_duration.count() && grace > 0;
      world.record(format("worker %s: stop %s, try %llu, windDownS %.1f (it is %s)", id.c_str(),
                          task.text().c_str(), static_cast<unsigned long long>(attempt), grace,
                          name_of(entry.state)));
      if (entry.state == TaskState::running && saves) {
        entry.state = TaskState::saving;
        entry.until = world.loop.now() + to_nanos(spec.checkpoint_duration);
        changed = true;
      } else if (entry.state != TaskState::saving || grace <= 0) {
        end(entry, ExitCause::stopped);
      }
    } else if (verb == "forget") {
      if (found != tasks.end() && found->second.state == TaskState::exited) tasks.erase(found);
    }
  }
}

void Worker::lose_lease() {
  world.record(format("worker %s: its lease is over, %zu tasks killed", id.c_str(), tasks.size()));
  drop_tasks();
  ++shift;
  last_answered_sent = world.loop.now();
  changed = true;
}

void Worker::power_off(const char* why) {
  if (!on) return;
  on = false;
  world.record(format("worker %s: no power any more: %s", id.c_str(), why));
  drop_tasks();
}

void Worker::drop_tasks() {
  for (auto& [key, task] : tasks) {
    if (task.state == TaskState::exited) continue;
    if (world.specs[task.task.job].gang)
      world.gathered[{task.task.job, task.attempt}].erase(task.task.index);
  }
  tasks.clear();
}

http::Response Worker::direct(const http::Request& request) {
  if (request.target == "/inspect") return response(200, report());
  const auto document = Document::parse(request.body);
  if (!document) return response(400);
  const auto token = document->root()["baton"].count();
  const auto session = document->root()["shift"].count();
  if (!token || !session) return response(400);
  if (*token < baton || *session != shift) return response(409, report());
  baton = *token;
  execute(document->root()["orders"]);
  return response(200, report());
}

// The states of the tasks, the lease and the end of the machine.
Task<void> Worker::clockwork() {
  while (on) {
    co_await world.loop.sleep(Millis(20));
    if (!on) co_return;
    const Instant now = world.loop.now();
    if (now - last_answered_sent > to_nanos(Seconds(world.setup.lease_s))) lose_lease();
    for (auto& [key, task] : tasks) {
      const JobSpec& spec = world.specs[task.task.job];
      auto& mates = world.gathered[{task.task.job, task.attempt}];
      if (task.state == TaskState::fetching && now >= task.until) {
        task.since = now;
        changed = true;
        if (spec.gang) {
          task.state = TaskState::waiting;
          mates.insert(task.task.index);
        } else {
          task.state = TaskState::running;
        }
        world.record(format("worker %s: task %s, try %llu, %s", id.c_str(),
                            task.task.text().c_str(),
                            static_cast<unsigned long long>(task.attempt), name_of(task.state)));
        task.until = now + to_nanos(Seconds(sick ? std::min(1.0, task.run_left) : task.run_left));
      }
      if (task.state == TaskState::waiting) {
        if (mates.size() == spec.tasks) {
          task.state = TaskState::running;
          task.since = now;
          task.until = now + to_nanos(Seconds(sick ? std::min(1.0, task.run_left) : task.run_left));
          changed = true;
          world.record(format("worker %s: task %s, try %llu, running", id.c_str(),
                              task.task.text().c_str(),
                              static_cast<unsigned long long>(task.attempt)));
        } else if (now - task.since > to_nanos(Seconds(world.setup.gang_wait_s))) {
          end(task, ExitCause::gang_incomplete);
        }
      } else if (task.state == TaskState::running) {
        if (now >= task.until) {
          end(task, sick ? ExitCause::error : ExitCause::done);
          if (spec.gang && !sick) mates.insert(task.task.index);  // the mates complete too
        } else if (spec.gang && mates.size() < spec.tasks &&
                   now - task.since > to_nanos(Seconds(world.setup.gang_peer_s))) {
          end(task, ExitCause::gang_task_ended);
        }
      } else if (task.state == TaskState::saving && now >= task.until) {
        end(task, ExitCause::stopped, true);
      }
    }
  }
}

Task<void> Worker::beats() {
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  next_beat = world.loop.now();
  while (on) {
    // A report is due at its time, or half a second after the last one if something changed.
    const Instant now = world.loop.now();
    const bool due = now >= *next_beat || (changed && now - last_sent >= Millis(500));
    if (!due) {
      co_await world.loop.sleep(Millis(10));
      continue;
    }
    if (now - last_answered_sent > to_nanos(Seconds(world.setup.lease_s))) lose_lease();
    changed = false;
    last_sent = now;
    next_beat = now + to_nanos(Seconds(world.setup.report_s * jitter(world.random)));
    const uint64_t session = shift;
    const Instant sent = now;
    const http::Reply reply =
        co_await world.call(world.controllers[node]->listen, "POST", "/agent/beat", report(),
                            seconds(4));
    if (!on) co_return;
    const size_t nodes = world.controllers.size();
    if (reply.outcome == http::Outcome::ok && reply.status == 200) {
      const auto document = Document::parse(reply.body);
      const auto token = document ? document->root()["baton"].count() : std::nullopt;
      if (token && *token >= baton && session == shift) {
        if (*token > baton) changed = true;
        baton = *token;
        last_answered_sent = sent;
        execute(document->root()["orders"]);
      }
      continue;
    }
    if (reply.outcome == http::Outcome::ok && reply.status == 421) {
      const auto document = Document::parse(reply.body);
      const auto foreman = document ? document->root()["foreman"].text() : std::nullopt;
      bool known = false;
      for (size_t i = 0; foreman && i < nodes; ++i) {
        if (world.controllers[i]->name == *foreman && i != node) {
          node = i;
          known = true;
          break;
        }
      }
      if (known) {
        next_beat = world.loop.now();
        continue;
      }
    }
    node = (node + 1) % nodes;
    co_await world.loop.sleep(seconds(1));
    next_beat = world.loop.now();
  }
}

}  // namespace review
