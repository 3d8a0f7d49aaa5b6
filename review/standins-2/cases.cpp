// The cases of the second review. Usage: cases NAME RECORD. TROUBLE=0 in the environment leaves out
// the disruption. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <signal.h>

#include <cstdlib>
#include <cstring>
#include <iostream>

#include "world.hpp"

namespace review {

namespace {

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::strcmp(value, "0") != 0;
}

constexpr const char* kPartsgridTeams = R"([[params.teams]]
name = "fitment"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0
[[params.teams]]
name = "pricing"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0
)";

constexpr const char* kCellarlineTeams = R"([[params.teams]]
name = "allocations"
cpus = 104.0
cpus_max = 256.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "cellar-ops"
cpus = 152.0
cpus_max = 424.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "imports"
cpus = 104.0
cpus_max = 216.0
gpus = 0.0
gpus_max = 0.0
)";

// The settings of the Partsgrid page.
Setup partsgrid() {
  Setup setup;
  setup.zones = {"burnaby", "kamloops", "nanaimo"};
  setup.teams = kPartsgridTeams;
  setup.report_s = 2.5;
  setup.gang_peer_s = 8;
  setup.rps = 200;
  setup.write_rps = 80;
  setup.value_kb = 16;
  setup.txn_ops = 16;
  setup.list_lag_s = 10;
  setup.cpu = 0.2;
  setup.memory_mb = 104;
  setup.max_connections = 1800;
  return setup;
}

// The settings of the Cellarline page.
Setup cellarline() {
  Setup setup;
  setup.teams = kCellarlineTeams;
  return setup;
}

MachineType yardbox() {
  return {"yardbox", {32, 0, 128}, 60, 1.0, 2.14, 0.77, Seconds(20),
          {"burnaby", "kamloops", "nanaimo"}};
}

MachineType vatbox() {
  return {"vatbox", {64, 0, 128}, 60, 1.0, 3.43, 1.15, Seconds(30), {"brisbane"}};
}

JobSpec job(const std::string& id, const std::string& job_class, const std::string& team,
            uint32_t tasks, double cpus, double memory_gb) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = job_class;
  spec.team = team;
  spec.tasks = tasks;
  spec.need = {cpus, 0, memory_gb};
  spec.image = "img-01";
  spec.image_gb = 1.0;
  spec.estimate = Seconds(10);
  return spec;
}

Task<void> until(World& world, std::function<bool()> condition, double seconds_at_most) {
  const Instant deadline = world.loop.now() + to_nanos(Seconds(seconds_at_most));
  while (!condition() && world.loop.now() < deadline) co_await world.loop.sleep(Millis(10));
}

Task<void> start_all(World& world) {
  world.add_controllers();
  for (auto& controller : world.controllers) world.start(*controller);
  const bool ready = co_await world.all_ready(seconds(20));
  if (!ready) throw std::runtime_error("the controllers did not become ready");
  world.record("all controllers are ready; " + *world.leader() + " leads");
}

// --- A gang, one of whose machines gets a spot notice while others have not been sent their `run`.

Task<void> gang_notice(World& world) {
  constexpr uint32_t kTasks = 8;
  Cloud& cloud = world.cloud;
  cloud.types = {yardbox()};
  cloud.capacity["yardbox/burnaby/spot"] = 12;
  // Machines do not come up at the same moment, so their reports are spread over the interval.
  for (uint32_t i = 0; i < kTasks; ++i) {
    cloud.boot_s["yardbox"] = 1 + 2.5 * i / kTasks;
    cloud.add("yardbox", "burnaby", true);
  }
  // The machine that is sent the gang's first `run` gets a notice with its next report.
  Worker* noticed = nullptr;
  world.on_worker = [&](Worker& worker) {
    worker.on_run = [&](const TaskRef&) {
      if (!noticed) noticed = &worker;
    };
    worker.before_beat = [&] {
      if (!trouble() || noticed != &worker || worker.taken_at) return;
      worker.taken_at = world.loop.now() + seconds(6);
      world.record("cloud: machine " + worker.id + " gets a spot notice of 6 s");
    };
  };
  co_await start_all(world);
  co_await until(world, [&] {
    size_t answered = 0;
    for (const auto& [id, worker] : world.workers) answered += worker->baton > 0 ? 1 : 0;
    return answered == kTasks;
  }, 12);
  co_await world.loop.sleep(seconds(3));
  JobSpec spec = job("run-000101", "fitment-gang", "fitment", kTasks, 20, 51);
  spec.gang = true;
  spec.one_zone = true;
  spec.spot = true;
  spec.priority = Priority::high;
  spec.checkpoint_interval = Seconds(30);
  spec.checkpoint_duration = Seconds(2);
  const bool taken = co_await world.accepted(spec, 8);
  if (!taken) throw std::runtime_error("the gang was not accepted");
  const Instant accepted_at = world.loop.now();
  // 25 s later the same user submits the like of it.
  JobSpec twin = spec;
  twin.id = "run-000102";
  Instant next_poll = world.loop.now() + seconds(5);
  bool submitted = false;
  Answer gang, like;
  while (world.elapsed() < 112) {
    co_await world.loop.sleep(Millis(100));
    const Instant now = world.loop.now();
    if (!submitted && now - accepted_at > seconds(25)) {
      submitted = true;
      const bool also = co_await world.accepted(twin, 8);
      if (!also) throw std::runtime_error("the second gang was not accepted");
    }
    if (now < next_poll) continue;
    next_poll = now + seconds(5);
    if (gang.standing != "done") gang = co_await world.poll(0, spec.id);
    if (submitted && like.standing != "done") like = co_await world.poll(0, twin.id);
    if (gang.standing == "done" && like.standing == "done") break;
  }
  if (trouble() && !noticed) throw std::runtime_error("no machine was sent a run");
  const bool held = gang.standing == "done";
  world.record(format("accepted job %s: %s; the like of it, %s, submitted 25 s later: %s",
                      spec.id.c_str(), held ? "done" : ("not done, it is " + gang.standing).c_str(),
                      twin.id.c_str(), like.standing.c_str()));
  if (!held && like.standing != "done")
    throw std::runtime_error("neither gang ran, so the case shows nothing");
  world.result = held ? 0 : 1;
}

// --- A job whose tasks fail on three sick machines, which are then returned.

Task<void> sick_machines(World& world) {
  Cloud& cloud = world.cloud;
  cloud.types = {vatbox()};
  cloud.boot_s["vatbox"] = 2;
  cloud.capacity["vatbox/brisbane/ordinary"] = 5;
  // Machines are sick from the beginning of the case for 60 s; those rented later are sound.
  const Instant sick_until = world.loop.now() + seconds(60);
  size_t machines = 0;
  world.on_worker = [&](Worker& worker) {
    worker.sick = trouble() && machines++ < 3;
    if (worker.sick)
      world.record("machine " + worker.id + " is sick: it fails every task that it starts");
  };
  for (int i = 0; i < 3; ++i) cloud.add("vatbox", "brisbane", false);
  co_await start_all(world);
  co_await until(world, [&] { return world.workers.size() == 3; }, 5);
  co_await until(world, [&] {
    for (const auto& [id, worker] : world.workers) {
      if (worker->baton == 0) return false;
    }
    return true;
  }, 10);
  const JobSpec spec = job("run-000201", "stock-take", "cellar-ops", 1, 10, 20);
  const bool taken = co_await world.accepted(spec, 5);
  if (!taken) throw std::runtime_error("the job was not accepted");
  Answer answer;
  Instant next_poll = world.loop.now() + seconds(5);
  while (world.elapsed() < 114 && answer.standing != "done") {
    co_await world.loop.sleep(Millis(100));
    if (world.loop.now() >= sick_until) {
      for (auto& [id, worker] : world.workers) {
        if (worker->sick && worker->on) world.record("machine " + id + " is sound again");
        worker->sick = false;
      }
    }
    if (world.loop.now() < next_poll) continue;
    next_poll = world.loop.now() + seconds(5);
    answer = co_await world.poll(0, spec.id);
  }
  size_t up = 0;
  for (const auto& [id, machine] : cloud.machines) up += machine.up && !machine.gone ? 1 : 0;
  const bool held = answer.standing == "done";
  world.record(format("accepted job %s: %s; machines up: %zu; rental requests so far: %d; the "
                      "cloud has %d machines to give",
                      spec.id.c_str(), answer.standing.c_str(), up, cloud.rentals,
                      cloud.capacity["vatbox/brisbane/ordinary"]));
  world.result = held ? 0 : 1;
}

// --- Polls of a job whose only machine has died.

// Whether a task of the job has been running on a machine for so long.
bool runs(const World& world, const std::string& id, double for_s) {
  for (const auto& [name, worker] : world.workers) {
    for (const auto& [key, task] : worker->tasks) {
      if (task.task.job == id && task.state == TaskState::running &&
          world.loop.now() - task.since >= to_nanos(Seconds(for_s)))
        return true;
    }
  }
  return false;
}

bool any_on_a_machine(const World& world, const std::string& id) {
  for (const auto& [name, worker] : world.workers) {
    for (const auto& [key, task] : worker->tasks) {
      if (task.task.job == id && task.state != TaskState::exited) return true;
    }
  }
  return false;
}

Task<void> dead_machine(World& world) {
  Cloud& cloud = world.cloud;
  cloud.types = {vatbox()};
  // The cloud has one machine of this type. The one that dies can be replaced.
  cloud.capacity["vatbox/brisbane/ordinary"] = 0;
  cloud.boot_s["vatbox"] = 2;
  const std::string first = cloud.add("vatbox", "brisbane", false).id;
  cloud.boot_s["vatbox"] = 30;  // as in the catalog
  co_await start_all(world);
  const JobSpec spec = job("run-000301", "stock-take", "cellar-ops", 1, 10, 20);
  const bool taken = co_await world.accepted(spec, 20);
  if (!taken) throw std::runtime_error("the job was not accepted");
  co_await until(world, [&] { return runs(world, spec.id, 8); }, 20);
  if (!runs(world, spec.id, 8)) throw std::runtime_error("the job did not start");
  const Instant died = world.loop.now();
  if (trouble()) cloud.take(first, "it stops with all that is on it");
  // The controllers can't know of the death before the lease of the worker is over; after that the
  // state may lag by 3 s. 2 s are given in addition.
  const Instant judged_from = died + to_nanos(Seconds(world.setup.lease_s + 3 + 2));
  std::map<size_t, int> wrong;
  int most_wrong = 0, polls = 0;
  while (world.elapsed() < 100) {
    co_await world.loop.sleep(seconds(2));
    bool done = false;
    for (size_t node = 0; node < world.controllers.size(); ++node) {
      const bool nothing_before = !any_on_a_machine(world, spec.id);
      const Answer answer = co_await world.poll(node, spec.id);
      done |= answer.standing == "done";
      const bool nothing = nothing_before && !any_on_a_machine(world, spec.id);
      if (world.loop.now() < judged_from || !nothing || answer.status != 200) continue;
      ++polls;
      if (answer.standing != "running") continue;
      ++wrong[node];
      most_wrong = std::max(most_wrong, wrong[node]);
      world.record("wrong: no task of the job is on any machine, and the lease of the last one was "
                   "over more than 3 s ago");
    }
    if (done) break;
  }
  world.record(format("%d polls while no machine had a task of the job and the 3 s were over; a "
                      "node answered 'running' to up to %d of them",
                      polls, most_wrong));
  if (trouble() && polls == 0) throw std::runtime_error("no poll could be judged");
  world.result = most_wrong >= 3 ? 1 : 0;
}

// --- Polls at the nodes that are left after the crash of the leader.

Task<void> leader_crash(World& world) {
  Cloud& cloud = world.cloud;
  cloud.types = {vatbox()};
  cloud.capacity["vatbox/brisbane/ordinary"] = 2;
  cloud.boot_s["vatbox"] = 2;
  cloud.add("vatbox", "brisbane", false);
  co_await start_all(world);
  const JobSpec first = job("run-000401", "stock-take", "cellar-ops", 1, 10, 20);
  const bool first_taken = co_await world.accepted(first, 60);
  if (!first_taken) throw std::runtime_error("the job was not accepted");
  co_await until(world, [&] { return runs(world, first.id, 3); }, 20);
  const std::string crashed = *world.leader();
  const size_t crashed_index = world.index_of(crashed);
  if (trouble()) {
    world.end(world.controller(crashed), "it crashes");
    world.loop.spawn([](World& w, size_t index) -> Task<void> {
      co_await w.loop.sleep(seconds(5));  // back about 5 s after an end
      w.start(*w.controllers[index]);
    }(world, crashed_index));
    co_await until(world, [&] {
      const auto leader = world.leader();
      return leader && *leader != crashed;
    }, 20);
    const auto leader = world.leader();
    if (!leader || *leader == crashed) throw std::runtime_error("no other controller leads");
    world.record("controller " + *leader + " leads now");
  }
  co_await world.loop.sleep(seconds(10));
  // Users are connected to the two controllers that did not crash.
  const JobSpec second = job("run-000402", "stock-take", "cellar-ops", 1, 10, 20);
  const bool second_taken = co_await world.accepted(second, 45);
  if (!second_taken) throw std::runtime_error("the second job was not accepted");
  std::map<size_t, int> wrong;
  int most_wrong = 0, polls = 0;
  while (world.elapsed() < 100) {
    co_await world.loop.sleep(seconds(2));
    bool done = false;
    for (size_t node = 0; node < world.controllers.size(); ++node) {
      if (node == crashed_index) continue;
      // The worker reports a change within half a second; the state may lag by 3 s. 2 s are given
      // in addition.
      const bool running_before = runs(world, second.id, 0.5 + 3 + 2);
      const Answer answer = co_await world.poll(node, second.id);
      done |= answer.standing == "done";
      if (!running_before || !runs(world, second.id, 0) || answer.status != 200) continue;
      ++polls;
      if (answer.standing != "queued") continue;
      ++wrong[node];
      most_wrong = std::max(most_wrong, wrong[node]);
      world.record("wrong: its task has been running, and reported as running, for more than 5 s");
    }
    if (done) break;
  }
  world.record(format("%d polls while the job's task had been running for more than 5 s; a node "
                      "answered 'queued' to up to %d of them",
                      polls, most_wrong));
  if (polls == 0) throw std::runtime_error("no poll could be judged");
  world.result = most_wrong >= 3 ? 1 : 0;
}

}  // namespace

}  // namespace review

int main(int count, char** arguments) {
  using namespace review;
  if (count != 3) return 2;
  const std::string name = arguments[1];
  signal(SIGPIPE, SIG_IGN);
  const auto run = [&](Setup setup, Task<void> (*scenario)(World&)) {
    World world(std::move(setup), arguments[2]);
    world.record(std::string("case ") + name + (trouble() ? "" : ", without the disruption"));
    return world.run(scenario(world));
  };
  try {
    if (name == "gang-notice") return run(partsgrid(), gang_notice);
    if (name == "sick-machines") return run(cellarline(), sick_machines);
    if (name == "dead-machine") return run(cellarline(), dead_machine);
    if (name == "leader-crash") return run(cellarline(), leader_crash);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return 2;
}
