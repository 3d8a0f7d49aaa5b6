// Random scenarios in which room has to be made: scarce machines in three uneven zones, several
// priorities, jobs bound to zones, types and kinds of machines, and troubles while victims leave.
#include "random_scenario.hpp"

namespace dunlinknot::test {
namespace {

class ScarceMachines : public RandomScenario {
 public:
  using RandomScenario::RandomScenario;
  size_t zone_bound_jobs = 0;
  size_t lost_machines = 0;
  size_t services = 0;

  // Nominations over all processes of all controllers, those that crashed too.
  struct Preemptions {
    uint64_t made = 0, used = 0, cleared = 0, refused_allocations = 0;
  };
  Preemptions preemptions() {
    Preemptions sum;
    for (const auto* processes : {&s.nodes, &s.graveyard}) {
      for (const auto& n : *processes) {
        n->daemon->context().leader_state.with([&](cluster::LeaderState& state) {
          sum.made += state.nominations.created_count();
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
    s.cloud.types[0].zones = {"a", "b", "c"};
    s.cloud.capacity = {{"box/a/ordinary", 2},
                        {"box/b/ordinary", 2},
                        {"box/c/ordinary", 1},
                        {"box/b/spot", 1},
                        {"crate/a/ordinary", 1}};
    for (int k = 0; k < 2; ++k) s.loop.spawn(lose_machine(in(12, 70)));
  }
  // One that is up goes, most often with a notice; the cloud has as many as before.
  Task<void> lose_machine(Nanos begins) {
    co_await s.loop.sleep(begins);
    std::vector<ScriptedWorker*> up;
    for (auto& [id, w] : s.workers) {
      if (w->powered_on) up.push_back(w.get());
    }
    if (up.empty()) co_return;
    ScriptedWorker& worker = *up[pick(up.size())];
    if (chance(0.6)) {
      worker.interruption_notice = Seconds(8);
      co_await s.loop.sleep(seconds(8));
    }
    if (!worker.powered_on) co_return;  // returned meanwhile
    worker.power_off();
    ScriptedCloud::Machine& machine = s.cloud.machines[worker.id];
    machine.removed = true;
    machine.removed_at = s.loop.now();
    ++s.cloud.capacity[machine.type + "/" + machine.zone + (machine.spot ? "/spot" : "/ordinary")];
    ++lost_machines;
  }
  size_t job_count() const override { return 14; }
  Nanos duration() const override { return seconds(700); }
  // Up to some seconds, so that much may happen between a `run` and the task's start.
  std::function<Nanos(const TaskRef&)> fetch_time() override {
    return [](const TaskRef& task) {
      return Nanos(Millis(500 * (std::hash<std::string>{}(task.text()) % 16)));
    };
  }

  JobSpec draw_job(size_t n) override {
    JobSpec spec = job("run-0000" + std::to_string(10 + n), static_cast<uint32_t>(1 + pick(9)));
    spec.priority = std::vector<Priority>{Priority::low, Priority::normal, Priority::high,
                                          Priority::production}[pick(4)];
    spec.team = std::vector<std::string>{"red", "red", "blue", "tiny"}[pick(4)];
    if (chance(0.06) && spec.team != "tiny") {
      spec.tasks = static_cast<uint32_t>(100 + pick(50));
      spec.need.cpus = 0.5;
      spec.need.memory_gb = 0.5;
    }
    if (chance(0.3)) spec.checkpoint = Seconds(5), spec.save = Seconds(1);
    spec.gang = chance(0.25);
    if (spec.gang) spec.tasks = static_cast<uint32_t>(1 + pick(spec.team == "tiny" ? 2 : 5));
    const size_t zone_rule = pick(10);
    spec.one_zone = zone_rule < 4;
    spec.spread = zone_rule >= 4 && zone_rule < 8;
    if (spec.one_zone || spec.spread) ++zone_bound_jobs;
    if (!spec.gang && chance(0.15)) spec.zone = std::vector<std::string>{"a", "b", "c"}[pick(3)];
    if (!spec.gang && !spec.zone && chance(0.15)) spec.types = {chance(0.5) ? "box" : "crate"};
    spec.spot = chance(0.5);
    if (!spec.gang && chance(0.2)) {
      // Small ones, within a large limit: they stay, and must leave the other jobs what these need.
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

TEST_P(RandomPlacements, BreakNoRule) {
  constexpr uint32_t kScenarios = 20;
  ScarceMachines::Preemptions sum;
  size_t zone_bound_jobs = 0;
  size_t lost_machines = 0;
  size_t services = 0;
  for (uint32_t k = 0; k < kScenarios; ++k) {
    const uint32_t seed = GetParam() * kScenarios + k;
    SCOPED_TRACE("seed " + std::to_string(seed));
    ScarceMachines scenario(seed);
    scenario.play();
    const auto p = scenario.preemptions();
    sum.made += p.made;
    sum.used += p.used;
    sum.cleared += p.cleared;
    sum.refused_allocations += p.refused_allocations;
    zone_bound_jobs += scenario.zone_bound_jobs;
    lost_machines += scenario.lost_machines;
    services += scenario.services;
  }
  EXPECT_EQ(sum.refused_allocations, 0u) << "a plan broke its job's constraints";
  // A generator that preempts nobody would show nothing.
  EXPECT_GT(sum.made, kScenarios);
  EXPECT_GT(sum.used, kScenarios / 2);
  EXPECT_GT(sum.cleared, 0u);
  EXPECT_GT(zone_bound_jobs, kScenarios * 5);
  EXPECT_GT(lost_machines, kScenarios);
  EXPECT_GT(services, kScenarios);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomPlacements, testing::Range(1u, 7u));

}  // namespace
}  // namespace dunlinknot::test
