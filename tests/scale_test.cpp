// Tests with 4,000 to 6,000 machines: machine lists over several pages, responses at the size limit
// of a controller, a failover with 100,000 allocations, and the cancellation of a job of maximum
// size.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr size_t kMachines = 4000;
constexpr uint32_t kTasksPerMachine = 25;
constexpr uint64_t kPreviousEpoch = 5;
const std::string kLargest = "run-000001";

std::string machine_name(size_t number) {
  std::string digits = std::to_string(number);
  return "vm-" + std::string(6 - digits.size(), '0') + digits;
}

std::string job_record(const JobSpec& spec) {
  return wire::write_job_record({spec, WallTime(Millis(1'700'000'000'000))});
}

size_t known_machines(Site& site) {
  return site.daemon(*site.leader()).context().leader_state.with([](cluster::LeaderState& leader) {
    return leader.cluster.machines().size();
  });
}

size_t allocations(Site& site) {
  return site.daemon(*site.leader()).context().leader_state.with([](cluster::LeaderState& leader) {
    return leader.cluster.allocation_count();
  });
}

size_t known_jobs(Site& site) {
  return site.daemon(*site.leader()).context().leader_state.with([](cluster::LeaderState& leader) {
    return leader.cluster.jobs().size();
  });
}

// Answers every request with a watch response of a given size.
class LargeResponseTransport final : public http::Transport {
 public:
  Task<http::Reply> exchange(http::Call call) override {
    wire::Writer writer;
    writer.map(3).key("ledgerRev").count(7).key("news").list(0).key("padding");
    constexpr size_t kStringHeader = 5;
    writer.text(std::string(call.max_body + excess_bytes - writer.size() - kStringHeader, 'x'));
    co_return within_limit(call, reply(200, writer.take()));
  }
  size_t excess_bytes = 0;  // above the caller's limit on the body
};

TEST(Scale, WatchWithTooLargeResponseRequiresListing) {
  Simulation simulation;
  LargeResponseTransport transport;
  const settings::Platform platform = Site::platform(0, 1);
  kv::Client client(simulation.loop, transport, platform.key_value_store,
                    kv::Limits(platform.store_limits), 1.0);
  for (const size_t excess_bytes : {size_t{0}, size_t{1}}) {
    transport.excess_bytes = excess_bytes;
    const auto result = simulation.get(client.watch("job/", 3, Millis(100)));
    EXPECT_EQ(result.outcome, http::Outcome::ok);
    EXPECT_EQ(result.relist_required, excess_bytes > 0) << excess_bytes << " bytes above the limit";
  }
}

// Guards against a fault in which a watch whose response is too large was repeated unchanged: the
// leader received no changes of jobs until the store had compacted them.
TEST(Scale, JobChangesBeyondOneWatchResponseAreApplied) {
  Site site;
  site.run_for(seconds(3));
  ASSERT_EQ(site.submit(job(kLargest)).status, 201);
  site.run_for(seconds(1));
  constexpr size_t kJobs = 6000;
  JobSpec spec = job("run-100000");
  spec.image = std::string(100, 'i');
  for (size_t i = 0; i < 30; ++i) spec.types.push_back("box-" + std::string(30, 't'));
  ASSERT_GT(job_record(spec).size() * kJobs, size_t{4} * 1024 * 1024);
  for (size_t i = 0; i < kJobs; ++i) {
    spec.id = "run-" + std::to_string(100'000 + i);
    site.store.put(wire::job_key(spec.id), job_record(spec));
  }
  site.store.erase(wire::job_key(kLargest));
  site.run_for(seconds(5));
  EXPECT_EQ(known_jobs(site), kJobs);
}

TEST(Scale, ListOf6000MachinesLeavesRequestBudgetForLaunches) {
  Site site;
  constexpr size_t kListed = 6000;
  for (size_t i = 1; i <= kListed; ++i) {
    ScriptedCloud::Machine machine{"aa-" + machine_name(i), "box", "b", true,
                                   site.clock.now(),        false, {},  "10.1.0.1:9000"};
    site.cloud.machines[machine.id] = machine;
  }
  site.cloud.list_lag = Nanos(0);
  site.run_for(seconds(12));
  EXPECT_GE(known_machines(site), kListed);
  const uint64_t lists_before = site.cloud.lists;
  ASSERT_EQ(site.submit(job(kLargest)).status, 201);
  constexpr auto kWatched = seconds(20);
  site.run_for(kWatched);
  EXPECT_GE(site.cloud.launches, 1u)
      << "the job permits no spot machine, so an ordinary one must be launched";
  const double budget = kWatched.count() * site.rules_platform.cloud_rps;
  EXPECT_LT(static_cast<double>(site.cloud.lists - lists_before), budget * 0.7);
}

// 4,000 machines that run 25 tasks of one job each, and the machine records of a previous leader.
class FullCluster {
 public:
  FullCluster() {
    site.adjust_platform = [](settings::Platform& platform) {
      platform.teams = {{"red", 8, 1'000'000, 0, 0}};
    };
    site.cloud.types.front().size = {64, 0, 256};
    site.cloud.list_lag = Nanos(0);
    spec = job(kLargest, kMaxTasks);
    spec.need = {1, 0, 1};
    site.specs[kLargest] = spec;
    site.rules.submitted(spec);
    site.rules.submit_answered(kLargest, 201, "queued", site.clock.now());
    site.store.put(std::string(wire::kEpochKey), wire::write_epoch(kPreviousEpoch));
    site.store.put(wire::job_key(kLargest), job_record(spec));
    for (size_t i = 0; i < kMachines; ++i) add_machine(i);
    site.restart(0);
  }

  size_t running() const {
    size_t count = 0;
    for (const auto& [id, worker] : site.workers) count += worker->tasks.size();
    return count;
  }

  Site site;
  JobSpec spec;

 private:
  // Adds a machine, its worker with running tasks and its record.
  void add_machine(size_t number) {
    const ScriptedCloud::Machine machine{machine_name(number + 1), "box", "a", false,
                                         site.clock.now(),         false, {},  "10.1.0.1:9000"};
    site.cloud.machines[machine.id] = machine;
    site.add_worker(machine);
    ScriptedWorker& worker = *site.workers.at(machine.id);
    worker.fencing_token = kPreviousEpoch;
    wire::MachineRecord record{machine.type, machine.zone, worker.address, false, {}};
    wire::MachineRecord::Group group{kLargest, spec.team, spec.need, false, {}};
    for (uint32_t k = 0; k < kTasksPerMachine; ++k) {
      const TaskRef task{kLargest, static_cast<uint32_t>(number) * kTasksPerMachine + k};
      constexpr uint64_t kAttempt = 17;
      group.tasks.emplace_back(task.index, kAttempt);
      ScriptedWorker::Running running{task, kAttempt, TaskState::running, ExitCause::none, false,
                                      {},   {}};
      running.since = site.clock.now();
      running.ends = site.clock.now() + std::chrono::hours(1);
      worker.tasks[{task, kAttempt}] = running;
    }
    record.groups.push_back(std::move(group));
    site.store.put(wire::machine_key(machine.id), wire::write_machine_record(record));
  }
};

TEST(Scale, FailoverWith4000MachinesKeepsAllTasksAndCancelsLargestJob) {
  FullCluster cluster;
  Site& site = cluster.site;
  site.run_for(seconds(5));
  ASSERT_TRUE(site.leader().has_value());
  EXPECT_EQ(allocations(site), kMaxTasks);
  for (size_t i = 0; i < site.nodes.size(); ++i) site.restart(i);
  site.run_for(seconds(5));
  EXPECT_EQ(allocations(site), kMaxTasks) << "after a restart of all controllers";
  EXPECT_EQ(cluster.running(), kMaxTasks);
  EXPECT_EQ(site.starts, 0u) << "running tasks must not be started again";

  ASSERT_EQ(site.cancel(kLargest).status, 200);
  site.run_for(seconds(5));
  EXPECT_EQ(cluster.running(), 0u);
  expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::test
