// Tests that what keeps work from failing jobs and faulty machines comes to an end, and that room
// is held only for preemptors that can use it.
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

struct FailingJobsTest : SchedulerTest {
  // A replica of a service runs on the machine, which is then drained for errors of two jobs.
  Machine& drained_machine_with_replica() {
    Machine& drained = machine("vm-1");
    JobSpec service = job("run-000009", 1);
    service.service = true;
    service.estimate = Seconds(0);
    run(add(service), drained);
    for (const char* id : {"run-000001", "run-000002"}) {
      Job& failing_job = add(job(id, 4));
      for (int i = 0; i < 2; ++i) fail_on(failing_job, drained);
    }
    EXPECT_TRUE(drained.draining);
    return drained;
  }
  uint64_t hold_room(const std::string& job_id) {
    return nominations.add(job_id, "vm-1", {4, 0, 4}, Priority::high, {});
  }
};

TEST_F(FailingJobsTest, FailingArrayGetsOneMachineAtATime) {
  // Guards against a job that failed on three machines and gets no machine any more once they are
  // returned (review/4), and against machines launched for all tasks of a job with a mistake.
  Job& array = add(job("run-000001", 40));
  array.failing = true;
  cloud_capacity.refused_offers.clear();
  const Plan result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].count, 1u);
  cloud_capacity.pending_launches = {{result_plan.capacity_requests[0].offer, 1}};
  EXPECT_TRUE(plan().capacity_requests.empty());
  cloud_capacity.pending_launches.clear();
  run(array, machine("vm-1"));
  EXPECT_TRUE(plan().capacity_requests.empty()) << "one of its tasks shows whether it still fails";
}

TEST_F(FailingJobsTest, MachinesAreLaunchedForFailingGang) {
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.need.cpus = 8;
  add(spec).failing = true;
  cloud_capacity.refused_offers.clear();
  ASSERT_EQ(plan().capacity_requests.size(), 1u);
  EXPECT_EQ(plan().capacity_requests[0].count, 2u);
}

TEST_F(FailingJobsTest, TasksThatFailTogetherDoubleTheDelayOnce) {
  // Guards against an array that waits for the maximum delay after its first tasks failed at once.
  Job& array = add(job("run-000001", 40));
  const auto fail_everywhere = [&] {
    for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
      for (int i = 0; i < 4; ++i) fail_on(array, machine(id));
    }
  };
  fail_everywhere();
  EXPECT_EQ(array.not_before, now + seconds(5));
  now += seconds(5);
  fail_everywhere();
  EXPECT_EQ(array.not_before, now + seconds(10));
}

TEST_F(FailingJobsTest, DrainedMachineThatReplicasKeepUpIsTriedAgain) {
  // Guards against a machine that is drained for ever, because a replica runs there, while jobs
  // wait for its room.
  Machine& drained = drained_machine_with_replica();
  const auto tick_after = [&](Nanos duration) {
    now += duration;
    cluster.tick(now);
  };
  tick_after(to_nanos(operator_settings.max_backoff) - Millis(1));
  EXPECT_TRUE(drained.draining);
  tick_after(Millis(1));
  EXPECT_FALSE(drained.draining);
  fail_on(*cluster.job("run-000001"), drained);
  EXPECT_TRUE(drained.draining) << "one more error drains it again";
}

TEST_F(FailingJobsTest, DrainedMachineWithoutReplicasIsReplaced) {
  Machine& drained = machine("vm-1");
  for (const char* id : {"run-000001", "run-000002"}) {
    Job& failing_job = add(job(id, 4));
    for (int i = 0; i < 2; ++i) fail_on(failing_job, drained);
  }
  now += to_nanos(operator_settings.max_backoff) * 2;
  cluster.tick(now);
  EXPECT_TRUE(drained.draining);
}

TEST_F(FailingJobsTest, NoRoomIsHeldForJobWhoseTeamIsAtItsLimit) {
  Machine& machine_1 = machine("vm-1");
  JobSpec limited = job("run-000001", 1);
  limited.team = "tiny";  // at most 4 cpus
  limited.need.cpus = 4;
  limited.priority = Priority::high;
  run(add(limited), machine_1);
  limited.id = "run-000002";
  add(limited);
  const uint64_t nomination = hold_room("run-000002");
  add(job("run-000003", 2));
  const Plan result_plan = plan();
  EXPECT_EQ(result_plan.cleared_nominations, std::vector<uint64_t>{nomination});
  EXPECT_EQ(task_count_by_machine(result_plan), (std::map<std::string, uint32_t>{{"vm-1", 2}}));
}

TEST_F(FailingJobsTest, NoRoomIsHeldForFailingJobUntilItsNextStart) {
  machine("vm-1");
  JobSpec high = job("run-000001", 1);
  high.priority = Priority::high;
  Job& failing_job = add(high);
  const uint64_t nomination = hold_room("run-000001");
  failing_job.not_before = now + seconds(1);
  EXPECT_TRUE(plan().cleared_nominations.empty()) << "a start that is delayed for a moment";
  failing_job.failing = true;
  EXPECT_EQ(plan().cleared_nominations, std::vector<uint64_t>{nomination});
}

TEST_F(FailingJobsTest, NoRoomIsHeldForJobWithoutPendingTasks) {
  Machine& machine_1 = machine("vm-1");
  run(add(job("run-000001", 1)), machine_1);
  const uint64_t nomination = hold_room("run-000001");
  EXPECT_EQ(plan().cleared_nominations, std::vector<uint64_t>{nomination});
}

}  // namespace
}  // namespace dunlinknot::scheduler
