// Tests of the wait causes in a plan, by which the log explains why a job has not started.
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

// The wait cause of each waiting job, by job id.
std::map<std::string, WaitCause> wait_causes(const Plan& plan) {
  std::map<std::string, WaitCause> causes;
  for (const auto& waiting : plan.waiting_jobs) causes[waiting.job] = waiting.cause;
  return causes;
}

TEST_F(SchedulerTest, PlacedJobHasNoWaitCause) {
  machine("vm-1");
  add(job("run-000001", 1));
  EXPECT_TRUE(wait_causes(plan()).empty());
}

TEST_F(SchedulerTest, WaitCauseIsNoRoomWhenNoMachineCanBeLaunched) {
  run(add(job("run-000001", 1)), machine("vm-1"));
  JobSpec large = job("run-000002", 1);
  large.need.cpus = 8;
  add(large);
  JobSpec gang = job("run-000003", 2);
  gang.gang = true;
  gang.need.cpus = 8;
  add(gang);
  const auto causes = wait_causes(plan());
  EXPECT_EQ(causes.size(), 2u) << "a running job has no wait cause";
  EXPECT_EQ(causes.at("run-000002"), WaitCause::no_room);
  EXPECT_EQ(causes.at("run-000003"), WaitCause::no_room);
}

TEST_F(SchedulerTest, WaitCauseIsTeamLimitWhenLimitIsUsedUp) {
  JobSpec spec = job("run-000001", 1);
  spec.team = "tiny";  // at most 4 cpus
  spec.need.cpus = 4;
  run(add(spec), machine("vm-1"));
  machine("vm-2");
  spec.id = "run-000002";
  add(spec);
  JobSpec gang = job("run-000003", 2);
  gang.team = "tiny";
  gang.gang = true;
  add(gang);
  const auto causes = wait_causes(plan());
  EXPECT_EQ(causes.at("run-000002"), WaitCause::team_limit);
  EXPECT_EQ(causes.at("run-000003"), WaitCause::team_limit);
}

TEST_F(SchedulerTest, WaitCauseIsUpcomingMachineWhenOneIsRequested) {
  cloud_capacity.refused_offers.clear();
  add(job("run-000001", 1));
  EXPECT_EQ(wait_causes(plan()).at("run-000001"), WaitCause::machine_upcoming);
}

TEST_F(SchedulerTest, WaitCauseIsReservedRoomForWaitingGang) {
  run(add(job("run-000001", 1)), machine("vm-1"));
  JobSpec gang = job("run-000002", 1);
  gang.gang = true;
  gang.need.cpus = 8;
  add(gang);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::room_reserved);
}

TEST_F(SchedulerTest, WaitCauseIsQueuedOnMachineWhenAllTasksAreQueued) {
  Machine& machine_1 = machine("vm-1");
  JobSpec large = job("run-000001", 1);
  large.need.cpus = 8;
  run(add(large), machine_1);
  Job& open_job = add(job("run-000002", 1));
  cluster.queue_on(machine_1, open_job, *open_job.pop_pending(), cluster.next_attempt(), {}, now);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::queued_on_machine);
}

TEST_F(SchedulerTest, WaitCauseIsPreemptionWhileVictimsAreStopped) {
  Machine& machine_1 = machine("vm-1");
  JobSpec low = job("run-000001", 1);
  low.priority = Priority::low;
  low.need.cpus = 8;
  run(add(low), machine_1);
  JobSpec high = job("run-000002", 1);
  high.priority = Priority::high;
  high.need.cpus = 8;
  add(high);
  const Plan first = plan();
  ASSERT_EQ(first.preemptions.size(), 1u);
  const Preemption& preemption = first.preemptions.front();
  nominations.add(preemption.job, preemption.machine, preemption.room, preemption.priority,
                  preemption.victims);
  (void)cluster.preempt(machine_1, preemption.victims.front().task,
                        preemption.victims.front().attempt, now);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::preemption);
}

TEST_F(SchedulerTest, WaitCauseNamesMachinesWithRoomOnWhichTheJobFailed) {
  Machine& only_machine = machine("vm-1");
  Job& open_job = add(job("run-000001", 1));
  wall += kLongWaitMillis;
  fail_on(open_job, only_machine);
  EXPECT_EQ(wait_causes(plan()).at("run-000001"), WaitCause::failed_machines);
}

TEST_F(SchedulerTest, WaitCauseNamesRoomReservedForOtherJobs) {
  Machine& machine_1 = machine("vm-1");
  for (int i = 0; i < 2; ++i) run(add(job("run-00000" + std::to_string(i + 1), 1)), machine_1);
  JobSpec gang = job("run-000003", 1);
  gang.gang = true;
  gang.priority = Priority::high;
  gang.need.cpus = 8;
  add(gang);
  add(job("run-000004", 1));
  wall += kLongWaitMillis;
  const auto causes = wait_causes(plan());
  EXPECT_EQ(causes.at("run-000003"), WaitCause::room_reserved);
  EXPECT_EQ(causes.at("run-000004"), WaitCause::reserved_by_others);
}

TEST_F(SchedulerTest, WaitCauseNamesQuotaReservedForGang) {
  JobSpec small = job("run-000001", 2);
  small.team = "tiny";  // at most 4 cpus
  run(add(small), machine("vm-1"));
  machine("vm-2");
  JobSpec gang = small;
  gang.id = "run-000002";
  gang.gang = true;
  gang.priority = Priority::high;
  add(gang);
  small.id = "run-000003";
  add(small);
  EXPECT_EQ(wait_causes(plan()).at("run-000003"), WaitCause::quota_reserved);
}

}  // namespace
}  // namespace dunlinknot::scheduler
