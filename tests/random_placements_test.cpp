// Random scenarios that need preemption: few machines in three zones of unequal size, several
// priorities, jobs with constraints on zone, machine type and spot machines, and faults while
// victims are being stopped.
#include "random_scenario.hpp"

namespace dunlinknot::test {
namespace {

class ScarceMachineScenario : public RandomScenario {
 public:
  using RandomScenario::RandomScenario;
  size_t zone_constrained_jobs = 0;
  size_t lost_machines = 0;
  size_t services = 0;

  // Sums of nominations over all processes of all controllers, including crashed ones.
  struct NominationCounts {
    uint64_t created = 0, used = 0, cleared = 0, refused_allocations = 0;
  };
  NominationCounts nomination_counts() {
    NominationCounts sum;
    for (const auto* processes : {&site.nodes, &site.former_processes}) {
      for (const auto& process : *processes) {
        process->daemon->context().leader_state.with([&](cluster::LeaderState& state) {
          sum.created += state.nominations.created_count();
          sum.used += state.nominations.ended_count(preemption::NominationEnd::placed);
          sum.cleared += state.nominations.ended_count(preemption::NominationEnd::cleared);
          sum.refused_allocations += state.cluster.refused_allocations();
        });
      }
    }
    return sum;
  }

 protected:
  void prepare() override {
    site.cloud.types[0].zones = {"a", "b", "c"};
    site.cloud.capacity = {{"box/a/ordinary", 2},
                           {"box/b/ordinary", 2},
                           {"box/c/ordinary", 1},
                           {"box/b/spot", 1},
                           {"crate/a/ordinary", 1}};
    for (int i = 0; i < 2; ++i) site.loop.spawn(lose_machine(random_duration(12, 70)));
  }
  // The cloud takes back one running machine, with an interruption notice of 8 s in 60 % of the
  // cases. Its capacity then includes the lost machine again.
  Task<void> lose_machine(Nanos start_delay) {
    co_await site.loop.sleep(start_delay);
    std::vector<ScriptedWorker*> running;
    for (auto& [id, worker] : site.workers) {
      if (worker->powered_on) running.push_back(worker.get());
    }
    if (running.empty()) co_return;
    ScriptedWorker& lost = *running[pick(running.size())];
    if (chance(0.6)) {
      lost.interruption_notice = Seconds(8);
      co_await site.loop.sleep(seconds(8));
    }
    if (!lost.powered_on) co_return;  // returned to the cloud meanwhile
    lost.power_off();
    ScriptedCloud::Machine& machine = site.cloud.machines[lost.id];
    machine.removed = true;
    machine.removed_at = site.loop.now();
    ++site.cloud
          .capacity[machine.type + "/" + machine.zone + (machine.spot ? "/spot" : "/ordinary")];
    ++lost_machines;
  }
  size_t job_count() const override { return 14; }
  Nanos duration() const override { return seconds(700); }
  // 0 s to 7.5 s, so that faults can occur between a `run` command and the task's start.
  std::function<Nanos(const TaskRef&)> fetch_time() override {
    return [](const TaskRef& task) {
      return Nanos(Millis(500 * (std::hash<std::string>{}(task.text()) % 16)));
    };
  }

  JobSpec random_job(size_t index) override {
    JobSpec spec = job("run-0000" + std::to_string(10 + index), static_cast<uint32_t>(1 + pick(9)));
    spec.priority = std::vector<Priority>{Priority::low, Priority::normal, Priority::high,
                                          Priority::production}[pick(4)];
    spec.team = std::vector<std::string>{"red", "red", "blue", "tiny"}[pick(4)];
    if (chance(0.06) && spec.team != "tiny") {
      spec.tasks = static_cast<uint32_t>(100 + pick(50));
      spec.need.cpus = 0.5;
      spec.need.memory_gb = 0.5;
    }
    if (chance(0.3)) spec.checkpoint_interval = Seconds(5), spec.checkpoint_duration = Seconds(1);
    spec.gang = chance(0.25);
    if (spec.gang) spec.tasks = static_cast<uint32_t>(1 + pick(spec.team == "tiny" ? 2 : 5));
    const size_t zone_constraint = pick(10);
    spec.one_zone = zone_constraint < 4;
    spec.spread = zone_constraint >= 4 && zone_constraint < 8;
    if (spec.one_zone || spec.spread) ++zone_constrained_jobs;
    if (!spec.gang && chance(0.15)) spec.zone = std::vector<std::string>{"a", "b", "c"}[pick(3)];
    if (!spec.gang && !spec.zone && chance(0.15)) spec.types = {chance(0.5) ? "box" : "crate"};
    spec.spot = chance(0.5);
    if (!spec.gang && chance(0.2)) {
      // Small services of a team with a high limit: they run until the end, so they must leave
      // enough capacity for the other jobs.
      spec.service = true;
      spec.estimate = Seconds(0);
      spec.need = {0.25, 0, 0.5};
      spec.tasks = static_cast<uint32_t>(1 + pick(5));
      spec.team = "red";
      ++services;
    }
    return spec;
  }
};

class RandomPlacements : public testing::TestWithParam<uint32_t> {};

TEST_P(RandomPlacements, NoRuleIsViolated) {
  constexpr uint32_t kScenarios = 20;
  ScarceMachineScenario::NominationCounts sum;
  size_t zone_constrained_jobs = 0;
  size_t lost_machines = 0;
  size_t services = 0;
  for (uint32_t index = 0; index < kScenarios; ++index) {
    const uint32_t seed = GetParam() * kScenarios + index;
    SCOPED_TRACE("seed " + std::to_string(seed));
    ScarceMachineScenario scenario(seed);
    scenario.run();
    const auto counts = scenario.nomination_counts();
    sum.created += counts.created;
    sum.used += counts.used;
    sum.cleared += counts.cleared;
    sum.refused_allocations += counts.refused_allocations;
    zone_constrained_jobs += scenario.zone_constrained_jobs;
    lost_machines += scenario.lost_machines;
    services += scenario.services;
  }
  EXPECT_EQ(sum.refused_allocations, 0u) << "a plan violated its job's constraints";
  // The scenarios are only meaningful if they preempt, lose machines and contain such jobs.
  EXPECT_GT(sum.created, kScenarios);
  EXPECT_GT(sum.used, kScenarios / 2);
  EXPECT_GT(sum.cleared, 0u);
  EXPECT_GT(zone_constrained_jobs, kScenarios * 5);
  EXPECT_GT(lost_machines, kScenarios);
  EXPECT_GT(services, kScenarios);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomPlacements, testing::Range(1u, 7u));

}  // namespace
}  // namespace dunlinknot::test
