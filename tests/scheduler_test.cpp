// Tests of plan(): limits, zones, gangs, headroom and queue order.
#include "scheduler_fixture.hpp"

namespace dunlinknot::scheduler {
namespace {

TEST_F(SchedulerTest, TeamLimitCountsAllocationsOfClosedJobs) {
  Machine& machine_1 = machine("vm-1");
  JobSpec spec = job("run-000001", 2);
  spec.team = "tiny";  // at most 4 cpus
  Job& job = add(spec);
  run(job, machine_1);
  cluster.close_job("run-000001", true, now);  // cancelled, but its allocation still exists
  spec.id = "run-000002";
  spec.tasks = 5;
  add(spec);
  uint32_t placed = 0;
  for (const auto& [machine, count] : task_count_by_machine(plan())) placed += count;
  EXPECT_EQ(placed, 1u);
}

TEST_F(SchedulerTest, PlacementRespectsTypeZoneAndSpotConstraints) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  machine("vm-3", "b", "box", true);
  machine("vm-4", "b", "rig");
  JobSpec spec = job("run-000001", 50);
  spec.zone = "b";
  spec.types = {"box"};
  add(spec);
  const auto counts = task_count_by_machine(plan());
  EXPECT_EQ(counts, (std::map<std::string, uint32_t>{{"vm-2", 4}}));
}

TEST_F(SchedulerTest, OneZoneCountsEarlierAllocationsAndSpreadAllowsHalfRoundedUp) {
  Machine& machine_1 = machine("vm-1", "a");
  machine("vm-2", "b");
  JobSpec earlier = job("run-000001", 6);
  earlier.one_zone = true;
  Job& open_job = add(earlier);
  run(open_job, machine_1);
  EXPECT_FALSE(task_count_by_machine(plan()).contains("vm-2"));
  cluster.close_job("run-000001", false, now);
  JobSpec spec = job("run-000002", 5);
  spec.need = {1, 0, 1};
  spec.spread = true;
  add(spec);
  const auto counts = task_count_by_machine(plan());
  EXPECT_EQ(counts, (std::map<std::string, uint32_t>{{"vm-1", 3}, {"vm-2", 2}}));
}

TEST_F(SchedulerTest, GangWithOneZoneIsPlacedAsAWholeOrNotAtAll) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.one_zone = true;
  spec.need = {6, 0, 4};
  add(spec);
  EXPECT_TRUE(plan().gangs.empty()) << "one task in each zone violates one_zone";
  machine("vm-3", "b");
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.gangs.size(), 1u);
  EXPECT_EQ(task_count_by_machine(result_plan),
            (std::map<std::string, uint32_t>{{"vm-2", 1}, {"vm-3", 1}}));
}

TEST_F(SchedulerTest, GangIsNotPlacedWhileItsPreviousAttemptIsAllocated) {
  Machine& machine_1 = machine("vm-1");
  machine("vm-2");
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  Job& job = add(spec);
  run(job, machine_1, 77);
  EXPECT_TRUE(plan().gangs.empty());
}

TEST_F(SchedulerTest, TeamLimitIsReservedForWaitingGang) {
  // Small tasks of the same team used to take each freed part of the limit, so that a gang waited
  // for minutes although machines were free.
  Machine& machine_1 = machine("vm-1");
  machine("vm-2");
  JobSpec small = job("run-000001", 20);
  small.team = "tiny";
  small.need = {2, 0, 1};
  Job& open_job = add(small);
  run(open_job, machine_1);
  JobSpec spec = job("run-000002", 1);
  spec.gang = true;
  spec.team = "tiny";
  spec.priority = Priority::high;
  spec.need = {4, 0, 1};
  add(spec);
  EXPECT_TRUE(plan().placements.empty()) << "the rest of the limit is reserved for the gang";
}

TEST_F(SchedulerTest, TasksWithoutAcceleratorsLeaveRoomForFreeAccelerators) {
  Machine& gpu_machine = machine("vm-1", "a", "rig");
  JobSpec gpu = job("run-000009", 1);
  gpu.need = {3, 1, 4};
  Job& gpu_job = add(gpu);  // determines the cpus and memory needed per accelerator
  run(gpu_job, gpu_machine);
  // Each task needs 2 cpus. Of the 5 free cpus, 3 are reserved for the free accelerator.
  add(job("run-000001", 10));
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}));
}

TEST_F(SchedulerTest, HeadroomIsReservedForClassWithWaitObjective) {
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  machine("vm-1");
  JobSpec spec = job("run-000001", 1);
  spec.job_class = "quick";
  spec.gang = true;
  spec.need = {2, 0, 4};
  add(spec);
  cluster.close_job("run-000001", false, now);  // one arrival, already completed
  add(job("run-000002", 20));
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}))
      << "6 of 8 cpus are reserved";
  spec.id = "run-000003";
  add(spec);
  EXPECT_EQ(plan().gangs.size(), 1u);
}

TEST_F(SchedulerTest, EndedBurstReservesNoMachineWhereTasksStrandSeveralAccelerators) {
  // More than half of the large machines with accelerators used to be reserved for gangs after the
  // first gangs of a day, while a thousand tasks waited for their accelerators.
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  machine("vm-1", "a", "rig");
  JobSpec spec = job("run-000001", 1);
  spec.job_class = "quick";
  spec.gang = true;
  spec.need = {6, 0, 4};
  add(spec);
  cluster.close_job("run-000001", false, now);
  JobSpec gpu = job("run-000002", 4);
  gpu.need = {4, 1, 4};
  add(gpu);
  EXPECT_TRUE(plan().placements.empty()) << "the machine is reserved for another gang";
  wall += seconds(90);
  EXPECT_EQ(task_count_by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 2}}));
}

TEST_F(SchedulerTest, JobsOfTeamAtItsLimitDoNotCountAsWaitingForAccelerators) {
  // Gangs used to wait next to machines whose accelerators nobody could use, since the only team
  // that requested them was at its limit.
  platform.teams[0].gpus_max = 2;
  Machine& full = machine("vm-1", "a", "rig");
  Job& others = add(job("run-000005", 4));
  for (int i = 0; i < 4; ++i) run(others, full);
  JobSpec gpu = job("run-000009", 40);
  gpu.need = {4, 1, 4};
  Job& open_job = add(gpu);
  JobSpec spec = job("run-000001", 1);
  spec.gang = true;
  spec.priority = Priority::high;
  spec.team = "blue";
  spec.need = {6, 0, 4};
  add(spec);
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 0u) << "other tasks wait for the accelerators";
  Machine& used = machine("vm-2", "a", "rig");
  for (int i = 0; i < 2; ++i) run(open_job, used);
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 1u) << "the room is reserved for the gang";
}

TEST_F(SchedulerTest, LongWaitObjectiveLowersTheBoundOnWaiting) {
  // With an objective of 99% of starts within two minutes, two minutes were also the bound after
  // which a gang became overdue, too late to meet the objective.
  const auto placed_after = [&](Seconds elapsed) {
    const WallTime before = wall;
    wall += std::chrono::duration_cast<Millis>(elapsed);
    const Plan result_plan = plan();
    wall = before;
    return result_plan.placements.at(0).job;
  };
  platform.teams[0].cpus = 0;
  machine("vm-1");
  JobSpec spec = job("run-000001", 64);
  spec.job_class = "slow";
  spec.priority = Priority::low;
  add(spec);
  spec = job("run-000002", 64);
  spec.job_class = "other";
  add(spec);
  EXPECT_EQ(placed_after(seconds(70)), "run-000002");
  platform.objectives.push_back({"wait", "slow", Seconds(20), 0.9, 1});
  EXPECT_EQ(placed_after(seconds(70)), "run-000002") << "short objectives do not change the bound";
  platform.objectives.push_back({"wait", "slow", Seconds(120), 0.99, 1});
  EXPECT_EQ(placed_after(seconds(70)), "run-000001");
}

TEST_F(SchedulerTest, NewMachineWithoutFencingTokenCountsAsUpcoming) {
  // The first heartbeat of a machine carries no fencing token. Until the next one, another machine
  // used to be launched in its place.
  cloud_capacity.refused_offers.erase({"box", "a", false});
  add(job("run-000001", 2));
  EXPECT_EQ(plan().capacity_requests.size(), 1u);
  Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.incarnation = heartbeat.sequence = 1;
  Effects effects;
  cluster.handle_heartbeat(heartbeat, now, true, effects);
  const Plan result_plan = plan();
  EXPECT_TRUE(result_plan.capacity_requests.empty());
  EXPECT_TRUE(result_plan.placements.empty()) << "nothing is placed on it yet";
  now += seconds(10);
  EXPECT_EQ(plan().capacity_requests.size(), 1u)
      << "it may be a delayed heartbeat of a deleted machine, so it counts for less than 10 s";
}

TEST_F(SchedulerTest, DemandForecastCountsEachArrivalOnce) {
  // A class with two wait objectives used to be counted twice, and a node that became leader again
  // counted the open jobs once more.
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  platform.objectives.push_back({"wait", "quick", Seconds(50), 0.97, 1});
  JobSpec spec = job("run-000001", 3);
  spec.job_class = "quick";
  add(spec);
  EXPECT_EQ(cluster.forecasts().at("quick").arrivals.size(), 1u);
  EXPECT_EQ(cluster.forecasts().at("quick").target_wait, Seconds(10));
  cluster.begin_term(2, now);
  add(spec);
  EXPECT_EQ(cluster.forecasts().at("quick").arrivals.size(), 1u);
}

TEST_F(SchedulerTest, LateJobIsPlacedAfterJobThatCanBeOnTime) {
  // Under overload, ordering by due time alone made every job miss its deadline.
  platform.teams[0].cpus = 0;  // no guarantee affects the order
  machine("vm-1");
  JobSpec spec = job("run-000001", 4);
  spec.estimate = Seconds(30);
  spec.deadline = Seconds(20);  // cannot be met any more
  add(spec);
  spec.id = "run-000002";
  spec.deadline = Seconds(90);
  add(spec);
  auto result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u);
  EXPECT_EQ(result_plan.placements[0].job, "run-000002");
  // With a second, later deadline objective, the first job can be on time again.
  platform.objectives.push_back({"deadline", spec.job_class, Seconds(0), 0.9, 2.0});
  result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u);
  EXPECT_EQ(result_plan.placements[0].job, "run-000001");
}

TEST_F(SchedulerTest, RequestsCheapestAllowedOfferThatWasNotRefused) {
  cloud_capacity.refused_offers.clear();
  add(job("run-000001", 4));
  auto result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].offer, (Offer{"box", "a", false}))
      << "the job does not allow spot machines";
  cloud_capacity.refused_offers.insert({"box", "a", false});
  EXPECT_EQ(plan().capacity_requests[0].offer, (Offer{"box", "b", false}));
  cloud_capacity.pending_launches = {{{"box", "b", false}, 1}};
  EXPECT_TRUE(plan().capacity_requests.empty()) << "a pending launch counts as an upcoming machine";
}

TEST_F(SchedulerTest, FirstTasksOfOverdueJobArePlacedFirst) {
  // Late jobs wait behind jobs that can be on time, but not without limit: the first tasks of any
  // job start within four minutes.
  platform.teams[0].cpus = 0;
  machine("vm-1");
  JobSpec late_job = job("run-000009", 4);
  late_job.estimate = Seconds(30);
  late_job.deadline = Seconds(20);
  add(late_job);
  wall += seconds(100);
  JobSpec spec = job("run-000001", 4);
  spec.estimate = Seconds(30);
  spec.deadline = Seconds(200);
  spec.priority = Priority::high;
  add(spec);
  auto result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u);
  EXPECT_EQ(result_plan.placements[0].job, "run-000001");
  wall += seconds(60);
  result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 2u);
  EXPECT_EQ(result_plan.placements[0].job, "run-000009")
      << "none of its tasks has started within the bound";
  EXPECT_EQ(result_plan.placements[0].count, 1u) << "only its first tasks have precedence";
  EXPECT_EQ(result_plan.placements[1].job, "run-000001");
}

TEST_F(SchedulerTest, JobBeyondMaxLatenessIsPlacedFirst) {
  platform.teams[0].cpus = 0;
  Machine& machine_1 = machine("vm-1");
  JobSpec late_job = job("run-000009", 5);
  late_job.estimate = Seconds(30);
  late_job.deadline = Seconds(20);
  Job& open_job = add(late_job);
  run(open_job, machine_1);  // the job has a running task
  wall += seconds(200);
  JobSpec spec = job("run-000001", 4);
  spec.estimate = Seconds(30);
  spec.deadline = Seconds(500);
  add(spec);
  EXPECT_EQ(plan().placements[0].job, "run-000001");
  wall += seconds(100);
  EXPECT_EQ(plan().placements[0].job, "run-000009");
}

TEST_F(SchedulerTest, RoomThatOtherTasksLeaveIsReservedForWaitingGang) {
  // Gangs do not preempt. Single tasks used to take each freed slot, and the larger a gang, the
  // longer it waited.
  Machine& half_full = machine("vm-1");
  Machine& full = machine("vm-2");
  JobSpec small = job("run-000001", 100);
  small.estimate = Seconds(30);
  small.image = "img-2";
  Job& open_job = add(small);
  for (int i = 0; i < 4; ++i) run(open_job, full);
  for (int i = 0; i < 2; ++i) run(open_job, half_full);  // 4 of 8 cpus are free
  JobSpec spec = job("run-000002", 2);
  spec.gang = true;
  spec.one_zone = true;
  spec.priority = Priority::high;
  spec.need = {8, 0, 4};
  add(spec);
  const Plan result_plan = plan();
  EXPECT_TRUE(result_plan.gangs.empty());
  EXPECT_TRUE(result_plan.placements.empty()) << "the free half of vm-1 is reserved for the gang";
  EXPECT_TRUE(result_plan.queued.empty());
  EXPECT_EQ(result_plan.reserved_room.count("vm-1") + result_plan.reserved_room.count("vm-2"), 2u)
      << "queued tasks must not use it either";
}

TEST_F(SchedulerTest, OverdueGangReservesRoomAheadOfTheQueue) {
  // Single tasks with a better queue position used to take each freed slot, and gangs waited for
  // ten minutes while other jobs used the machines in turn.
  Machine& machine_1 = machine("vm-1");
  JobSpec gang = job("run-000002", 2);
  gang.gang = true;
  gang.need = {4, 0, 4};
  gang.priority = Priority::low;
  gang.team = "blue";
  add(gang);
  JobSpec spec = job("run-000001", 50);
  spec.priority = Priority::high;
  spec.estimate = Seconds(30);
  Job& job = add(spec);
  for (int i = 0; i < 2; ++i) run(job, machine_1);  // 4 of 8 cpus are free
  wall += seconds(100);
  EXPECT_FALSE(plan().placements.empty());
  wall += seconds(100);
  EXPECT_TRUE(plan().placements.empty());
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 1u);
  machine("vm-2");
  EXPECT_EQ(plan().gangs.size(), 1u) << "where there is room the gang is placed first";
}

TEST_F(SchedulerTest, GangUsesAcceleratorMachinesOnlyAsLastResort) {
  // Gangs used to run on machines with accelerators; half of the accelerators were idle, and a
  // third of the jobs that needed them were late.
  machine("vm-1", "a", "rig");
  machine("vm-2", "a", "rig");
  JobSpec gpu = job("run-000009", 40);
  gpu.need = {4, 1, 4};
  gpu.priority = Priority::low;
  add(gpu);
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.priority = Priority::high;
  spec.need = {6, 0, 4};
  add(spec);
  cloud_capacity.refused_offers.erase({"box", "a", false});
  Plan result_plan = plan();
  EXPECT_TRUE(result_plan.gangs.empty());
  ASSERT_FALSE(result_plan.capacity_requests.empty());
  EXPECT_EQ(result_plan.capacity_requests[0].offer.type, "box");
  refuse_all_offers();
  EXPECT_EQ(plan().gangs.size(), 1u) << "no other machine can be launched";
}

TEST_F(SchedulerTest, TasksAreQueuedOnFullMachinesThatHaveTheImage) {
  platform.store_limits.write_rps = 0.2;  // far too few for one write per task
  Machine& machine_1 = machine("vm-1");
  Job& open_job = add(job("run-000001", 100));
  for (int i = 0; i < 4; ++i) run(open_job, machine_1);
  Plan result_plan = plan();
  EXPECT_TRUE(result_plan.placements.empty());
  ASSERT_EQ(result_plan.queued.size(), 1u);
  EXPECT_EQ(result_plan.queued[0].machine, "vm-1");
  const uint32_t count = result_plan.queued[0].count;
  EXPECT_GE(count, 1u);
  EXPECT_LE(count, 16u) << "the queue is limited to some seconds of work";
  for (uint32_t i = 0; i < count; ++i) {
    cluster.queue_on(machine_1, open_job, *open_job.pop_pending(), cluster.next_attempt(),
                     result_plan.queued[0].queue_position, now);
  }
  EXPECT_TRUE(plan().queued.empty()) << "the queue is refilled only when half empty";
}

TEST_F(SchedulerTest, MachineIsNotUsedUntilHeartbeatCarriesFencingToken) {
  // After a failover the leader knows neither a machine's last heartbeat nor which machines were
  // deleted: a delayed copy of a heartbeat must not make a deleted machine usable.
  Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.address = "10.0.0.1:9000";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.incarnation = 1;
  heartbeat.sequence = 7;
  heartbeat.fencing_token = 0;
  Effects effects;
  cluster.handle_heartbeat(heartbeat, now, true, effects);
  add(job("run-000001"));
  EXPECT_TRUE(plan().placements.empty());
  heartbeat.sequence = 8;
  heartbeat.fencing_token = 1;
  cluster.handle_heartbeat(heartbeat, now, true, effects);
  EXPECT_EQ(plan().placements.size(), 1u);
}

}  // namespace
}  // namespace dunlinknot::scheduler
