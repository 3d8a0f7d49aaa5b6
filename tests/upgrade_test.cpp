// Two versions on each other's data: what a controller of the version before left in the state
// service, allocated halfway, cancelled or sent late, met by this version, and leaders of both in
// turn. The old side is played by its stored bytes, which golden_test.cpp holds to be those that
// this version writes too.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr auto kLongRun = std::chrono::minutes(10);

struct Upgrade : testing::Test {
  Site s{3};
  void SetUp() override {
    s.cloud.capacity = {{"box/a/ordinary", 3}, {"box/b/ordinary", 2}};
    s.run_for(seconds(2));
    ASSERT_TRUE(s.leader());
  }
  uint64_t epoch() const {
    const auto doc = wire::Document::parse(s.store.data.at(std::string(wire::kEpochKey)).value);
    return *wire::read_epoch(doc->root());
  }
  // A controller of the version before is elected: the epoch and the leader are its own.
  uint64_t old_version_takes_over() {
    const uint64_t mine = epoch() + 1;
    s.store.put(std::string(wire::kEpochKey), wire::write_epoch(mine));
    s.store.put(std::string(wire::kLeaderKey), wire::write_leader({"dunlin-old", mine}));
    return mine;
  }
  // Its lease on the key ends with it.
  void old_version_ends() { s.store.erase(std::string(wire::kLeaderKey)); }
  static uint64_t attempt_of(uint64_t epoch, uint64_t n) { return epoch << 24 | n; }
  void old_version_allocates(const std::string& machine, const JobSpec& spec, uint64_t attempt,
                             const std::vector<uint32_t>& tasks) {
    wire::MachineRecord record;
    const ScriptedCloud::Machine& this_machine = s.cloud.machines.at(machine);
    record.type = this_machine.type;
    record.zone = this_machine.zone;
    record.address = s.workers.at(machine)->address;
    record.groups.push_back({spec.id, spec.team, spec.need, spec.gang, {}});
    for (const uint32_t i : tasks) record.groups[0].tasks.emplace_back(i, attempt);
    s.store.put(wire::machine_key(machine), wire::write_machine_record(record));
  }
  // A cancellation as a controller of the version before confirms it.
  void old_version_cancels(const JobSpec& spec) {
    s.rules.cancel_requested(spec.id);
    s.store.put(wire::final_key(spec.id), wire::write_final({true, spec.tasks}));
    s.store.erase(wire::job_key(spec.id));
  }
  void run_long_tasks() {
    s.on_worker = [](ScriptedWorker& worker) {
      worker.run_time = [](const TaskRef&) { return kLongRun; };
    };
  }
  // The job is done by then, whoever leads, and no rule was broken.
  void expect_done(const JobSpec& spec, Nanos within) {
    s.run_for(within);
    ASSERT_TRUE(s.leader());
    EXPECT_EQ(s.job_state(spec.id, *s.leader()), "done");
    expect_no_violations(s);
  }
  size_t on_machines(const JobSpec& spec) const {
    size_t n = 0;
    for (uint32_t i = 0; i < spec.tasks; ++i) n += s.copies({spec.id, i});
    return n;
  }
};

TEST_F(Upgrade, LeadershipGoesToTheOldVersionAndBackWithinASecond) {
  const JobSpec spec = job("run-000001", 12);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(5));
  for (int k = 0; k < 3; ++k) {
    old_version_takes_over();
    s.run_for(Millis(400));
    old_version_ends();
    s.run_for(seconds(4));
  }
  expect_done(spec, seconds(90));
}

TEST_F(Upgrade, LeadershipChangesAmidAnOutageOfTheStateService) {
  const JobSpec spec = job("run-000001", 12);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(4));
  old_version_takes_over();
  s.store.outage = true;
  s.run_for(seconds(12));
  s.store.end_outage();
  s.run_for(Millis(300));
  old_version_ends();
  expect_done(spec, seconds(120));
}

TEST_F(Upgrade, AGangThatTheOldVersionAllocatedHalfwayRunsWholeAndOnce) {
  const JobSpec warm = job("run-000009", 8);
  ASSERT_EQ(s.submit(warm).status, 201);
  s.run_for(seconds(8));
  ASSERT_GE(s.workers.size(), 1u);
  JobSpec gang = job("run-000001", 4);
  gang.gang = true;
  const uint64_t old_epoch = old_version_takes_over();
  ASSERT_EQ(s.submit(gang, 1).status, 201);
  old_version_allocates(s.workers.begin()->first, gang, attempt_of(old_epoch, 1), {0, 1});
  s.run_for(Millis(500));
  old_version_ends();
  expect_done(gang, seconds(150));
}

TEST_F(Upgrade, AnArrayAllocatedByTheOldVersionWhoseRunsNeverWentOutRuns) {
  const JobSpec warm = job("run-000009", 8);
  ASSERT_EQ(s.submit(warm).status, 201);
  s.run_for(seconds(8));
  const JobSpec spec = job("run-000001", 6);
  const uint64_t old_epoch = old_version_takes_over();
  ASSERT_EQ(s.submit(spec, 1).status, 201);
  old_version_allocates(s.workers.begin()->first, spec, attempt_of(old_epoch, 7), {0, 1, 2});
  old_version_ends();
  expect_done(spec, seconds(120));
}

TEST_F(Upgrade, AServiceFoundInTheOldVersionsRecordsRunsOnAndItsProgressIsNothing) {
  run_long_tasks();
  JobSpec api = job("run-000001", 3);
  api.service = true;
  api.estimate = Seconds(0);
  ASSERT_EQ(s.submit(api).status, 201);
  s.run_for(seconds(15));
  ASSERT_EQ(on_machines(api), 3u);
  old_version_takes_over();
  s.store.put(wire::done_key(api.id, 0), wire::write_done_chunk({true, true, true}, 0));
  s.run_for(Millis(500));
  old_version_ends();
  s.run_for(seconds(60));
  ASSERT_TRUE(s.leader());
  EXPECT_EQ(on_machines(api), 3u);
  EXPECT_NE(s.job_state(api.id, *s.leader()), "done");
  ASSERT_EQ(s.cancel(api.id, *s.leader()).status, 200);
  s.run_for(seconds(30));
  EXPECT_EQ(on_machines(api), 0u);
  EXPECT_FALSE(s.store.data.contains(wire::done_key(api.id, 0)));
  expect_no_violations(s);
}

TEST_F(Upgrade, ACancellationConfirmedByAnOldControllerStopsWhatANewOneLeads) {
  run_long_tasks();
  const JobSpec spec = job("run-000001", 6);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(15));
  ASSERT_EQ(on_machines(spec), 6u);
  old_version_cancels(spec);
  s.run_for(seconds(10));
  EXPECT_EQ(on_machines(spec), 0u);
  EXPECT_EQ(s.job_state(spec.id), "cancelled");
  EXPECT_EQ(s.submit(spec).status, 200);
  expect_no_violations(s);
}

TEST_F(Upgrade, ACancellationAmidAChangeToTheOldVersionAndBackIsKept) {
  run_long_tasks();
  const JobSpec spec = job("run-000001", 6);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(15));
  old_version_takes_over();
  old_version_cancels(spec);
  s.run_for(Millis(600));
  old_version_ends();
  s.run_for(seconds(30));
  EXPECT_EQ(on_machines(spec), 0u);
  expect_no_violations(s);
}

TEST_F(Upgrade, ALateWriteOfAnOldLeaderOnANewOnesRecordIsReadBackAndNothingRunsTwice) {
  const JobSpec spec = job("run-000001", 20);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(6));
  ASSERT_GE(s.workers.size(), 1u);
  const std::string machine = s.workers.begin()->first;
  const auto stored = s.store.data.find(wire::machine_key(machine));
  ASSERT_NE(stored, s.store.data.end());
  for (int k = 0; k < 4; ++k) {
    // The same contents under another mod revision: the new leader's next write meets a guard that
    // fails.
    s.store.put(wire::machine_key(machine), std::string(stored->second.value));
    s.run_for(Millis(700));
  }
  s.run_for(seconds(120));
  EXPECT_EQ(s.job_state(spec.id, *s.leader()), "done");
  expect_no_violations(s);
}

TEST_F(Upgrade, ALateCommandOfAnOldLeaderIsRefusedByTheWorkers) {
  run_long_tasks();
  const JobSpec spec = job("run-000001", 4);
  ASSERT_EQ(s.submit(spec).status, 201);
  s.run_for(seconds(15));
  s.crash(*s.leader());
  s.run_for(seconds(20));
  ASSERT_TRUE(s.leader());
  for (auto& [id, w] : s.workers) {
    http::Call late;
    late.method = "POST";
    late.target = "/do";
    late.deadline = s.loop.now() + seconds(2);
    std::vector<Command> stops;
    for (const auto& [key, task] : w->tasks) {
      stops.push_back({Command::Op::stop, key.first, key.second, Seconds(0)});
    }
    late.body = wire::write_commands(w->fencing_token - 1, w->incarnation, stops);
    EXPECT_EQ(s.get(w->serve_command(std::move(late))).status, 409);
  }
  EXPECT_EQ(on_machines(spec), 4u);
  expect_no_violations(s);
}

TEST_F(Upgrade, AProcessThatEndsRightAfterItsFirstWriteLeavesNothingHalfDone) {
  const JobSpec spec = job("run-000001", 8);
  ASSERT_EQ(s.submit(spec).status, 201);
  bool written = false;
  s.store.call_fault = [&](const http::Call& call) {
    written |= is_transaction_on(call, "host/");
    return CallFault::none;
  };
  for (int k = 0; k < 2000 && !written; ++k) s.run_for(Millis(5));
  ASSERT_TRUE(written);
  s.run_for(Millis(4));
  s.restart(*s.leader());
  s.store.call_fault = nullptr;
  expect_done(spec, seconds(120));
}

TEST_F(Upgrade, AllEndAtOnceHalfwayAndComeBack) {
  const JobSpec spec = job("run-000001", 16);
  JobSpec gang = job("run-000002", 3);
  gang.gang = true;
  ASSERT_EQ(s.submit(spec).status, 201);
  ASSERT_EQ(s.submit(gang).status, 201);
  for (const auto away : {Millis(300), Millis(9000), Millis(20'000)}) {
    s.run_for(seconds(5));
    for (size_t i = 0; i < 3; ++i) s.crash(i);
    s.run_for(away);
    for (size_t i = 0; i < 3; ++i) s.restart(i);
  }
  s.run_for(seconds(150));
  ASSERT_TRUE(s.leader());
  EXPECT_EQ(s.job_state(spec.id, *s.leader()), "done");
  EXPECT_EQ(s.job_state(gang.id, *s.leader()), "done");
  expect_no_violations(s);
}

TEST_F(Upgrade, TheRollAcrossAllProcessesOneByOneWhileTheLimitsFallLosesNothing) {
  for (size_t n = 0; n < 10; ++n) {
    ASSERT_EQ(s.submit(job("run-00001" + std::to_string(n), 6)).status, 201);
  }
  const settings::StoreLimits next{1000, 40, 2048, 5};
  s.adjust_platform = [&](settings::Platform& platform) { platform.next_store_limits = next; };
  for (size_t i = 0; i < 3; ++i) {
    s.run_for(seconds(4));
    s.restart(i);
  }
  s.run_for(seconds(2));
  s.store.limits = next;
  s.restart(1);  // and one ends again amid that
  s.run_for(seconds(120));
  for (size_t n = 0; n < 10; ++n) {
    EXPECT_EQ(s.job_state("run-00001" + std::to_string(n), *s.leader()), "done") << n;
  }
  expect_no_violations(s);
}

}  // namespace
}  // namespace dunlinknot::test
