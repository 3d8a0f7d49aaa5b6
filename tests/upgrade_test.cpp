// Two versions on the same stored data: this version reads what a controller of the previous
// version wrote, including partial allocations, cancellations and late writes, while leaders of
// both versions alternate. The previous version is represented by its records in the key-value
// store; golden_test.cpp verifies that this version writes the same bytes.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr auto kLongRun = std::chrono::minutes(10);

struct Upgrade : testing::Test {
  Site site{3};
  void SetUp() override {
    site.cloud.capacity = {{"box/a/ordinary", 3}, {"box/b/ordinary", 2}};
    site.run_for(seconds(2));
    ASSERT_TRUE(site.leader());
  }
  uint64_t epoch() const {
    const auto doc = wire::Document::parse(site.store.data.at(std::string(wire::kEpochKey)).value);
    return *wire::read_epoch(doc->root());
  }
  // A controller of the previous version is elected under a new epoch, which is returned.
  uint64_t elect_old_version() {
    const uint64_t new_epoch = epoch() + 1;
    site.store.put(std::string(wire::kEpochKey), wire::write_epoch(new_epoch));
    site.store.put(std::string(wire::kLeaderKey), wire::write_leader({"dunlin-old", new_epoch}));
    return new_epoch;
  }
  // The process of the previous version ends, and with it its lease on the leader key.
  void end_old_version() { site.store.erase(std::string(wire::kLeaderKey)); }
  // An attempt number: the epoch in the high bits, a counter in the low 24 bits.
  static uint64_t attempt_of(uint64_t epoch, uint64_t counter) { return epoch << 24 | counter; }
  // Writes a machine record with these tasks, as a leader of the previous version does.
  void allocate_by_old_version(const std::string& machine, const JobSpec& spec, uint64_t attempt,
                               const std::vector<uint32_t>& tasks) {
    wire::MachineRecord record;
    const ScriptedCloud::Machine& cloud_machine = site.cloud.machines.at(machine);
    record.type = cloud_machine.type;
    record.zone = cloud_machine.zone;
    record.address = site.workers.at(machine)->address;
    record.groups.push_back({spec.id, spec.team, spec.need, spec.gang, {}});
    for (const uint32_t i : tasks) record.groups[0].tasks.emplace_back(i, attempt);
    site.store.put(wire::machine_key(machine), wire::write_machine_record(record));
  }
  // Writes a cancellation, as a controller of the previous version does before it confirms it.
  void cancel_by_old_version(const JobSpec& spec) {
    site.rules.cancel_requested(spec.id);
    site.store.put(wire::final_key(spec.id), wire::write_final({true, spec.tasks}));
    site.store.erase(wire::job_key(spec.id));
  }
  // Tasks on workers that are added after this call run for kLongRun.
  void use_long_run_time() {
    site.on_worker = [](ScriptedWorker& worker) {
      worker.run_time = [](const TaskRef&) { return kLongRun; };
    };
  }
  // Expects that the job is done after `timeout` under any leader, and that no rule was violated.
  void expect_done_after(const JobSpec& spec, Nanos timeout) {
    site.run_for(timeout);
    ASSERT_TRUE(site.leader());
    EXPECT_EQ(site.job_state(spec.id, *site.leader()), "done");
    expect_no_violations(site);
  }
  size_t running_tasks(const JobSpec& spec) const {
    size_t count = 0;
    for (uint32_t i = 0; i < spec.tasks; ++i) count += site.copies({spec.id, i});
    return count;
  }
};

TEST_F(Upgrade, LeadershipMovesToOldVersionAndBackWithinOneSecond) {
  const JobSpec spec = job("run-000001", 12);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(5));
  for (int change = 0; change < 3; ++change) {
    elect_old_version();
    site.run_for(Millis(400));
    end_old_version();
    site.run_for(seconds(4));
  }
  expect_done_after(spec, seconds(90));
}

TEST_F(Upgrade, LeadershipChangesDuringStoreOutage) {
  const JobSpec spec = job("run-000001", 12);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(4));
  elect_old_version();
  site.store.outage = true;
  site.run_for(seconds(12));
  site.store.end_outage();
  site.run_for(Millis(300));
  end_old_version();
  expect_done_after(spec, seconds(120));
}

TEST_F(Upgrade, GangPartiallyAllocatedByOldVersionRunsOnce) {
  const JobSpec earlier_job = job("run-000009", 8);
  ASSERT_EQ(site.submit(earlier_job).status, 201);
  site.run_for(seconds(8));
  ASSERT_GE(site.workers.size(), 1u);
  JobSpec gang = job("run-000001", 4);
  gang.gang = true;
  const uint64_t old_epoch = elect_old_version();
  ASSERT_EQ(site.submit(gang, 1).status, 201);
  allocate_by_old_version(site.workers.begin()->first, gang, attempt_of(old_epoch, 1), {0, 1});
  site.run_for(Millis(500));
  end_old_version();
  expect_done_after(gang, seconds(150));
}

TEST_F(Upgrade, ArrayAllocatedByOldVersionWithoutRunCommandsRuns) {
  const JobSpec earlier_job = job("run-000009", 8);
  ASSERT_EQ(site.submit(earlier_job).status, 201);
  site.run_for(seconds(8));
  const JobSpec spec = job("run-000001", 6);
  const uint64_t old_epoch = elect_old_version();
  ASSERT_EQ(site.submit(spec, 1).status, 201);
  allocate_by_old_version(site.workers.begin()->first, spec, attempt_of(old_epoch, 7), {0, 1, 2});
  end_old_version();
  expect_done_after(spec, seconds(120));
}

TEST_F(Upgrade, ServiceOfOldVersionKeepsRunningAndItsProgressIsIgnored) {
  use_long_run_time();
  JobSpec service = job("run-000001", 3);
  service.service = true;
  service.estimate = Seconds(0);
  ASSERT_EQ(site.submit(service).status, 201);
  site.run_for(seconds(15));
  ASSERT_EQ(running_tasks(service), 3u);
  elect_old_version();
  site.store.put(wire::done_key(service.id, 0), wire::write_done_chunk({true, true, true}, 0));
  site.run_for(Millis(500));
  end_old_version();
  site.run_for(seconds(60));
  ASSERT_TRUE(site.leader());
  EXPECT_EQ(running_tasks(service), 3u);
  EXPECT_NE(site.job_state(service.id, *site.leader()), "done");
  ASSERT_EQ(site.cancel(service.id, *site.leader()).status, 200);
  site.run_for(seconds(30));
  EXPECT_EQ(running_tasks(service), 0u);
  EXPECT_FALSE(site.store.data.contains(wire::done_key(service.id, 0)));
  expect_no_violations(site);
}

TEST_F(Upgrade, CancellationConfirmedByOldControllerStopsTasksOfNewLeader) {
  use_long_run_time();
  const JobSpec spec = job("run-000001", 6);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(15));
  ASSERT_EQ(running_tasks(spec), 6u);
  cancel_by_old_version(spec);
  site.run_for(seconds(10));
  EXPECT_EQ(running_tasks(spec), 0u);
  EXPECT_EQ(site.job_state(spec.id), "cancelled");
  EXPECT_EQ(site.submit(spec).status, 200);
  expect_no_violations(site);
}

TEST_F(Upgrade, CancellationDuringChangeToOldVersionAndBackIsKept) {
  use_long_run_time();
  const JobSpec spec = job("run-000001", 6);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(15));
  elect_old_version();
  cancel_by_old_version(spec);
  site.run_for(Millis(600));
  end_old_version();
  site.run_for(seconds(30));
  EXPECT_EQ(running_tasks(spec), 0u);
  expect_no_violations(site);
}

TEST_F(Upgrade, LateWriteOfOldLeaderIsReadBackAndNoTaskRunsTwice) {
  const JobSpec spec = job("run-000001", 20);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(6));
  ASSERT_GE(site.workers.size(), 1u);
  const std::string machine = site.workers.begin()->first;
  const auto stored = site.store.data.find(wire::machine_key(machine));
  ASSERT_NE(stored, site.store.data.end());
  for (int i = 0; i < 4; ++i) {
    // The same contents under another mod revision: the compare-and-swap of the new leader's next
    // write fails.
    site.store.put(wire::machine_key(machine), std::string(stored->second.value));
    site.run_for(Millis(700));
  }
  site.run_for(seconds(120));
  EXPECT_EQ(site.job_state(spec.id, *site.leader()), "done");
  expect_no_violations(site);
}

TEST_F(Upgrade, LateCommandOfOldLeaderIsRejectedByWorkers) {
  use_long_run_time();
  const JobSpec spec = job("run-000001", 4);
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(15));
  site.crash(*site.leader());
  site.run_for(seconds(20));
  ASSERT_TRUE(site.leader());
  for (auto& [id, worker] : site.workers) {
    http::Call late_call;
    late_call.method = "POST";
    late_call.target = "/do";
    late_call.deadline = site.loop.now() + seconds(2);
    std::vector<Command> stops;
    for (const auto& [key, task] : worker->tasks) {
      stops.push_back({Command::Op::stop, key.first, key.second, Seconds(0)});
    }
    late_call.body = wire::write_commands(worker->fencing_token - 1, worker->incarnation, stops);
    EXPECT_EQ(site.get(worker->serve_command(std::move(late_call))).status, 409);
  }
  EXPECT_EQ(running_tasks(spec), 4u);
  expect_no_violations(site);
}

TEST_F(Upgrade, RestartAfterFirstWriteCompletesJob) {
  const JobSpec spec = job("run-000001", 8);
  ASSERT_EQ(site.submit(spec).status, 201);
  bool written = false;
  site.store.call_fault = [&](const http::Call& call) {
    written |= is_transaction_on(call, "host/");
    return CallFault::none;
  };
  for (int i = 0; i < 2000 && !written; ++i) site.run_for(Millis(5));
  ASSERT_TRUE(written);
  site.run_for(Millis(4));
  site.restart(*site.leader());
  site.store.call_fault = nullptr;
  expect_done_after(spec, seconds(120));
}

TEST_F(Upgrade, RestartsOfAllControllersCompleteJobs) {
  const JobSpec spec = job("run-000001", 16);
  JobSpec gang = job("run-000002", 3);
  gang.gang = true;
  ASSERT_EQ(site.submit(spec).status, 201);
  ASSERT_EQ(site.submit(gang).status, 201);
  for (const auto downtime : {Millis(300), Millis(9000), Millis(20'000)}) {
    site.run_for(seconds(5));
    for (size_t i = 0; i < 3; ++i) site.crash(i);
    site.run_for(downtime);
    for (size_t i = 0; i < 3; ++i) site.restart(i);
  }
  site.run_for(seconds(150));
  ASSERT_TRUE(site.leader());
  EXPECT_EQ(site.job_state(spec.id, *site.leader()), "done");
  EXPECT_EQ(site.job_state(gang.id, *site.leader()), "done");
  expect_no_violations(site);
}

TEST_F(Upgrade, RollingUpgradeWithLowerStoreLimitsCompletesAllJobs) {
  for (size_t n = 0; n < 10; ++n) {
    ASSERT_EQ(site.submit(job("run-00001" + std::to_string(n), 6)).status, 201);
  }
  const settings::StoreLimits next_limits{1000, 40, 2048, 5};
  site.adjust_platform = [&](settings::Platform& platform) {
    platform.next_store_limits = next_limits;
  };
  for (size_t i = 0; i < 3; ++i) {
    site.run_for(seconds(4));
    site.restart(i);
  }
  site.run_for(seconds(2));
  site.store.limits = next_limits;
  site.restart(1);  // one more restart during the change of limits
  site.run_for(seconds(120));
  for (size_t n = 0; n < 10; ++n) {
    EXPECT_EQ(site.job_state("run-00001" + std::to_string(n), *site.leader()), "done") << n;
  }
  expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::test
