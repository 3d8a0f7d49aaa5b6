// Random clusters, several cycles in a row with the plans carried out: whatever is planned and
// whatever starts keeps to the jobs' constraints, the teams' limits and the machines' room. The
// judges are independent of the scheduler: the checker of rules.hpp for what starts, and counts of
// their own over the allocations for what is planned.
#include <gtest/gtest.h>

#include <random>

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

// What a set of clusters brought about, to show that they were no idle ones.
struct Tally {
  uint64_t preemptions = 0;
  uint64_t used = 0;     // nominations
  uint64_t cleared = 0;  // nominations
  uint64_t zone_bound_starts = 0;
  uint64_t terms = 0;
};

// One machine with its worker: what it was told to run, and when each task exits.
struct SimulatedMachine {
  test::RuleChecker::Machine place;
  struct Running {
    uint64_t attempt = 0;
    Instant ends{};
    bool stopped = false;
  };
  std::map<TaskRef, Running> tasks;
  std::vector<TaskStatus> exited;
  std::optional<wire::MachineRecord> stored;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  Instant lease_counted_from{};
  bool removed = false;
};

class RandomCluster {
 public:
  RandomCluster(uint32_t seed, Tally& tally) : random_(seed), tally_(tally) {
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

  void play(int rounds) {
    for (int k = 0; k < rounds && !failed_; ++k) {
      clock_.set(clock_.now() + Millis(200 + 300 * pick(8)));
      if (chance(0.5)) submit();
      if (chance(0.1)) close_some_job();
      if (chance(0.05)) lose_machine();
      if (chance(0.08)) add_machine();
      if (chance(0.04)) begin_term();
      if (chance(0.1)) fail_a_stop_call();
      end_tasks();
      heartbeat_all();
      (void)state_.cluster.expire_leases(clock_.now());
      (void)state_.cluster.tick(clock_.now());
      cycle();
      store_some();
      heartbeat_all();
    }
    tally_.used += state_.nominations.ended_count(NominationEnd::placed);
    tally_.cleared += state_.nominations.ended_count(NominationEnd::cleared);
    for (const auto& broken : rules_.violations()) ADD_FAILURE() << broken;
    EXPECT_EQ(state_.cluster.refused_allocations(), 0u) << "a plan broke its job's constraints";
  }
  bool failed() const { return failed_ || !rules_.violations().empty(); }

 private:
  size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

  void begin_term() {
    ++tally_.terms;
    state_.cluster.begin_term(++epoch_, clock_.now());
    state_.cluster.set_catalog(types_);
    state_.nominations.clear();
    for (const auto& [id, spec] : open_) {
      state_.cluster.load_job({spec, wall(id)}, 10, clock_.now());
      for (const uint32_t index : done_[id]) state_.cluster.job(id)->mark_done(index);
    }
    for (auto& [id, m] : machines_) {
      if (!m.removed && m.stored) state_.cluster.load_machine(id, *m.stored, 5, clock_.now());
    }
  }

  WallTime wall(const std::string& id) const { return submitted_.at(id); }

  void add_machine() {
    const std::string id = "vm-" + std::to_string(100 + machines_.size());
    SimulatedMachine& m = machines_[id];
    // Uneven zones: most of the machines are in the first.
    const std::vector<std::string> zones{"a", "a", "b", "c"};
    m.place = {id, chance(0.7) ? "box" : "rig", zones[pick(zones.size())], chance(0.25)};
    m.fencing_token = epoch_;  // it has heard this leader
  }

  void submit() {
    const std::string id = "run-" + std::to_string(100000 + submitted_.size());
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
    if (chance(0.2)) spec.checkpoint = Seconds(5), spec.save = Seconds(1);
    if (!spec.gang && chance(0.15)) {
      spec.service = true;
      spec.estimate = Seconds(0);
    }
    submitted_[id] = clock_.wall();
    open_[id] = spec;
    rules_.submitted(spec);
    state_.cluster.load_job({spec, wall(id)}, 10, clock_.now());
  }

  void close_some_job() {
    if (open_.empty()) return;
    const auto it = std::next(open_.begin(), static_cast<ptrdiff_t>(pick(open_.size())));
    close(it->first, true);
  }

  void close(const std::string& id, bool cancelled) {
    (void)state_.cluster.close_job(id, cancelled, clock_.now());
    state_.nominations.end_all_of_job(id);
    open_.erase(id);
  }

  void lose_machine() {
    if (machines_.empty()) return;
    const auto it = std::next(machines_.begin(), static_cast<ptrdiff_t>(pick(machines_.size())));
    SimulatedMachine& m = it->second;
    if (m.removed) return;
    if (chance(0.5)) {  // not heard of for a while, and back within its lease
      m.lease_counted_from = clock_.now() + seconds(2 + pick(8));
      return;
    }
    m.removed = true;
    for (const auto& [task, r] : m.tasks) rules_.ended(it->first, task, r.attempt, false);
    m.tasks.clear();
    if (chance(0.5)) (void)state_.cluster.remove_machine(it->first, clock_.now());
  }

  void fail_a_stop_call() {
    for (const auto& [id, machine] : state_.cluster.machines()) {
      const auto* victims = state_.nominations.victims_on(id);
      if (!victims) continue;
      state_.nominations.handle_stop_failure(id, std::vector(*victims));
      return;
    }
  }

  void end_tasks() {
    for (auto& [id, m] : machines_) {
      for (auto it = m.tasks.begin(); it != m.tasks.end();) {
        if (it->second.ends > clock_.now()) {
          ++it;
          continue;
        }
        const bool stopped = it->second.stopped;
        const ExitCause cause = stopped        ? ExitCause::stopped
                                : chance(0.03) ? ExitCause::error
                                               : ExitCause::done;
        exit(id, m, it->first, it->second.attempt, cause);
        it = m.tasks.erase(it);
      }
    }
  }

  void exit(const std::string& id, SimulatedMachine& m, const TaskRef& task, uint64_t attempt,
            ExitCause cause) {
    rules_.ended(id, task, attempt, cause == ExitCause::done);
    m.exited.push_back({task, attempt, TaskState::exited, cause, false});
    if (cause != ExitCause::done || !open_.contains(task.job)) return;
    const JobSpec& spec = open_.at(task.job);
    auto& done = done_[task.job];
    for (uint32_t i = 0; i < spec.tasks; ++i) {
      if (spec.gang || i == task.index) done.insert(i);
    }
  }

  void heartbeat_all() {
    for (auto& [id, m] : machines_) {
      if (!m.removed && clock_.now() >= m.lease_counted_from) heartbeat(id, m);
    }
    std::vector<std::string> over;
    for (const auto& [id, spec] : open_) {
      const Job* job = state_.cluster.job(id);
      if (job && job->all_done()) over.push_back(id);
    }
    for (const auto& id : over) close(id, false);
  }

  void heartbeat(const std::string& id, SimulatedMachine& m) {
    Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = m.place.type;
    heartbeat.zone = m.place.zone;
    heartbeat.spot = m.place.spot;
    heartbeat.incarnation = 1;
    heartbeat.sequence = ++m.sequence;
    heartbeat.fencing_token = m.fencing_token;
    heartbeat.tasks = m.exited;
    for (const auto& [task, running] : m.tasks) {
      heartbeat.tasks.push_back(
          {task, running.attempt, TaskState::running, ExitCause::none, false});
    }
    m.exited.clear();
    Effects effects;
    const auto answer = state_.cluster.handle_heartbeat(heartbeat, clock_.now(), true, effects);
    if (answer.kind != cluster::HeartbeatResponse::Kind::accept) return;
    m.fencing_token = epoch_;
    for (const Command& command : answer.commands) obey(m, command);
  }

  void obey(SimulatedMachine& m, const Command& command) {
    if (command.op == Command::Op::stop) {
      const auto it = m.tasks.find(command.task);
      if (it == m.tasks.end() || it->second.attempt != command.attempt) return;
      it->second.stopped = true;
      // Some take their time, and other tasks of the job move on meanwhile.
      it->second.ends = std::min(it->second.ends, clock_.now() + Millis(700 * pick(6)));
    } else if (command.op == Command::Op::start && !m.tasks.contains(command.task)) {
      if (chance(0.05)) return;  // the answer was lost: it is said again
      m.tasks[command.task] = {command.attempt, clock_.now() + seconds(1 + pick(25)), false};
      rules_.started(m.place, command.task, command.attempt);
      const auto spec = open_.find(command.task.job);
      if (spec != open_.end() && (spec->second.one_zone || spec->second.spread)) {
        ++tally_.zone_bound_starts;
      }
    }
  }

  void cycle() {
    CloudCapacity cloud_capacity;
    for (const auto& t : types_) {
      for (const auto& zone : t.zones) {
        for (const bool spot : {false, true}) {
          if (chance(0.95)) cloud_capacity.refused_offers.insert({t.name, zone, spot});
        }
      }
    }
    state_.nominations.remove_ended_victims(state_.cluster);
    const Plan decided = plan(state_.cluster, state_.nominations, cloud_capacity, platform_, op_,
                              clock_.wall(), clock_.now());
    tally_.preemptions += decided.preemptions.size();
    (void)apply(decided, state_, clock_.now());
    std::set<std::string> jobs, machines;
    for (const auto& x : decided.placements) jobs.insert(x.job), machines.insert(x.machine);
    for (const auto& g : decided.gangs) {
      jobs.insert(g.job);
      for (const auto& [machine, n] : g.shares) machines.insert(machine);
    }
    for (const auto& x : decided.queued) jobs.insert(x.job);
    for (const auto& id : jobs) check_job(id);
    for (const auto& id : machines) check_machine(id);
    check_promises(decided);
  }

  // Every allocation of a job that got one in this cycle.
  void check_job(const std::string& id) {
    const JobSpec& spec = open_.at(id);
    std::map<std::string, uint32_t> zones;
    std::set<uint32_t> indices;
    Resources team;
    for (const auto& [name, machine] : state_.cluster.machines()) {
      for (const Allocation& allocation : machine->allocations) {
        if (allocation.team_name == spec.team && !allocation.queued) team += allocation.need;
        if (allocation.task.job != id) continue;
        ++zones[machine->zone];
        expect(indices.insert(allocation.task.index).second,
               "allocated twice: " + allocation.task.text());
        expect(!spec.zone || *spec.zone == machine->zone, "zone of " + allocation.task.text());
        expect(spec.spot || !machine->spot, "spot machine for " + allocation.task.text());
        expect(spec.types.empty() || spec.types[0] == machine->type,
               "type for " + allocation.task.text());
      }
    }
    expect(!spec.one_zone || zones.size() <= 1, id + " is in several zones");
    for (const auto& [zone, n] : zones) {
      expect(!spec.spread || 2 * n <= spec.tasks + 1, "too many tasks of a job in " + zone);
    }
    for (const auto& t : platform_.teams) {
      if (t.name != spec.team) continue;
      // Allocations that a former leader made ahead count too, so a team may be beyond its limit in
      // what the job does not use.
      expect(team.cpus <= t.cpus_max + 1e-6, "cpus of team " + t.name + " with " + id);
      expect(spec.need.gpus <= 0 || team.gpus <= t.gpus_max + 1e-6,
             "gpus of team " + t.name + " with " + id);
    }
  }

  void check_machine(const std::string& id) {
    const Machine& machine = *state_.cluster.find_machine(id);
    Resources used;
    for (const Allocation& allocation : machine.allocations) {
      if (!allocation.queued) used += allocation.need;
    }
    expect(used.fits_in(machine.size), "machine " + id + " is overbooked");
    expect(state_.cluster.record_size(machine) <= state_.cluster.record_limit(), "record of " + id);
  }

  // Room that is being made for a job in this cycle is where all of it may go.
  void check_promises(const Plan& decided) {
    std::map<std::string, std::map<std::string, uint32_t>> zones;
    for (const auto& e : decided.preemptions) {
      const Machine& machine = *state_.cluster.find_machine(e.machine);
      const JobSpec& spec = open_.at(e.job);
      ++zones[e.job][machine.zone];
      expect(spec.spot || !machine.spot, "room on a spot machine for " + e.job);
    }
    for (const auto& [id, by_zone] : zones) {
      const JobSpec& spec = open_.at(id);
      expect(!spec.one_zone || by_zone.size() == 1, "room in several zones for " + id);
      for (const auto& [zone, n] : by_zone) {
        expect(!spec.spread || 2 * n <= spec.tasks + 1, "too much room for a job in " + zone);
      }
    }
  }

  void expect(bool holds, const std::string& what) {
    if (holds || failed_) return;
    failed_ = true;
    ADD_FAILURE() << what;
  }

  void store_some() {
    for (const auto& [id, machine] : state_.cluster.machines()) {
      if (!machine->dirty && !machine->shrunk) continue;
      if (chance(0.4)) continue;  // writes lag
      Effects effects;
      wire::MachineRecord record = state_.cluster.record_of(*machine);
      if (const auto m = machines_.find(id); m != machines_.end()) m->second.stored = record;
      state_.cluster.machine_stored(*machine, record, ++mod_revision_, effects);
    }
  }

  std::mt19937 random_;
  Tally& tally_;
  test::FakeClock clock_;
  settings::Platform platform_ = test::Site::platform(0, 1);
  settings::Operator op_;
  test::RuleChecker rules_{clock_, platform_};
  cluster::LeaderState state_{platform_, op_};
  std::vector<MachineType> types_;
  std::map<std::string, SimulatedMachine> machines_;
  std::map<std::string, JobSpec> open_;
  std::map<std::string, WallTime> submitted_;
  std::map<std::string, std::set<uint32_t>> done_;
  uint64_t epoch_ = 0;
  uint64_t mod_revision_ = 10;
  bool failed_ = false;
};

class SchedulerProperties : public testing::TestWithParam<uint32_t> {};

TEST_P(SchedulerProperties, NothingIsPlannedOrStartedAgainstAConstraint) {
  constexpr uint32_t kClusters = 100;
  constexpr int kRounds = 60;
  Tally tally;
  for (uint32_t k = 0; k < kClusters; ++k) {
    const uint32_t seed = GetParam() * kClusters + k;
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomCluster cluster(seed, tally);
    cluster.play(kRounds);
    if (cluster.failed()) return;
  }
  EXPECT_GT(tally.preemptions, kClusters) << "clusters in which nobody is evicted show little";
  EXPECT_GT(tally.used, kClusters / 2);
  EXPECT_GT(tally.cleared, kClusters / 10);
  EXPECT_GT(tally.zone_bound_starts, kClusters * 10);
  EXPECT_GT(tally.terms, kClusters * 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedulerProperties, testing::Range(1u, 21u));

}  // namespace
}  // namespace dunlinknot::scheduler
