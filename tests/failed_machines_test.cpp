// Tests that a job prefers machines on which its tasks have not failed, but is never excluded from
// the machines that there are.
#include "dunlinknot/cluster/failure_memory.hpp"
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

using cluster::FailureAdvice;
using cluster::FailureMemory;

constexpr cluster::RetryDelays kDelays{seconds(5), seconds(60)};
constexpr Instant kStart{seconds(100)};

TEST(FailureMemory, OnlyFailedRetryDoublesDelayUpToMaximum) {
  FailureMemory memory;
  Instant now = kStart;
  for (int i = 0; i < 3; ++i) memory.record("vm-1", kDelays, now);  // started together
  for (const int delay : {5, 10, 20, 40, 60, 60}) {
    EXPECT_EQ(memory.advice("vm-1", {}, now + seconds(delay) - Millis(1)), FailureAdvice::avoided);
    now += seconds(delay);
    ASSERT_EQ(memory.advice("vm-1", {}, now), FailureAdvice::last_resort) << delay;
    memory.note_placement("vm-1", {}, now);
    EXPECT_EQ(memory.advice("vm-1", {}, now), FailureAdvice::avoided) << "one task at a time";
    memory.record("vm-1", kDelays, now);
  }
}

TEST(FailureMemory, FailureCountsUntilLaterStartSucceedsOrItIsOld) {
  FailureMemory memory;
  memory.record("vm-1", kDelays, kStart);
  EXPECT_EQ(memory.advice("vm-1", kStart - seconds(1), kStart), FailureAdvice::avoided)
      << "the task that succeeded was started before the failure";
  EXPECT_EQ(memory.advice("vm-1", kStart + seconds(1), kStart), FailureAdvice::usable);
  EXPECT_EQ(memory.advice("vm-1", {}, kStart + FailureMemory::kRetention + seconds(1)),
            FailureAdvice::usable);
  EXPECT_EQ(memory.advice("vm-2", {}, kStart), FailureAdvice::usable);
}

TEST_F(SchedulerTest, JobThatFailedOnEveryMachineIsRetriedThere) {
  // Guards against a job that is excluded for ever from the only machines that there are, because
  // its tasks failed on them once (review/5).
  Job& open_job = add(job("run-000001", 1));
  fail_on(open_job, machine("vm-1"));
  fail_on(open_job, machine("vm-2"));
  EXPECT_TRUE(plan().placements.empty()) << "the failures have just happened";
  now += seconds(5);
  machine("vm-1");
  machine("vm-2");
  EXPECT_EQ(plan().placements.size(), 1u);
}

TEST_F(SchedulerTest, GangThatFailedOnEveryMachineIsRetriedThere) {
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.need.cpus = 5;
  Job& gang = add(spec);
  fail_on(gang, machine("vm-1"));
  fail_on(gang, machine("vm-2"));
  EXPECT_TRUE(plan().gangs.empty());
  now += seconds(5);
  machine("vm-1");
  machine("vm-2");
  EXPECT_EQ(plan().gangs.size(), 1u);
}

TEST_F(SchedulerTest, ReplicaThatFailedOnEveryMachineIsRetriedThere) {
  JobSpec spec = job("run-000001", 1);
  spec.service = true;
  spec.estimate = Seconds(0);
  fail_on(add(spec), machine("vm-1"));
  EXPECT_TRUE(plan().placements.empty());
  now += seconds(5);
  machine("vm-1");
  EXPECT_EQ(plan().placements.size(), 1u);
}

TEST_F(SchedulerTest, JobIsRetriedOnFailedMachineIfTheOtherMachineIsFull) {
  operator_settings.initial_backoff = Seconds(2);
  Machine& full = machine("vm-2");
  JobSpec service = job("run-000001", 4);
  service.service = true;
  service.estimate = Seconds(0);
  Job& replicas = add(service);
  for (int i = 0; i < 4; ++i) run(replicas, full);
  fail_on(add(job("run-000002", 1)), machine("vm-1"));
  EXPECT_TRUE(plan().placements.empty());
  now += seconds(2);
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}));
}

TEST_F(SchedulerTest, JobDoesNotPreemptOnMachineOnWhichItFailed) {
  // Guards against a job submitted with a mistake that stops the tasks of others on the only
  // machines that there are (safety 6), though they are too few for it to count as failing.
  operator_settings.initial_backoff = Seconds(2);
  Machine& full = machine("vm-1");
  JobSpec high = job("run-000001", 1);
  high.priority = Priority::high;
  fail_on(add(high), full);
  Job& low = add([] {
    JobSpec spec = job("run-000002", 4);
    spec.priority = Priority::low;
    return spec;
  }());
  for (int i = 0; i < 4; ++i) run(low, full);
  now += seconds(2);
  EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(SchedulerTest, JobPrefersMachineOnWhichItHasNotFailed) {
  fail_on(add(job("run-000001", 1)), machine("vm-1"));
  now += seconds(5);
  machine("vm-1");
  machine("vm-2");
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-2", 1}}));
}

TEST_F(SchedulerTest, JobPrefersLaunchOverMachineOnWhichItFailed) {
  fail_on(add(job("run-000001", 1)), machine("vm-1"));
  now += seconds(5);
  machine("vm-1");
  cloud_capacity.refused_offers.clear();
  Plan result_plan = plan();
  EXPECT_TRUE(result_plan.placements.empty());
  EXPECT_EQ(result_plan.capacity_requests.size(), 1u);
  cloud_capacity.pending_launches = {{{"box", "a", false}, 1}};
  result_plan = plan();
  EXPECT_TRUE(result_plan.placements.empty()) << "the machine is on its way";
  EXPECT_TRUE(result_plan.capacity_requests.empty());
}

TEST_F(SchedulerTest, ArrayIsRetriedWithOneTaskPerDelay) {
  // Guards against a job submitted with a mistake that takes all the room there is again and again.
  Job& array = add(job("run-000001", 40));
  fail_on(array, machine("vm-1"));
  now += seconds(5);
  Machine& machine_1 = machine("vm-1");
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}));
  run(array, machine_1);
  EXPECT_TRUE(plan().placements.empty());
}

TEST_F(SchedulerTest, MachineThatCompletesTasksOfOthersIsUsableAtOnce) {
  Machine& machine_1 = machine("vm-1");
  fail_on(add(job("run-000001", 1)), machine_1);
  now += seconds(1);
  Job& other = add(job("run-000002", 2));
  run(other, machine_1);
  now += seconds(1);
  Heartbeat completed;
  completed.machine = "vm-1";
  completed.type = "box";
  completed.zone = "a";
  completed.incarnation = 1;
  completed.sequence = ++sequence;
  completed.fencing_token = 1;
  const Allocation& allocation = machine_1.allocations.front();
  completed.tasks = {{allocation.task, allocation.attempt, TaskState::exited, ExitCause::done}};
  Effects effects;
  cluster.handle_heartbeat(completed, now, false, effects);
  std::set<std::string> placed;
  for (const Placement& placement : plan().placements) placed.insert(placement.job);
  EXPECT_TRUE(placed.contains("run-000001"));
}

// Two machines are up, which a service keeps up, and the cloud has no third one.
struct TwoMachineSite : testing::Test {
  TwoMachineSite() {
    site.cloud.capacity = {{"box/a/ordinary", 2}};
    site.on_worker = [this](test::ScriptedWorker& worker) {
      worker.run_time = [](const TaskRef& task) {
        return Nanos(task.job == kService ? seconds(100'000) : seconds(1));
      };
      worker.fails = [this](const TaskRef& task) { return task.job == kJob && failing; };
    };
    site.run_for(seconds(3));
    JobSpec service = job(kService, 2);
    service.service = true;
    service.estimate = Seconds(0);
    service.need.cpus = 5;
    EXPECT_EQ(site.submit(service).status, 201);
    site.run_for(seconds(30));
    EXPECT_EQ(site.starts, 2u);
  }
  static constexpr const char* kService = "run-000001";
  static constexpr const char* kJob = "run-000002";
  test::Site site{3};
  bool failing = true;
};

TEST_F(TwoMachineSite, JobThatFailedOnBothMachinesIsDoneAfterTheyWorkAgain) {
  site.submit(job(kJob));
  site.run_for(seconds(12));
  EXPECT_GE(site.starts, 4u) << "the job has failed on both machines";
  failing = false;
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state(kJob), "done");
  test::expect_no_violations(site);
}

TEST_F(TwoMachineSite, JobThatAlwaysFailsIsRetriedWithIncreasingDelays) {
  site.submit(job(kJob, 6));
  site.run_for(std::chrono::minutes(10));
  EXPECT_GT(site.starts, 12u);
  EXPECT_LT(site.starts, 40u) << "two machines, each tried at most once a minute in the long run";
  test::expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::scheduler
