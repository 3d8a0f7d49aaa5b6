// Unit tests of the components of `Cluster`.
#include <gtest/gtest.h>

#include "dunlinknot/cluster/demand_forecasts.hpp"
#include "dunlinknot/cluster/failure_detector.hpp"
#include "dunlinknot/cluster/job_holders.hpp"
#include "dunlinknot/cluster/record_write_queue.hpp"
#include "dunlinknot/cluster/replica_backoff.hpp"
#include "dunlinknot/cluster/stop_calls.hpp"
#include "dunlinknot/cluster/team_usage.hpp"
#include "site.hpp"

namespace dunlinknot::cluster {
namespace {

using std::chrono::seconds;

const Instant kNow = Instant{} + seconds(1000);

Machine& add_machine(MachineTable& machines, const std::string& id) {
  machines[id] = std::make_unique<Machine>();
  machines[id]->id = id;
  return *machines[id];
}

Job& add_job(JobTable& jobs, JobSpec spec) {
  const std::string id = spec.id;
  jobs[id] = std::make_unique<Job>(std::move(spec), WallTime{}, 1, 0, kNow);
  return *jobs[id];
}

TEST(RecordWriteQueue, ServesUrgentMachinesFirstAndEachOnce) {
  MachineTable machines;
  Machine& first = add_machine(machines, "vm-1");
  Machine& second = add_machine(machines, "vm-2");
  RecordWriteQueue queue;
  queue.mark_dirty(first, false);
  queue.mark_dirty(first, false);
  queue.mark_dirty(second, true);
  EXPECT_EQ(queue.size(), 2u);
  EXPECT_EQ(queue.next(machines), &second);
  EXPECT_EQ(queue.next(machines), &first);
  EXPECT_EQ(queue.next(machines), nullptr);
}

TEST(RecordWriteQueue, SkipsRemovedAndCleanMachines) {
  MachineTable machines;
  Machine& gone = add_machine(machines, "vm-1");
  Machine& clean = add_machine(machines, "vm-2");
  Machine& dirty = add_machine(machines, "vm-3");
  RecordWriteQueue queue;
  for (Machine* machine : {&gone, &clean, &dirty}) queue.mark_dirty(*machine, false);
  machines.erase("vm-1");
  clean.dirty = false;
  EXPECT_EQ(queue.next(machines), &dirty);
  EXPECT_EQ(queue.size(), 0u);
}

TEST(RecordWriteQueue, RequeuePutsMachineAtFront) {
  MachineTable machines;
  Machine& first = add_machine(machines, "vm-1");
  Machine& second = add_machine(machines, "vm-2");
  RecordWriteQueue queue;
  queue.mark_dirty(first, false);
  queue.mark_dirty(second, false);
  ASSERT_EQ(queue.next(machines), &first);
  queue.requeue(first);
  EXPECT_EQ(queue.next(machines), &first);
}

TEST(DemandForecasts, KeepsRecentArrivalsOfClassesWithAnObjective) {
  settings::Platform platform;
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  DemandForecasts forecasts(platform);
  JobSpec spec = test::job("run-1", 3);
  spec.job_class = "quick";
  const WallTime start{Millis(std::chrono::hours(1))};
  forecasts.add(spec, start);
  forecasts.add(spec, start + std::chrono::minutes(3));
  EXPECT_EQ(forecasts.by_class().at("quick").arrivals.size(), 2u);
  forecasts.add(spec, start + std::chrono::minutes(5));
  EXPECT_EQ(forecasts.by_class().at("quick").arrivals.size(), 2u)
      << "the first submission is too old";
  spec.job_class = "other";
  forecasts.add(spec, start);
  EXPECT_FALSE(forecasts.by_class().contains("other"));
}

TEST(TeamUsageTable, LimitsTeamToItsAllowanceWhateverBecomesFree) {
  std::vector<settings::Team> teams(1);
  teams[0].cpus_max = 4;
  TeamUsageTable usage(teams);
  usage.add(0, {2, 0, 1});
  EXPECT_TRUE(usage.allows(0, {2, 0, 1}));
  usage.set_allowances({Resources{1, 0, 0}});
  EXPECT_FALSE(usage.allows(0, {2, 0, 1}));
  EXPECT_TRUE(usage.allows(0, {1, 0, 1}));
  EXPECT_TRUE(usage.allows(-1, {100, 0, 1})) << "an unknown team has no limit";
  usage.remove(0, {2, 0, 1});
  EXPECT_FALSE(usage.allows(0, {2, 0, 1})) << "what becomes free is reserved for a gang";
  usage.add(0, {1, 0, 1});
  EXPECT_FALSE(usage.allows(0, {1, 0, 1})) << "the allowance is used up";
  usage.set_allowances({});
  EXPECT_TRUE(usage.allows(0, {3, 0, 1}));
  EXPECT_FALSE(usage.allows(0, {4, 0, 1}));
}

TEST(FailureDetector, MachineIsUnreachableUntilItExecutesRun) {
  const settings::Operator operator_settings;
  const FailureDetector detector(operator_settings, seconds(30));
  MachineTable machines;
  Machine& machine = add_machine(machines, "vm-1");
  machine.has_heartbeat = true;
  for (int i = 0; i < 3; ++i) detector.on_response_lost(machine, kNow + seconds(1) * i);
  EXPECT_FALSE(machine.unreachable) << "too soon after the first suspicion";
  detector.on_response_lost(machine, kNow + seconds(10));
  EXPECT_EQ(FailureDetector::unreachable(machines), std::vector<std::string>{"vm-1"});
  detector.on_run_executed(machine);
  EXPECT_TRUE(FailureDetector::unreachable(machines).empty());
}

TEST(FailureDetector, ReportsNoMachineIfManyAreUnreachable) {
  MachineTable machines;
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
    Machine& machine = add_machine(machines, id);
    machine.has_heartbeat = machine.unreachable = true;
  }
  EXPECT_TRUE(FailureDetector::unreachable(machines).empty());
  machines["vm-3"]->unreachable = false;
  EXPECT_EQ(FailureDetector::unreachable(machines).size(), 2u);
}

TEST(FailureDetector, DrainsMachineAfterErrorsOfTwoJobsButNotOfOne) {
  const settings::Operator operator_settings;
  const FailureDetector detector(operator_settings, seconds(30));
  MachineTable machines;
  JobTable jobs;
  Machine& machine = add_machine(machines, "vm-1");
  Job& one = add_job(jobs, test::job("job-1", 5));
  Job& two = add_job(jobs, test::job("job-2", 5));
  for (int i = 0; i < 3; ++i) detector.on_task_error(machine, &one, jobs, kNow);
  EXPECT_FALSE(machine.draining) << "the errors may be caused by the job";
  detector.on_task_error(machine, &two, jobs, kNow);
  EXPECT_TRUE(machine.draining);
}

TEST(FailureDetector, BacksOffJobThatFailsOnEveryMachine) {
  const settings::Operator operator_settings;
  const FailureDetector detector(operator_settings, seconds(30));
  MachineTable machines;
  JobTable jobs;
  Job& job = add_job(jobs, test::job("job-1", 5));
  for (const char* id : {"vm-1", "vm-2"})
    detector.on_task_error(add_machine(machines, id), &job, jobs, kNow);
  EXPECT_FALSE(job.failing);
  detector.on_task_error(add_machine(machines, "vm-3"), &job, jobs, kNow);
  EXPECT_TRUE(job.failing);
  EXPECT_EQ(job.not_before, kNow + to_nanos(operator_settings.initial_backoff));
  job.clear_failing();
  EXPECT_FALSE(job.failing);
}

TEST(ReplicaBackoff, DelaysReplicaAfterTwoConsecutiveEarlyExits) {
  const settings::Operator operator_settings;
  ReplicaBackoff backoff(operator_settings);
  JobTable jobs;
  JobSpec spec = test::job("service-1", 1);
  spec.service = true;
  Job& service = add_job(jobs, spec);
  backoff.on_replica_end(service, 0, true, kNow);
  EXPECT_EQ(service.pending(), 1u) << "the first restart is not delayed";
  backoff.on_replica_end(service, 0, true, kNow);
  EXPECT_EQ(service.pending(), 0u);
  const Instant due = kNow + to_nanos(operator_settings.initial_backoff);
  EXPECT_FALSE(backoff.release_due(jobs, due - Millis(1)));
  EXPECT_TRUE(backoff.release_due(jobs, due));
  EXPECT_EQ(service.pending(), 1u);
}

TEST(JobHolders, ListsEachMachineOnce) {
  MachineTable machines;
  Machine& machine = add_machine(machines, "vm-1");
  JobHolders holders;
  holders.add("job-1", machine);
  holders.add("job-1", machine);
  EXPECT_EQ(holders.of("job-1"), std::vector<Machine*>{&machine});
  holders.remove("job-1", machine);
  EXPECT_TRUE(holders.of("job-1").empty());
}

TEST(PendingStopCalls, OmitsMachinesThatCannotBeCalled) {
  MachineTable machines;
  Machine& machine = add_machine(machines, "vm-1");
  Allocation allocation;
  allocation.task = TaskRef{"job-1", 0};
  allocation.phase = AllocationPhase::seen;
  allocation.stop = StopReason::cancelled;
  machine.allocations.push_back(allocation);
  machine.has_heartbeat = true;
  PendingStopCalls calls;
  calls.add(machine);
  EXPECT_TRUE(calls.drain(machines).empty()) << "the machine has no address";
  EXPECT_FALSE(calls.any());
  machine.address = "10.0.0.1:9000";
  calls.add(machine);
  const std::vector<StopCall> sent = calls.drain(machines);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].commands.size(), 1u);
}

}  // namespace
}  // namespace dunlinknot::cluster
