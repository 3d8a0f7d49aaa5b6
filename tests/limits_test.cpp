// The key-value store may switch to the announced lower limits at any time. All writes must fit the
// lower limits, wherever the switch happens, and no accepted job may be lost.
#include "dunlinknot/kv/limits.hpp"

#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr size_t kAnnouncedValueBytes = 2048;
constexpr settings::StoreLimits kAnnouncedLimits{1000, 40, kAnnouncedValueBytes, 5};

// An id of the longest permitted form.
std::string job_id_with_digits(size_t digits) {
  return "run-" + std::string(digits, '9');
}

TEST(Limits, AnnouncedLimitsApplyOnlyAfterRefusalThatTheyExplain) {
  const settings::StoreLimits present{200, 80, 16384, 16};
  kv::Limits limits(present, kAnnouncedLimits);
  EXPECT_EQ(limits.value_bytes(), kAnnouncedValueBytes)
      << "the lower value limit applies from the start";
  EXPECT_EQ(limits.txn_ops(), 16u);
  EXPECT_FALSE(limits.on_rejected_transaction(
      {.writes = kAnnouncedLimits.txn_ops, .largest_value = kAnnouncedLimits.value_bytes}))
      << "both are exactly at the limit";
  EXPECT_EQ(limits.txn_ops(), 16u);
  EXPECT_TRUE(limits.on_rejected_transaction(
      {.writes = kAnnouncedLimits.txn_ops + 1, .largest_value = 10}));
  EXPECT_EQ(limits.txn_ops(), kAnnouncedLimits.txn_ops);
  EXPECT_EQ(limits.write_rps(), kAnnouncedLimits.write_rps);

  kv::Limits by_value(present, kAnnouncedLimits);
  EXPECT_TRUE(by_value.on_rejected_transaction(
      {.writes = 1, .largest_value = kAnnouncedLimits.value_bytes + 1}));
  EXPECT_EQ(by_value.txn_ops(), kAnnouncedLimits.txn_ops);

  kv::Limits by_rate(present, kAnnouncedLimits);
  EXPECT_TRUE(by_rate.on_throttled(true));
  EXPECT_EQ(by_rate.write_rps(), kAnnouncedLimits.write_rps);
  EXPECT_FALSE(by_rate.on_throttled(true)) << "the announced limits are already in force";

  kv::Limits unannounced(present);
  EXPECT_FALSE(unannounced.on_rejected_transaction({.writes = 100, .largest_value = 100'000}));
  EXPECT_FALSE(unannounced.on_throttled(true));
  EXPECT_EQ(unannounced.value_bytes(), present.value_bytes);
  EXPECT_EQ(unannounced.txn_ops(), present.txn_ops);
}

// Guards against lowered limits that stay unrecognised because the refused transaction has few
// writes and small values, but more compares than the announced limits permit.
TEST(Limits, AnnouncedLimitsApplyAfterRefusalForTooManyCompares) {
  const settings::StoreLimits present{200, 80, 16384, 16};
  constexpr size_t kComparesPerWrite = 4;  // by the protocol
  constexpr size_t kPermitted = kComparesPerWrite * kAnnouncedLimits.txn_ops;
  kv::Limits limits(present, kAnnouncedLimits);
  EXPECT_FALSE(limits.on_rejected_transaction({.writes = 2, .compares = kPermitted}));
  EXPECT_EQ(limits.max_compares(), kComparesPerWrite * present.txn_ops);
  EXPECT_TRUE(limits.on_rejected_transaction({.writes = 2, .compares = kPermitted + 1}));
  EXPECT_EQ(limits.max_compares(), kPermitted);
  EXPECT_EQ(limits.txn_ops(), kAnnouncedLimits.txn_ops);
}

// Guards against a lowered rate of requests that a node without writes never recognises.
TEST(Limits, AnnouncedLimitsApplyAfterThrottledReadOnlyIfTheyLowerTheRateOfRequests) {
  const settings::StoreLimits present{200, 80, 16384, 16};
  settings::StoreLimits announced = present;
  announced.write_rps = 40;
  kv::Limits fewer_writes(present, announced);
  EXPECT_FALSE(fewer_writes.on_throttled(false));
  EXPECT_EQ(fewer_writes.write_rps(), present.write_rps);
  announced.rps = 100;
  kv::Limits fewer_requests(present, announced);
  EXPECT_TRUE(fewer_requests.on_throttled(false));
  EXPECT_EQ(fewer_requests.rps(), announced.rps);
  EXPECT_EQ(fewer_requests.write_rps(), announced.write_rps);
}

// Guards against values that the settings permit but that no transaction can contain.
TEST(Limits, ValueLimitLeavesRoomForComparesInTransaction) {
  constexpr settings::StoreLimits kLargeValues{200, 80, size_t{1} << 20, 16};
  const kv::Limits limits(kLargeValues);
  kv::Transaction transaction;
  std::string key = "host/vm-";
  key.resize(200, '0');  // the longest key
  wire::Writer value;
  value.text(std::string(limits.value_bytes() - 2, 'x'));  // two quotes are added in JSON
  transaction.writes.push_back({key, value.take(), 0});
  for (size_t i = 0; i < limits.max_compares() - 1; ++i)
    transaction.compares.push_back({wire::job_key(job_id_with_digits(18)), ~uint64_t{0}});
  transaction.compares.push_back({key, ~uint64_t{0}});
  EXPECT_LE(kv::size_of(transaction).total, kv::Limits::kMaxTransactionBytes);
}

TEST(Limits, ProgressChunkFitsValueLimitAndIsReadBack) {
  const std::vector<bool> all_done(wire::kChunkTasks, true);
  const auto size = [&](uint32_t storable) {
    const std::string packed = wire::write_done_chunk(all_done, 0, storable);
    return compact_json_size(wire::Document::parse(packed)->root());
  };
  EXPECT_GT(size(wire::kChunkTasks), kAnnouncedValueBytes)
      << "a full chunk exceeds the announced limit";
  for (const size_t limit : {kAnnouncedValueBytes - 1, kAnnouncedValueBytes,
                             kAnnouncedValueBytes + 1, size_t{6} * 1024}) {
    const uint32_t storable = wire::storable_chunk_tasks(limit);
    EXPECT_LE(size(storable), limit);
    EXPECT_GT(storable, wire::kChunkTasks * 9 / 10);
  }
  const uint32_t storable = wire::storable_chunk_tasks(kAnnouncedValueBytes);
  std::vector<bool> read_back(wire::kChunkTasks);
  const std::string packed = wire::write_done_chunk(all_done, 0, storable);
  ASSERT_TRUE(wire::read_done_chunk(wire::Document::parse(packed)->root(), 0, read_back));
  EXPECT_EQ(static_cast<uint32_t>(std::count(read_back.begin(), read_back.end(), true)), storable);
}

TEST(Limits, TasksBeyondStorableChunkAreNotDurableAndDoNotMarkItDirty) {
  constexpr uint32_t kStorable = 100;
  cluster::Job open_job(job("run-000001", 200), WallTime{}, 1, 0, Instant{}, kStorable);
  open_job.mark_done(kStorable);
  EXPECT_TRUE(open_job.dirty_chunks().empty());
  open_job.mark_done(kStorable - 1);
  ASSERT_EQ(open_job.dirty_chunks().size(), 1u);
  open_job.chunk_stored(0, open_job.done_bits(), 7);
  EXPECT_TRUE(open_job.dirty_chunks().empty());
  EXPECT_TRUE(open_job.is_durable(kStorable - 1));
  EXPECT_FALSE(open_job.is_durable(kStorable)) << "the worker must not be sent a `forget` for it";
}

// A site whose key-value store switches to the lower limits when the test calls apply_lower_limits.
struct LowerLimits : testing::Test {
  // Minimum number of jobs, with one task each, that fit into a machine record under the lower
  // limit.
  static constexpr size_t kMinJobsPerRecord = 12;
  Site site{3};
  void SetUp() override {
    site.adjust_platform = [](settings::Platform& platform) {
      platform.next_store_limits = kAnnouncedLimits;
    };
    for (size_t i = 0; i < site.nodes.size(); ++i) site.restart(i);
    for (const char* zone : {"a", "b"}) {
      site.cloud.capacity[std::string("box/") + zone + "/ordinary"] = 30;
    }
    site.operator_settings.max_machines = 60;
    site.run_for(seconds(3));
    ASSERT_TRUE(site.leader());
  }
  void apply_lower_limits() { site.store.limits = kAnnouncedLimits; }
  bool is_done(const std::string& id) { return site.job_state(id) == "done"; }
  static std::string job_id(size_t n) { return "run-00" + std::to_string(1000 + n); }
};

TEST_F(LowerLimits, GangCompletesWhenLimitsFallAtAnyStepOfItsAllocation) {
  for (const auto after :
       {Millis(0), Millis(20), Millis(60), Millis(200), Millis(1000), Millis(4000)}) {
    site.store.limits = site.rules_platform.store_limits;
    JobSpec gang = job(job_id(static_cast<size_t>(after.count())), 16);
    gang.gang = true;
    gang.need = {4, 0, 8};
    ASSERT_EQ(site.submit(gang).status, 201);
    site.run_for(after);
    apply_lower_limits();
    site.run_for(seconds(90));
    EXPECT_TRUE(is_done(gang.id)) << "limits fell after " << after.count() << " ms";
  }
  expect_no_violations(site);
}

TEST_F(LowerLimits, LeaderKeepsItsTermWhenLimitsFallWithPendingWrites) {
  const size_t leader = *site.leader();
  for (size_t n = 0; n < 30; ++n) ASSERT_EQ(site.submit(job(job_id(n), 4)).status, 201);
  site.run_for(seconds(4));
  apply_lower_limits();
  site.run_for(seconds(120));
  for (size_t n = 0; n < 30; ++n) EXPECT_TRUE(is_done(job_id(n))) << job_id(n);
  EXPECT_EQ(site.leader(), leader);
  EXPECT_LT(site.store.oversized, 10u) << "an oversized transaction must not be retried unchanged";
  expect_no_violations(site);
}

// Guards against a leader that starts nothing after the limits fell: many new jobs on few machines
// need more compares than the lowered limits permit, but no more writes.
TEST_F(LowerLimits, ManyNewJobsOnFewMachinesStartAfterLimitsFell) {
  constexpr size_t kJobs = 30;
  apply_lower_limits();
  site.cloud.unavailable = true;  // so that the first machines come up when all jobs wait
  for (size_t n = 0; n < kJobs; ++n) {
    JobSpec small = job(job_id(n));
    small.need = {0.5, 0, 1};
    ASSERT_EQ(site.submit(small).status, 201);
    site.run_for(Millis(100));
  }
  ASSERT_EQ(site.store.throttled, 0u);
  site.cloud.unavailable = false;
  site.run_for(seconds(30));
  EXPECT_EQ(site.starts, kJobs);
  EXPECT_LE(site.store.oversized, 1u);
  site.run_for(seconds(30));
  for (size_t n = 0; n < kJobs; ++n) EXPECT_TRUE(is_done(job_id(n))) << job_id(n);
  expect_no_violations(site);
}

TEST_F(LowerLimits, JobsCompleteWhenLimitsFallWhileTransactionOutcomesAreUnknown) {
  site.store.fault_delay = seconds(3);
  for (size_t n = 0; n < 6; ++n) ASSERT_EQ(site.submit(job(job_id(n), 8)).status, 201);
  site.run_for(seconds(3));
  site.store.call_fault = [commits = 0](const http::Call& call) mutable {
    if (!is_transaction_on(call, "host/")) return CallFault::none;
    ++commits;
    return commits % 3 == 0   ? CallFault::apply_late
           : commits % 3 == 1 ? CallFault::lose_reply
                              : CallFault::none;
  };
  site.run_for(seconds(2));
  apply_lower_limits();
  site.run_for(seconds(6));
  site.store.call_fault = nullptr;
  site.run_for(seconds(120));
  for (size_t n = 0; n < 6; ++n) EXPECT_TRUE(is_done(job_id(n))) << job_id(n);
  expect_no_violations(site);
}

TEST_F(LowerLimits, ManyJobsCompleteAndOversizedMachineRecordIsRemoved) {
  // A record as written by the previous version, far above the lower limit.
  wire::MachineRecord large{"box", "a", "", false, {}};
  for (size_t n = 0; n < 60; ++n) {
    large.groups.push_back({job_id(500 + n), "red", {0.01, 0, 0.01}, false, {{0, n + 1}}});
  }
  ASSERT_GT(wire::write_machine_record(large).size(), 2 * kAnnouncedValueBytes);
  site.store.put("host/vm-old", wire::write_machine_record(large));
  apply_lower_limits();
  const size_t former_leader = *site.leader();
  site.crash(former_leader);
  site.run_for(seconds(20));
  ASSERT_TRUE(site.leader());
  for (size_t n = 0; n < 2 * kMinJobsPerRecord; ++n) {
    JobSpec small = job(job_id(n));
    small.need = {0.1, 0, 0.1};
    ASSERT_EQ(site.submit(small, *site.leader()).status, 201);
  }
  site.store.max_value = 0;
  site.run_for(seconds(120));
  for (size_t n = 0; n < 2 * kMinJobsPerRecord; ++n) {
    EXPECT_EQ(site.job_state(job_id(n), *site.leader()), "done") << job_id(n);
  }
  EXPECT_LT(site.store.oversized, 10u);
  EXPECT_FALSE(site.store.data.contains("host/vm-old"))
      << "the record of a machine without allocations must be removed";
  expect_no_violations(site);
}

TEST_F(LowerLimits, MachineRecordFitsMinimumNumberOfJobs) {
  cluster::Cluster cluster_state(site.nodes[0]->platform, site.operator_settings);
  cluster_state.begin_term(1000, site.clock.now());
  const cluster::Job typical(job("run-000412"), WallTime{}, 1, 0, Instant{});
  const cluster::Cluster::RecordCost cost = cluster_state.record_cost(typical);
  const size_t frame = wire::machine_record_size("sortrig", "kamloops", "10.1.0.232:9000");
  EXPECT_GE((cluster_state.record_limit() - frame) / (cost.group_bytes + cost.task_bytes),
            kMinJobsPerRecord);
}

TEST_F(LowerLimits, ProgressOfLargeJobsDoesNotStarveAllocations) {
  // Guards against progress writes starving allocations. On partsgrid-bc-next the first jobs had
  // new progress before that of the last jobs was written, so no allocation was written for half a
  // minute. The scripted workers report at the same times with pauses in between, so this test also
  // passes without the pacing of each batch; only a full-day run of the bench shows that fault.
  for (size_t n = 0; n < 12; ++n) {
    JobSpec array = job(job_id(n), 400);
    array.need = {0.5, 0, 1};
    ASSERT_EQ(site.submit(array).status, 201);
  }
  site.run_for(seconds(20));
  apply_lower_limits();
  site.run_for(seconds(10));
  const size_t starts_before = site.starts;
  const JobSpec late = job(job_id(99));
  ASSERT_EQ(site.submit(late).status, 201);
  site.run_for(seconds(30));
  EXPECT_GT(site.starts, starts_before + 200);
  site.run_for(seconds(240));
  EXPECT_TRUE(is_done(late.id));
  expect_no_violations(site);
}

TEST_F(LowerLimits, OversizedJobIsRejectedUnlessAlreadyAccepted) {
  JobSpec oversized = job(job_id(1));
  ASSERT_EQ(site.submit(oversized).status, 201);
  for (size_t i = 0; i < 30; ++i) oversized.types.push_back("box" + std::string(75, 'x'));
  oversized.types.push_back("box");
  EXPECT_EQ(site.submit(oversized).status, 200) << "the job was accepted before it was too long";
  oversized.id = job_id(2);
  EXPECT_EQ(site.submit(oversized).status, 422);
}

}  // namespace
}  // namespace dunlinknot::test
