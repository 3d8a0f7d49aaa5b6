// Property test on random clusters: over several scheduling cycles whose plans are applied,
// everything planned and everything started respects the jobs' constraints, the teams' limits and
// the machines' capacity. The checks are independent of the scheduler: the rule checker of
// rules.hpp for what starts, and separate counts over the allocations for what is planned.
#include <gtest/gtest.h>

#include <random>

#include "dunlinknot/cluster/machine_record.hpp"
#include "dunlinknot/scheduler/apply.hpp"
#include "site.hpp"

namespace dunlinknot::scheduler {
namespace {

using cluster::Allocation;
using cluster::Effects;
using cluster::Job;
using cluster::Machine;
using preemption::NominationEnd;
using std::chrono::seconds;

// Totals over a set of clusters, to show that the scenarios exercise the scheduler.
struct Totals {
  uint64_t preemptions = 0;
  uint64_t used_nominations = 0;
  uint64_t cleared_nominations = 0;
  uint64_t zone_bound_starts = 0;
  uint64_t terms = 0;
};

// A simulated machine and its worker: the tasks it was commanded to run, and when each exits.
struct SimulatedMachine {
  test::RuleChecker::Machine description;
  struct Running {
    uint64_t attempt = 0;
    Instant ends{};
    bool stopped = false;
  };
  std::map<TaskRef, Running> tasks;
  std::vector<TaskStatus> exited;
  std::optional<wire::MachineRecord> stored;
  uint64_t incarnation = 1;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  Instant lease_renewed_at{};  // when the last accepted heartbeat was sent
  Instant no_heartbeat_until{};
  bool removed = false;
};

class RandomCluster {
 public:
  RandomCluster(uint32_t seed, Totals& totals) : random_(seed), totals_(totals) {
    platform_.zones = {"a", "b", "c"};
    platform_.teams = {{"red", 12, 40, 4, 8}, {"blue", 0, 24, 0, 6}, {"tiny", 4, 6, 0, 2}};
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.zones = platform_.zones;
    box.price = 1;
    box.spot_price = 0.5;
    box.boot = Seconds(20);
    MachineType rig = box;
    rig.name = "rig";
    rig.size = {8, 2, 32};
    types_ = {box, rig};
    begin_term();
    for (size_t n = 4 + pick(9); n > 0; --n) add_machine();
  }

  void run_rounds(int rounds) {
    for (int round = 0; round < rounds && !failed_; ++round) {
      clock_.set(clock_.now() + Millis(200 + 300 * pick(8)));
      if (chance(0.5)) submit();
      if (chance(0.1)) cancel_random_job();
      if (chance(0.05)) lose_random_machine();
      if (chance(0.08)) add_machine();
      if (chance(0.04)) begin_term();
      if (chance(0.1)) fail_stop_call();
      end_tasks();
      send_heartbeats();
      (void)state_.cluster.expire_leases(clock_.now());
      (void)state_.cluster.tick(clock_.now());
      run_cycle();
      store_some_records();
      send_heartbeats();
    }
    totals_.used_nominations += state_.nominations.ended_count(NominationEnd::placed);
    totals_.cleared_nominations += state_.nominations.ended_count(NominationEnd::cleared);
    for (const auto& violation : rules_.violations()) ADD_FAILURE() << violation;
    EXPECT_EQ(state_.cluster.refused_allocations(), 0u)
        << "a plan violated the constraints of a job";
  }
  bool failed() const { return failed_ || !rules_.violations().empty(); }

 private:
  size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

  void begin_term() {
    ++totals_.terms;
    state_.cluster.begin_term(++epoch_, clock_.now());
    state_.cluster.set_catalog(types_);
    state_.nominations.clear();
    for (const auto& [id, spec] : open_jobs_) {
      state_.cluster.load_job({spec, wall(id)}, 10, clock_.now());
      for (const uint32_t index : done_tasks_[id]) state_.cluster.job(id)->mark_done(index);
    }
    for (auto& [id, simulated] : machines_) {
      if (!simulated.removed && simulated.stored)
        state_.cluster.load_machine(id, *simulated.stored, 5, clock_.now());
    }
  }

  WallTime wall(const std::string& id) const { return submit_times_.at(id); }

  void add_machine() {
    const std::string id = "vm-" + std::to_string(100 + machines_.size());
    SimulatedMachine& simulated = machines_[id];
    // Uneven zones: half of the machines on average are in the first.
    const std::vector<std::string> zones{"a", "a", "b", "c"};
    simulated.description = {id, chance(0.7) ? "box" : "rig", zones[pick(zones.size())],
                             chance(0.25)};
    simulated.fencing_token = epoch_;  // it has received a response of this leader
    simulated.lease_renewed_at = clock_.now();
  }

  void submit() {
    const std::string id = "run-" + std::to_string(100000 + submit_times_.size());
    JobSpec spec = test::job(id, chance(0.1) ? 40 : 1 + pick(9));
    spec.team = std::vector<std::string>{"red", "blue", "tiny"}[pick(3)];
    spec.need = {static_cast<double>(1 + pick(4)), 0, 2};
    if (chance(0.2)) spec.need.gpus = 1;
    spec.priority = std::vector<Priority>{Priority::low, Priority::normal, Priority::high,
                                          Priority::production}[pick(4)];
    const size_t zone_rule = pick(10);
    spec.one_zone = zone_rule < 4 || zone_rule == 8;
    spec.spread = zone_rule >= 4 && zone_rule < 7;
    if (chance(0.1)) spec.zone = chance(0.5) ? "a" : "b";
    if (chance(0.2)) spec.types = {chance(0.5) ? "box" : "rig"};
    spec.spot = chance(0.5);
    if (chance(0.25)) {
      spec.gang = true;
      spec.tasks = 1 + pick(4);
    }
    if (chance(0.2)) spec.checkpoint_interval = Seconds(5), spec.checkpoint_duration = Seconds(1);
    if (!spec.gang && chance(0.15)) {
      spec.service = true;
      spec.estimate = Seconds(0);
    }
    submit_times_[id] = clock_.wall();
    open_jobs_[id] = spec;
    rules_.submitted(spec);
    state_.cluster.load_job({spec, wall(id)}, 10, clock_.now());
  }

  void cancel_random_job() {
    if (open_jobs_.empty()) return;
    const auto it = std::next(open_jobs_.begin(), static_cast<ptrdiff_t>(pick(open_jobs_.size())));
    close(it->first, true);
  }

  void close(const std::string& id, bool cancelled) {
    (void)state_.cluster.close_job(id, cancelled, clock_.now());
    state_.nominations.end_all_of_job(id);
    open_jobs_.erase(id);
  }

  void lose_random_machine() {
    if (machines_.empty()) return;
    const auto it = std::next(machines_.begin(), static_cast<ptrdiff_t>(pick(machines_.size())));
    SimulatedMachine& simulated = it->second;
    if (simulated.removed) return;
    if (chance(0.5)) {  // sends no heartbeat for a while, but again within its lease
      simulated.no_heartbeat_until = clock_.now() + seconds(2 + pick(8));
      return;
    }
    simulated.removed = true;
    for (const auto& [task, running] : simulated.tasks)
      rules_.ended(it->first, task, running.attempt, false);
    simulated.tasks.clear();
    if (chance(0.5)) (void)state_.cluster.remove_machine(it->first, clock_.now());
  }

  void fail_stop_call() {
    for (const auto& [id, machine] : state_.cluster.machines()) {
      const auto* victims = state_.nominations.victims_on(id);
      if (!victims) continue;
      state_.nominations.handle_stop_failure(id, std::vector(*victims));
      return;
    }
  }

  void end_tasks() {
    for (auto& [id, simulated] : machines_) {
      for (auto it = simulated.tasks.begin(); it != simulated.tasks.end();) {
        if (it->second.ends > clock_.now()) {
          ++it;
          continue;
        }
        const bool stopped = it->second.stopped;
        const ExitCause cause = stopped        ? ExitCause::stopped
                                : chance(0.03) ? ExitCause::error
                                               : ExitCause::done;
        exit(id, simulated, it->first, it->second.attempt, cause);
        it = simulated.tasks.erase(it);
      }
    }
  }

  void exit(const std::string& id, SimulatedMachine& simulated, const TaskRef& task,
            uint64_t attempt, ExitCause cause) {
    rules_.ended(id, task, attempt, cause == ExitCause::done);
    simulated.exited.push_back({task, attempt, TaskState::exited, cause, false});
    if (cause != ExitCause::done || !open_jobs_.contains(task.job)) return;
    const JobSpec& spec = open_jobs_.at(task.job);
    auto& done = done_tasks_[task.job];
    for (uint32_t i = 0; i < spec.tasks; ++i) {
      if (spec.gang || i == task.index) done.insert(i);
    }
  }

  void send_heartbeats() {
    for (auto& [id, simulated] : machines_) {
      if (!simulated.removed && clock_.now() >= simulated.no_heartbeat_until)
        heartbeat(id, simulated);
    }
    std::vector<std::string> completed;
    for (const auto& [id, spec] : open_jobs_) {
      const Job* job = state_.cluster.job(id);
      if (job && job->all_done()) completed.push_back(id);
    }
    for (const auto& id : completed) close(id, false);
  }

  // A worker whose lease has expired kills its tasks and begins a new incarnation.
  void expire_lease(const std::string& id, SimulatedMachine& simulated) {
    if (clock_.now() - simulated.lease_renewed_at <= to_nanos(platform_.worker_lease)) return;
    for (const auto& [task, running] : simulated.tasks)
      rules_.ended(id, task, running.attempt, false);
    simulated.tasks.clear();
    simulated.exited.clear();
    ++simulated.incarnation;
    simulated.lease_renewed_at = clock_.now();
  }

  void heartbeat(const std::string& id, SimulatedMachine& simulated) {
    expire_lease(id, simulated);
    Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = simulated.description.type;
    heartbeat.zone = simulated.description.zone;
    heartbeat.spot = simulated.description.spot;
    heartbeat.incarnation = simulated.incarnation;
    heartbeat.sequence = ++simulated.sequence;
    heartbeat.fencing_token = simulated.fencing_token;
    heartbeat.tasks = simulated.exited;
    for (const auto& [task, running] : simulated.tasks) {
      heartbeat.tasks.push_back(
          {task, running.attempt, TaskState::running, ExitCause::none, false});
    }
    simulated.exited.clear();
    Effects effects;
    const auto response = state_.cluster.handle_heartbeat(heartbeat, clock_.now(), true, effects);
    if (response.kind != cluster::HeartbeatResponse::Kind::accept) return;
    simulated.fencing_token = epoch_;
    simulated.lease_renewed_at = clock_.now();
    for (const Command& command : response.commands) execute(simulated, command);
  }

  void execute(SimulatedMachine& simulated, const Command& command) {
    if (command.op == Command::Op::stop) {
      const auto it = simulated.tasks.find(command.task);
      if (it == simulated.tasks.end() || it->second.attempt != command.attempt) return;
      it->second.stopped = true;
      // Stopping takes up to 3.5 s, so that other tasks of the job change state meanwhile.
      it->second.ends = std::min(it->second.ends, clock_.now() + Millis(700 * pick(6)));
    } else if (command.op == Command::Op::start && !simulated.tasks.contains(command.task)) {
      if (chance(0.05)) return;  // the response was lost; the command is sent again
      simulated.tasks[command.task] = {command.attempt, clock_.now() + seconds(1 + pick(25)),
                                       false};
      rules_.started(simulated.description, command.task, command.attempt);
      const auto spec = open_jobs_.find(command.task.job);
      if (spec != open_jobs_.end() && (spec->second.one_zone || spec->second.spread)) {
        ++totals_.zone_bound_starts;
      }
    }
  }

  void run_cycle() {
    CloudCapacity cloud_capacity;
    for (const auto& type : types_) {
      for (const auto& zone : type.zones) {
        for (const bool spot : {false, true}) {
          if (chance(0.95)) cloud_capacity.refused_offers.insert({type.name, zone, spot});
        }
      }
    }
    state_.nominations.remove_ended_victims(state_.cluster);
    const Plan decided = plan(state_.cluster, state_.nominations, cloud_capacity, platform_,
                              operator_settings_, clock_.wall(), clock_.now());
    totals_.preemptions += decided.preemptions.size();
    (void)apply(decided, state_, clock_.now());
    std::set<std::string> jobs, machines;
    for (const auto& placement : decided.placements)
      jobs.insert(placement.job), machines.insert(placement.machine);
    for (const auto& gang : decided.gangs) {
      jobs.insert(gang.job);
      for (const auto& [machine, count] : gang.shares) machines.insert(machine);
    }
    for (const auto& placement : decided.queued) jobs.insert(placement.job);
    for (const auto& id : jobs) check_job(id);
    for (const auto& id : machines) check_machine(id);
    check_preemptions(decided);
  }

  // Checks all allocations of a job that got one in this cycle.
  void check_job(const std::string& id) {
    const JobSpec& spec = open_jobs_.at(id);
    std::map<std::string, uint32_t> zones;
    std::set<uint32_t> indices;
    Resources team_usage;
    for (const auto& [name, machine] : state_.cluster.machines()) {
      for (const Allocation& allocation : machine->allocations) {
        if (allocation.team_name == spec.team && !allocation.queued) team_usage += allocation.need;
        if (allocation.task.job != id) continue;
        ++zones[machine->zone];
        // The records of a former leader may contain an allocation that had ended, beside the one
        // that replaced it; both are loaded. This leader must not add to them.
        expect(indices.insert(allocation.task.index).second ||
                   !made_in_this_term(spec, allocation.task.index),
               "task allocated twice: " + allocation.task.text());
        expect(!spec.zone || *spec.zone == machine->zone,
               "wrong zone for task " + allocation.task.text());
        expect(spec.spot || !machine->spot,
               "spot machine not allowed for task " + allocation.task.text());
        expect(spec.types.empty() || spec.types[0] == machine->type,
               "machine type not allowed for task " + allocation.task.text());
      }
    }
    expect(!spec.one_zone || zones.size() <= 1, id + " has tasks in several zones");
    for (const auto& [zone, count] : zones) {
      expect(!spec.spread || 2 * count <= spec.tasks + 1,
             "too many tasks of a job in zone " + zone);
    }
    for (const auto& limits : platform_.teams) {
      if (limits.name != spec.team) continue;
      // Allocations that a previous leader planned ahead count too, so a team may exceed its limit
      // in a resource that the job does not use.
      expect(team_usage.cpus <= limits.cpus_max + 1e-6,
             "cpus above the limit of team " + limits.name + " after a placement of " + id);
      expect(spec.need.gpus <= 0 || team_usage.gpus <= limits.gpus_max + 1e-6,
             "gpus above the limit of team " + limits.name + " after a placement of " + id);
    }
  }

  // Whether the present leader made any of the task's allocations.
  bool made_in_this_term(const JobSpec& spec, uint32_t index) {
    for (const auto& [name, machine] : state_.cluster.machines()) {
      for (const Allocation& allocation : machine->allocations) {
        if (allocation.task == TaskRef{spec.id, index} &&
            allocation.attempt >= epoch_ << cluster::kAttemptEpochShift)
          return true;
      }
    }
    return false;
  }

  void check_machine(const std::string& id) {
    const Machine& machine = *state_.cluster.find_machine(id);
    Resources used;
    for (const Allocation& allocation : machine.allocations) {
      if (!allocation.queued) used += allocation.need;
    }
    expect(used.fits_in(machine.size), "machine " + id + " has more allocated than its size");
    expect(state_.cluster.record_size(machine) <= state_.cluster.record_limit(),
           "record above the size limit for machine " + id);
  }

  // Checks that all room made for a job in this cycle satisfies the job's constraints.
  void check_preemptions(const Plan& decided) {
    std::map<std::string, std::map<std::string, uint32_t>> zones;
    for (const auto& preemption : decided.preemptions) {
      const Machine& machine = *state_.cluster.find_machine(preemption.machine);
      const JobSpec& spec = open_jobs_.at(preemption.job);
      ++zones[preemption.job][machine.zone];
      expect(spec.spot || !machine.spot, "preemption on a spot machine for job " + preemption.job);
    }
    for (const auto& [id, by_zone] : zones) {
      const JobSpec& spec = open_jobs_.at(id);
      expect(!spec.one_zone || by_zone.size() == 1, "preemption in several zones for job " + id);
      for (const auto& [zone, count] : by_zone) {
        expect(!spec.spread || 2 * count <= spec.tasks + 1,
               "too many preemptions for a job in zone " + zone);
      }
    }
  }

  void expect(bool condition, const std::string& what) {
    if (condition || failed_) return;
    failed_ = true;
    ADD_FAILURE() << what;
  }

  void store_some_records() {
    for (const auto& [id, machine] : state_.cluster.machines()) {
      if (!machine->dirty && !machine->shrunk) continue;
      if (chance(0.4)) continue;  // the write is delayed
      Effects effects;
      wire::MachineRecord record = state_.cluster.record_of(*machine);
      if (const auto simulated = machines_.find(id); simulated != machines_.end())
        simulated->second.stored = record;
      state_.cluster.machine_stored(*machine, record, ++mod_revision_, effects);
    }
  }

  std::mt19937 random_;
  Totals& totals_;
  test::FakeClock clock_;
  settings::Platform platform_ = test::Site::platform(0, 1);
  settings::Operator operator_settings_;
  test::RuleChecker rules_{clock_, platform_};
  cluster::LeaderState state_{platform_, operator_settings_};
  std::vector<MachineType> types_;
  std::map<std::string, SimulatedMachine> machines_;
  std::map<std::string, JobSpec> open_jobs_;
  std::map<std::string, WallTime> submit_times_;
  std::map<std::string, std::set<uint32_t>> done_tasks_;
  uint64_t epoch_ = 0;
  uint64_t mod_revision_ = 10;
  bool failed_ = false;
};

class SchedulerProperties : public testing::TestWithParam<uint32_t> {};

TEST_P(SchedulerProperties, PlansAndStartsRespectAllConstraints) {
  constexpr uint32_t kClusterCount = 100;
  constexpr int kRounds = 60;
  Totals totals;
  for (uint32_t k = 0; k < kClusterCount; ++k) {
    const uint32_t seed = GetParam() * kClusterCount + k;
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomCluster cluster(seed, totals);
    cluster.run_rounds(kRounds);
    if (cluster.failed()) return;
  }
  EXPECT_GT(totals.preemptions, kClusterCount) << "too few preemptions to test them";
  EXPECT_GT(totals.used_nominations, kClusterCount / 2);
  EXPECT_GT(totals.cleared_nominations, kClusterCount / 10);
  EXPECT_GT(totals.zone_bound_starts, kClusterCount * 10);
  EXPECT_GT(totals.terms, kClusterCount * 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedulerProperties, testing::Range(1u, 21u));

}  // namespace
}  // namespace dunlinknot::scheduler
