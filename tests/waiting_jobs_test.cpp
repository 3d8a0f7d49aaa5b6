// Random scenarios that check that no job waits for long while it could run: whatever decision
// keeps a job off a machine, holds room or quota for another job, or delays a start or a launch,
// comes to an end.
#include "dunlinknot/preemption/fit.hpp"
#include "random_scenario.hpp"

namespace dunlinknot::test {
namespace {

constexpr Nanos kMaxWait = seconds(90);  // the bound that the operators state
// By then the faults have ended. All of them begin within a minute.
constexpr Nanos kFaultsEnded = seconds(140);
constexpr Nanos kScenarioDuration = seconds(520);
constexpr Nanos kCheckInterval = seconds(1);

// Two types of machines with and one without accelerators, few of each; arrays, gangs and services
// of three teams; machines that fail what they start, a cloud that does not answer, lost machines,
// and the faults of RandomScenario.
class WaitingJobsScenario : public RandomScenario {
 public:
  using RandomScenario::RandomScenario;
  std::vector<std::string> findings;  // jobs that waited for too long
  size_t checked_waits = 0;           // checks of jobs none of whose tasks was on a machine

 protected:
  void prepare() override {
    MachineType& box = site.cloud.types[0];
    MachineType rig = box;
    rig.name = "rig";
    rig.size = {8, 2, 32};
    rig.price = 3;
    rig.spot_price = 1.2;
    MachineType vat = box;
    vat.name = "vat";
    vat.size = {32, 0, 64};
    vat.price = 4;
    vat.spot_price = 1.6;
    site.cloud.types = {box, rig, vat};
    const auto random_capacity = [&](const char* offer, size_t most) {
      site.cloud.capacity[offer] = static_cast<uint32_t>(pick(most + 1));
    };
    site.cloud.capacity.clear();
    random_capacity("box/a/ordinary", 4);
    random_capacity("box/b/ordinary", 3);
    random_capacity("rig/a/ordinary", 3);
    random_capacity("rig/b/spot", 2);
    random_capacity("vat/a/ordinary", 2);
    site.cloud.capacity["vat/b/ordinary"] = 1;
    const size_t extra_faults = 1 + pick(3);
    for (size_t i = 0; i < extra_faults; ++i) site.loop.spawn(inject_machine_fault());
    site.loop.spawn(watch_waiting_jobs());
  }
  size_t job_count() const override { return 12; }
  Nanos duration() const override { return kScenarioDuration; }

  void prepare_worker(ScriptedWorker& worker) override {
    const auto job_run_time = worker.run_time;
    // A task that a faulty machine starts fails at once; replicas of services run on.
    worker.run_time = [this, &worker, job_run_time](const TaskRef& task) {
      if (fails_at_start(worker, task)) return Nanos(Millis(200));
      if (site.specs[task.job].service) return Nanos(std::chrono::hours(10));
      return std::min(job_run_time(task), Nanos(seconds(25)));
    };
    worker.fails = [this, &worker](const TaskRef& task) {
      return fails_at_start(worker, task) && !site.specs[task.job].service;
    };
  }

  JobSpec random_job(size_t index) override {
    JobSpec spec = job("run-0000" + std::to_string(10 + index), static_cast<uint32_t>(1 + pick(8)));
    spec.team = std::vector<std::string>{"red", "red", "blue", "blue", "tiny"}[pick(5)];
    const bool tiny = spec.team == "tiny";
    spec.need = {static_cast<double>(1 + pick(tiny ? 4 : 6)), 0, 4};
    spec.priority = std::vector<Priority>{Priority::low, Priority::normal, Priority::high,
                                          Priority::production}[pick(4)];
    spec.estimate = Seconds(5 + static_cast<double>(pick(20)));
    const size_t shape = pick(10);
    if (shape < 3) {
      spec.gang = true;
      spec.tasks = static_cast<uint32_t>(1 + pick(tiny ? 1 : 8));
      spec.one_zone = chance(0.5);
    } else if (shape < 5) {
      spec.service = true;
      spec.estimate = Seconds(0);
      spec.need = {static_cast<double>(1 + pick(3)), 0, 2};
      spec.tasks = static_cast<uint32_t>(1 + pick(tiny ? 1 : 3));
    }
    if (!spec.gang && !tiny && chance(0.3)) {
      spec.need.gpus = 1;
      spec.need.cpus = 1 + static_cast<double>(pick(3));
      if (spec.service) spec.tasks = 1;
    }
    if (chance(0.2)) spec.types = {spec.need.gpus > 0 || chance(0.5) ? "rig" : "box"};
    if (chance(0.15)) spec.zone = chance(0.5) ? "a" : "b";
    spec.spot = chance(0.6);
    if (index == 0 && chance(0.2)) job_with_mistake_ = spec.id;
    return spec;
  }

  // Services may use all the room there is, so that other jobs cannot run.
  void check_jobs() override {
    for (const std::string& finding : findings)
      ADD_FAILURE() << finding << "; faults:" << fault_log << machine_fault_log_;
  }

 private:
  bool fails_at_start(const ScriptedWorker& worker, const TaskRef& task) const {
    return faulty_.contains(worker.id) || task.job == job_with_mistake_;
  }

  Task<void> inject_machine_fault() {
    co_await site.loop.sleep(random_duration(10, 60));
    const size_t kind = pick(4);
    machine_fault_log_ += " machine-fault-" + std::to_string(kind) + "@" +
                          std::to_string(to_seconds(site.loop.now().time_since_epoch()).count());
    const bool all_machines = kind == 1;
    switch (kind) {
      case 0:
      case 1: {
        std::set<std::string> faulty;
        for (const auto& [id, worker] : site.workers) {
          if (worker->powered_on && (all_machines || chance(0.5))) faulty.insert(id);
        }
        faulty_.insert(faulty.begin(), faulty.end());
        co_await site.loop.sleep(random_duration(5, 60));
        for (const std::string& id : faulty) faulty_.erase(id);
        break;
      }
      case 2:
        site.cloud.unavailable = true;
        co_await site.loop.sleep(random_duration(5, 25));
        site.cloud.unavailable = false;
        break;
      default:
        lose_machine();
        break;
    }
  }

  // The cloud takes back a machine without notice; it may be launched again.
  void lose_machine() {
    std::vector<ScriptedWorker*> running;
    for (auto& [id, worker] : site.workers) {
      if (worker->powered_on) running.push_back(worker.get());
    }
    if (running.empty()) return;
    ScriptedWorker& lost = *running[pick(running.size())];
    lost.power_off();
    ScriptedCloud::Machine& machine = site.cloud.machines[lost.id];
    machine.removed = true;
    machine.removed_at = site.loop.now();
    ++site.cloud.capacity[offer_of(machine)];
  }

  static std::string offer_of(const ScriptedCloud::Machine& machine) {
    return machine.type + "/" + machine.zone + (machine.spot ? "/spot" : "/ordinary");
  }
  const MachineType& type_of(const std::string& name) const {
    for (const MachineType& type : site.cloud.types) {
      if (type.name == name) return type;
    }
    throw std::runtime_error("unknown machine type " + name);
  }

  // The state of the deployment as the workers and the cloud have it, whatever the controllers
  // know.
  struct Usage {
    std::map<std::string, Resources> free;     // by machine that is up
    std::map<std::string, Resources> by_team;  // of tasks on machines
    std::set<std::string> jobs_on_machines;
    std::map<std::string, size_t> starts_by_job;  // since the beginning
  };
  Usage usage() const {
    Usage usage;
    for (const auto& [id, worker] : site.workers) {
      for (const auto& [task, attempt] : worker->started) ++usage.starts_by_job[task.job];
      if (!worker->powered_on) continue;
      Resources free = type_of(site.cloud.machines.at(id).type).size;
      for (const auto& [key, task] : worker->tasks) {
        if (task.state == TaskState::exited) continue;
        const JobSpec& spec = site.specs.at(task.task.job);
        free -= spec.need;
        usage.by_team[spec.team] += spec.need;
        usage.jobs_on_machines.insert(spec.id);
      }
      if (worker->fencing_token > 0) usage.free[id] = free;
    }
    return usage;
  }

  static bool may_run_on(const JobSpec& spec, const std::string& type, const std::string& zone,
                         bool spot) {
    return cluster::pool_allowed(spec, type, zone, spot);
  }
  // The tasks that must be placed together for the job to begin.
  static uint32_t tasks_to_begin(const JobSpec& spec) { return spec.gang ? spec.tasks : 1; }

  bool team_allows(const JobSpec& spec, const Usage& usage) const {
    const auto used = usage.by_team.find(spec.team);
    const double cpus = used == usage.by_team.end() ? 0 : used->second.cpus;
    for (const settings::Team& team : site.rules_platform.teams) {
      if (team.name == spec.team)
        return cpus + spec.need.cpus * tasks_to_begin(spec) <= team.cpus_max + 1e-6;
    }
    return false;
  }

  // Whether the machines that are up have room for the job to begin.
  bool has_room(const JobSpec& spec, const Usage& usage) const {
    std::map<std::string, uint32_t> tasks_by_zone;
    uint32_t tasks = 0;
    for (const auto& [id, free] : usage.free) {
      const ScriptedCloud::Machine& machine = site.cloud.machines.at(id);
      if (!may_run_on(spec, machine.type, machine.zone, machine.spot)) continue;
      const uint32_t fitting = preemption::tasks_that_fit_in(free, spec.need, spec.tasks);
      tasks += fitting;
      tasks_by_zone[machine.zone] += fitting;
    }
    if (!spec.one_zone) return tasks >= tasks_to_begin(spec);
    return std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(),
                       [&](const auto& zone) { return zone.second >= tasks_to_begin(spec); });
  }

  // Whether the cloud would launch machines on which the job could begin by themselves.
  bool cloud_has_machines(const JobSpec& spec) const {
    uint32_t tasks = 0;
    std::map<std::string, uint32_t> tasks_by_zone;
    for (const auto& [offer, count] : site.cloud.capacity) {
      const size_t first = offer.find('/'), second = offer.find('/', first + 1);
      const std::string type = offer.substr(0, first);
      const std::string zone = offer.substr(first + 1, second - first - 1);
      if (!may_run_on(spec, type, zone, offer.ends_with("/spot"))) continue;
      const uint32_t fitting =
          count * preemption::tasks_that_fit_in(type_of(type).size, spec.need, spec.tasks);
      tasks += fitting;
      tasks_by_zone[zone] += fitting;
    }
    if (!spec.one_zone) return tasks >= tasks_to_begin(spec);
    return std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(),
                       [&](const auto& zone) { return zone.second >= tasks_to_begin(spec); });
  }
  bool any_machine_is_booting() const {
    return std::any_of(site.workers.begin(), site.workers.end(), [](const auto& entry) {
      return entry.second->powered_on && entry.second->fencing_token == 0;
    });
  }

  Task<void> watch_waiting_jobs() {
    co_await site.loop.sleep(kFaultsEnded);
    std::map<std::string, Instant> waiting_with_room, waiting_without_launch;
    std::map<std::string, size_t> starts;
    for (;;) {
      Usage present = usage();
      for (const auto& [id, spec] : site.specs) {
        // A task may start and fail between two checks.
        const bool started = std::exchange(starts[id], present.starts_by_job[id]) < starts[id];
        const bool waits = site.rules.is_open(id) && !started &&
                           !present.jobs_on_machines.contains(id) && team_allows(spec, present);
        checked_waits += waits ? 1 : 0;
        const bool room = waits && has_room(spec, present);
        check_wait(waiting_with_room, id, room, "while machines that fit have room");
        check_wait(waiting_without_launch, id,
                   waits && !room && !any_machine_is_booting() && cloud_has_machines(spec),
                   "without a launch, although the cloud has machines that fit");
      }
      co_await site.loop.sleep(kCheckInterval);
    }
  }

  void check_wait(std::map<std::string, Instant>& since, const std::string& id, bool waits,
                  const std::string& what) {
    if (!waits) {
      since.erase(id);
      return;
    }
    Instant& began = since.try_emplace(id, site.loop.now()).first->second;
    if (site.loop.now() - began <= kMaxWait) return;
    began = Instant::max();  // reported once
    findings.push_back("job " + id + " of team " + site.specs[id].team +
                       " waited for more than 90 s " + what);
  }

  std::set<std::string> faulty_;  // machines that fail each task that they start
  std::string job_with_mistake_;  // fails on every machine
  std::string machine_fault_log_;
};

class WaitingJobs : public testing::TestWithParam<uint32_t> {};

TEST_P(WaitingJobs, NoneWaitsWhileItCouldRun) {
  WaitingJobsScenario scenario(GetParam());
  scenario.run();
}

INSTANTIATE_TEST_SUITE_P(Seed, WaitingJobs, testing::Range(1u, 101u),
                         testing::PrintToStringParamName());

TEST(WaitingJobsScenarios, ContainJobsThatWait) {
  size_t checked_waits = 0;
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    WaitingJobsScenario scenario(seed);
    scenario.run_without_checks();
    checked_waits += scenario.checked_waits;
  }
  EXPECT_GT(checked_waits, 100u);
}

}  // namespace
}  // namespace dunlinknot::test
