// Limits, zones, gangs, headroom: the plan as a function of the cluster.
#include "dunlinknot/scheduler/scheduler.hpp"

#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::scheduler {
namespace {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Effects;
using cluster::Job;
using cluster::Machine;
using Phase = cluster::AllocationPhase;
using std::chrono::seconds;
using test::job;

struct SchedulerTest : testing::Test {
  SchedulerTest() {
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.zones = {"a", "b"};
    box.price = 1;
    box.spot_price = 0.4;
    box.boot = Seconds(20);
    MachineType rig = box;
    rig.name = "rig";
    rig.size = {8, 2, 32};
    rig.price = 5;
    rig.spot_price = 2;
    c.begin_term(1, now);
    c.set_catalog({box, rig});
    none_to_launch();
  }
  void none_to_launch() {
    for (const char* type : {"box", "rig"}) {
      for (const char* zone : {"a", "b"}) {
        for (const bool spot : {false, true})
          cloud_capacity.refused_offers.insert({type, zone, spot});
      }
    }
  }
  Machine& machine(const std::string& id, const std::string& zone = "a",
                   const std::string& type = "box", bool spot = false) {
    Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = type;
    heartbeat.zone = zone;
    heartbeat.spot = spot;
    heartbeat.incarnation = 1;
    heartbeat.sequence = ++sequence;
    heartbeat.fencing_token = 1;
    Effects effects;
    c.handle_heartbeat(heartbeat, now, false, effects);
    return *c.find_machine(id);
  }
  Job& add(JobSpec spec) {
    const std::string id = spec.id;
    c.load_job({std::move(spec), wall}, 10, now);
    return *c.job(id);
  }
  void run(Job& job, Machine& machine, uint64_t attempt = 0) {
    Allocation& allocation =
        *c.allocate(machine, job, *job.pop_pending(), attempt ? attempt : c.next_attempt(), now);
    allocation.phase = Phase::seen;
    allocation.state = TaskState::running;
  }
  Plan plan() {
    return scheduler::plan(c, nominations, cloud_capacity, platform, op, wall + Millis(100), now);
  }
  static std::map<std::string, uint32_t> by_machine(const Plan& plan) {
    std::map<std::string, uint32_t> out;
    for (const Placement& placement : plan.placements) out[placement.machine] += placement.count;
    for (const GangPlacement& gang : plan.gangs) {
      for (const auto& [machine, count] : gang.shares) out[machine] += count;
    }
    return out;
  }

  settings::Platform platform = test::Site::platform(0, 1);
  settings::Operator op;
  Cluster c{platform, op};
  preemption::Nominations nominations;
  CloudCapacity cloud_capacity;
  Instant now{seconds(100)};
  WallTime wall{Millis(1'000'000)};
  uint64_t sequence = 1;
};

TEST_F(SchedulerTest, ATeamsLimitCountsEveryAllocationEvenOfClosedJobs) {
  Machine& this_machine = machine("vm-1");
  JobSpec spec = job("run-000001", 2);
  spec.team = "tiny";  // at most 4 cpus
  Job& job = add(spec);
  run(job, this_machine);
  c.close_job("run-000001", true, now);  // cancelled, and not gone yet
  spec.id = "run-000002";
  spec.tasks = 5;
  add(spec);
  uint32_t placed = 0;
  for (const auto& [machine, count] : by_machine(plan())) placed += count;
  EXPECT_EQ(placed, 1u);
}

TEST_F(SchedulerTest, RespectsTypesZonesAndKinds) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  machine("vm-3", "b", "box", true);
  machine("vm-4", "b", "rig");
  JobSpec spec = job("run-000001", 50);
  spec.zone = "b";
  spec.types = {"box"};
  add(spec);
  const auto on = by_machine(plan());
  EXPECT_EQ(on, (std::map<std::string, uint32_t>{{"vm-2", 4}}));
}

TEST_F(SchedulerTest, TogetherCountsOldAllocationsAndApartHalvesRoundedUp) {
  Machine& this_machine = machine("vm-1", "a");
  machine("vm-2", "b");
  JobSpec earlier = job("run-000001", 6);
  earlier.one_zone = true;
  Job& open_job = add(earlier);
  run(open_job, this_machine);
  EXPECT_FALSE(by_machine(plan()).contains("vm-2"));
  c.close_job("run-000001", false, now);
  JobSpec spec = job("run-000002", 5);
  spec.need = {1, 0, 1};
  spec.spread = true;
  add(spec);
  const auto on = by_machine(plan());
  EXPECT_EQ(on, (std::map<std::string, uint32_t>{{"vm-1", 3}, {"vm-2", 2}}));
}

TEST_F(SchedulerTest, AGangIsPlacedWholeInOneZoneOrNotAtAll) {
  machine("vm-1", "a");
  machine("vm-2", "b");
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  spec.one_zone = true;
  spec.need = {6, 0, 4};
  add(spec);
  EXPECT_TRUE(plan().gangs.empty()) << "one in each zone is not together";
  machine("vm-3", "b");
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.gangs.size(), 1u);
  EXPECT_EQ(by_machine(result_plan), (std::map<std::string, uint32_t>{{"vm-2", 1}, {"vm-3", 1}}));
}

TEST_F(SchedulerTest, AGangWaitsUntilItsOldAttemptIsGone) {
  Machine& this_machine = machine("vm-1");
  machine("vm-2");
  JobSpec spec = job("run-000001", 2);
  spec.gang = true;
  Job& job = add(spec);
  run(job, this_machine, 77);
  EXPECT_TRUE(plan().gangs.empty());
}

TEST_F(SchedulerTest, ATeamsLimitIsSavedUpForAWaitingGang) {
  // Found on a quiet day: small tasks of the same team took each freed piece of the limit, and a
  // gang waited for minutes on machines that stood free.
  Machine& this_machine = machine("vm-1");
  machine("vm-2");
  JobSpec small = job("run-000001", 20);
  small.team = "tiny";
  small.need = {2, 0, 1};
  Job& open_job = add(small);
  run(open_job, this_machine);
  JobSpec spec = job("run-000002", 1);
  spec.gang = true;
  spec.team = "tiny";
  spec.priority = Priority::high;
  spec.need = {4, 0, 1};
  add(spec);
  EXPECT_TRUE(plan().placements.empty()) << "the rest of the limit is the gang's";
}

TEST_F(SchedulerTest, WorkWithoutAcceleratorsLeavesRoomBesideFreeOnes) {
  Machine& rig = machine("vm-1", "a", "rig");
  JobSpec gpu = job("run-000009", 1);
  gpu.need = {3, 1, 4};
  Job& seen = add(gpu);  // what a task with one accelerator takes here
  run(seen, rig);
  add(job("run-000001", 10));  // 2 cpus each; 5 are free, 3 of them beside the free accelerator
  EXPECT_EQ(by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}));
}

TEST_F(SchedulerTest, HeadroomIsKeptForAClassWithAnAimForItsStart) {
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  machine("vm-1");
  JobSpec spec = job("run-000001", 1);
  spec.job_class = "quick";
  spec.gang = true;
  spec.need = {2, 0, 4};
  add(spec);
  c.close_job("run-000001", false, now);  // one came, and is over
  add(job("run-000002", 20));
  EXPECT_EQ(by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 1}}))
      << "6 of 8 are kept";
  spec.id = "run-000003";
  add(spec);
  EXPECT_EQ(plan().gangs.size(), 1u);
}

TEST_F(SchedulerTest, ARushThatIsOverKeepsNoMachineWhereATaskStrandsSeveralAccelerators) {
  // Found on a autoscaler: more than half of the large accelerator machines stood free for gangs
  // that might come like the day's first ones, while a thousand tasks waited for their
  // accelerators.
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  machine("vm-1", "a", "rig");
  JobSpec spec = job("run-000001", 1);
  spec.job_class = "quick";
  spec.gang = true;
  spec.need = {6, 0, 4};
  add(spec);
  c.close_job("run-000001", false, now);
  JobSpec gpu = job("run-000002", 4);
  gpu.need = {4, 1, 4};
  add(gpu);
  EXPECT_TRUE(plan().placements.empty()) << "kept for one more of them";
  wall += seconds(90);
  EXPECT_EQ(by_machine(plan()), (std::map<std::string, uint32_t>{{"vm-1", 2}}));
}

TEST_F(SchedulerTest, WorkAtItsTeamsLimitWantsNoAcceleratorsFromOthers) {
  // Found on a autoscaler: gangs waited beside machines whose accelerators nobody could use, since
  // the only team that asked for them was at its limit.
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
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 0u) << "the accelerators are wanted";
  Machine& used = machine("vm-2", "a", "rig");
  for (int i = 0; i < 2; ++i) run(open_job, used);
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 1u) << "the room is kept for the gang";
}

TEST_F(SchedulerTest, AnAimForTheLastOfAClassBringsTheBoundOnWaitingForward) {
  // Found on a autoscaler: with 99% to begin within two minutes, two minutes were also the bound
  // after which a gang went before all else, too late for the aim.
  const auto placed_after = [&](Seconds waiting_seconds) {
    const WallTime before = wall;
    wall += std::chrono::duration_cast<Millis>(waiting_seconds);
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
  EXPECT_EQ(placed_after(seconds(70)), "run-000002") << "short aims are for the ordinary order";
  platform.objectives.push_back({"wait", "slow", Seconds(120), 0.99, 1});
  EXPECT_EQ(placed_after(seconds(70)), "run-000001");
}

TEST_F(SchedulerTest, AMachineThatJustCameUpIsCountedOnBeforeItBearsOurFencingToken) {
  // Its first heartbeat bears none: for the moment until the next, another was launched in its
  // place.
  cloud_capacity.refused_offers.erase({"box", "a", false});
  add(job("run-000001", 2));
  EXPECT_EQ(plan().capacity_requests.size(), 1u);
  Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.incarnation = heartbeat.sequence = 1;
  Effects effects;
  c.handle_heartbeat(heartbeat, now, true, effects);
  const Plan result_plan = plan();
  EXPECT_TRUE(result_plan.capacity_requests.empty());
  EXPECT_TRUE(result_plan.placements.empty()) << "nothing is given to it yet";
  now += seconds(10);
  EXPECT_EQ(plan().capacity_requests.size(), 1u)
      << "a late copy of a machine that is gone keeps nobody waiting";
}

TEST_F(SchedulerTest, HeadroomCountsEachArrivalOnce) {
  // Found on the grown deployment: a class with two aims for its start was counted twice, and a
  // node that led a second time counted the open jobs once more.
  platform.objectives.push_back({"wait", "quick", Seconds(10), 0.9, 1});
  platform.objectives.push_back({"wait", "quick", Seconds(50), 0.97, 1});
  JobSpec spec = job("run-000001", 3);
  spec.job_class = "quick";
  add(spec);
  EXPECT_EQ(c.forecasts().at("quick").arrivals.size(), 1u);
  EXPECT_EQ(c.forecasts().at("quick").target_wait, Seconds(10));
  c.begin_term(2, now);
  add(spec);
  EXPECT_EQ(c.forecasts().at("quick").arrivals.size(), 1u);
}

TEST_F(SchedulerTest, WhatIsLateAnywayWaitsBehindWhatCanBeInTime) {
  // Found on a day with more work than machines: by due time alone, every job ended too late.
  platform.teams[0].cpus = 0;  // no guarantee comes first here
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
  // A second, later aim of the class makes it worth hurrying again.
  platform.objectives.push_back({"deadline", spec.job_class, Seconds(0), 0.9, 2.0});
  result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u);
  EXPECT_EQ(result_plan.placements[0].job, "run-000001");
}

TEST_F(SchedulerTest, LaunchesTheCheapestThatIsAllowedAndNotRefused) {
  cloud_capacity.refused_offers.clear();
  add(job("run-000001", 4));
  auto result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].offer, (Offer{"box", "a", false}))
      << "its job takes no spot machines";
  cloud_capacity.refused_offers.insert({"box", "a", false});
  EXPECT_EQ(plan().capacity_requests[0].offer, (Offer{"box", "b", false}));
  cloud_capacity.pending_launches = {{{"box", "b", false}, 1}};
  EXPECT_TRUE(plan().capacity_requests.empty()) << "what is asked for counts as coming";
}

TEST_F(SchedulerTest, NoOrderLetsAJobWaitForEver) {
  // What is late waits behind what can be in time, but with a bound; and whatever the order says,
  // the first tasks of a job start within four minutes.
  platform.teams[0].cpus = 0;
  machine("vm-1");
  JobSpec old = job("run-000009", 4);
  old.estimate = Seconds(30);
  old.deadline = Seconds(20);
  add(old);
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
  EXPECT_EQ(result_plan.placements[0].job, "run-000009") << "nothing of it has started for long";
  EXPECT_EQ(result_plan.placements[0].count, 1u) << "it begins, and the rest has its ordinary turn";
  EXPECT_EQ(result_plan.placements[1].job, "run-000001");
}

TEST_F(SchedulerTest, AJobThatIsLateForLongIsBroughtToItsEnd) {
  platform.teams[0].cpus = 0;
  Machine& this_machine = machine("vm-1");
  JobSpec old = job("run-000009", 5);
  old.estimate = Seconds(30);
  old.deadline = Seconds(20);
  Job& open_job = add(old);
  run(open_job, this_machine);  // it has begun
  wall += seconds(200);
  JobSpec spec = job("run-000001", 4);
  spec.estimate = Seconds(30);
  spec.deadline = Seconds(500);
  add(spec);
  EXPECT_EQ(plan().placements[0].job, "run-000001");
  wall += seconds(100);
  EXPECT_EQ(plan().placements[0].job, "run-000009");
}

TEST_F(SchedulerTest, TheRoomThatOthersLeaveIsKeptForAGangThatWaits) {
  // Gangs do not preempt: single tasks took each freed place, and the larger the gang the longer it
  // waited.
  Machine& a = machine("vm-1");
  Machine& this_machine = machine("vm-2");
  JobSpec small = job("run-000001", 100);
  small.estimate = Seconds(30);
  small.image = "img-2";
  Job& open_job = add(small);
  for (int i = 0; i < 4; ++i) run(open_job, this_machine);
  for (int i = 0; i < 2; ++i) run(open_job, a);  // 4 of 8 cpus are free
  JobSpec spec = job("run-000002", 2);
  spec.gang = true;
  spec.one_zone = true;
  spec.priority = Priority::high;
  spec.need = {8, 0, 4};
  add(spec);
  const Plan result_plan = plan();
  EXPECT_TRUE(result_plan.gangs.empty());
  EXPECT_TRUE(result_plan.placements.empty()) << "the free half of vm-1 is the gang's";
  EXPECT_TRUE(result_plan.queued.empty());
  EXPECT_EQ(result_plan.reserved_room.count("vm-1") + result_plan.reserved_room.count("vm-2"), 2u)
      << "queued tasks leave it too";
}

TEST_F(SchedulerTest, AnOverdueGangsRoomIsKeptBeforeTheQueuesOrder) {
  // Found in an incident: single tasks of a higher turn took each freed place, and gangs waited for
  // ten minutes beside machines that were used by turns.
  Machine& this_machine = machine("vm-1");
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
  for (int i = 0; i < 2; ++i) run(job, this_machine);  // 4 of 8 cpus are free
  wall += seconds(100);
  EXPECT_FALSE(plan().placements.empty());
  wall += seconds(100);
  EXPECT_TRUE(plan().placements.empty());
  EXPECT_EQ(plan().reserved_room.count("vm-1"), 1u);
  machine("vm-2");
  EXPECT_EQ(plan().gangs.size(), 1u) << "and where there is room it goes first";
}

TEST_F(SchedulerTest, AGangBorrowsAcceleratorMachinesLast) {
  // Found on the grown deployment: gangs stood on accelerator machines, half of the accelerators
  // stood idle, and a third of the work that needed them came too late.
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
  none_to_launch();
  EXPECT_EQ(plan().gangs.size(), 1u) << "nothing else is to be had";
}

TEST_F(SchedulerTest, TasksAreQueuedOnFullMachinesThatHaveTheImage) {
  platform.store_limits.write_rps = 0.2;  // far too few for one write a task
  Machine& this_machine = machine("vm-1");
  Job& open_job = add(job("run-000001", 100));
  for (int i = 0; i < 4; ++i) run(open_job, this_machine);
  Plan result_plan = plan();
  EXPECT_TRUE(result_plan.placements.empty());
  ASSERT_EQ(result_plan.queued.size(), 1u);
  EXPECT_EQ(result_plan.queued[0].machine, "vm-1");
  const uint32_t count = result_plan.queued[0].count;
  EXPECT_GE(count, 1u);
  EXPECT_LE(count, 16u) << "some seconds of work, no more";
  for (uint32_t i = 0; i < count; ++i) {
    c.queue_on(this_machine, open_job, *open_job.pop_pending(), c.next_attempt(),
               result_plan.queued[0].queue_position, now);
  }
  EXPECT_TRUE(plan().queued.empty()) << "filled up when half of it is gone";
}

TEST_F(SchedulerTest, AHeartbeatWithoutOurFencingTokenMayBeALateCopy) {
  // After a take-over nothing is known of a machine's last heartbeat, nor of what was deleted: a
  // copy of an old heartbeat must not bring a machine back to life.
  Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.address = "10.0.0.1:9000";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.incarnation = 1;
  heartbeat.sequence = 7;
  heartbeat.fencing_token = 0;
  Effects effects;
  c.handle_heartbeat(heartbeat, now, true, effects);
  add(job("run-000001"));
  EXPECT_TRUE(plan().placements.empty());
  heartbeat.sequence = 8;
  heartbeat.fencing_token = 1;
  c.handle_heartbeat(heartbeat, now, true, effects);
  EXPECT_EQ(plan().placements.size(), 1u);
}

// The cause of each job that has not begun, by its id.
std::map<std::string, WaitCause> wait_causes(const Plan& plan) {
  std::map<std::string, WaitCause> out;
  for (const auto& waiting : plan.waiting_jobs) out[waiting.job] = waiting.cause;
  return out;
}

TEST_F(SchedulerTest, AJobThatBeginsInTheCycleWaitsForNothing) {
  machine("vm-1");
  add(job("run-000001", 1));
  EXPECT_TRUE(wait_causes(plan()).empty());
}

TEST_F(SchedulerTest, TellsThatNoMachineHasRoomAndNoneCanBeLaunched) {
  run(add(job("run-000001", 1)), machine("vm-1"));
  JobSpec large = job("run-000002", 1);
  large.need.cpus = 8;
  add(large);
  JobSpec gang = job("run-000003", 2);
  gang.gang = true;
  gang.need.cpus = 8;
  add(gang);
  const auto causes = wait_causes(plan());
  EXPECT_EQ(causes.size(), 2u) << "what has begun waits for nothing";
  EXPECT_EQ(causes.at("run-000002"), WaitCause::no_room);
  EXPECT_EQ(causes.at("run-000003"), WaitCause::no_room);
}

TEST_F(SchedulerTest, TellsThatATeamIsAtItsLimit) {
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

TEST_F(SchedulerTest, TellsThatAMachineIsComing) {
  cloud_capacity.refused_offers.clear();
  add(job("run-000001", 1));
  EXPECT_EQ(wait_causes(plan()).at("run-000001"), WaitCause::machine_upcoming);
}

TEST_F(SchedulerTest, TellsThatRoomIsKeptForAGang) {
  run(add(job("run-000001", 1)), machine("vm-1"));
  JobSpec gang = job("run-000002", 1);
  gang.gang = true;
  gang.need.cpus = 8;
  add(gang);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::room_reserved);
}

TEST_F(SchedulerTest, TellsThatAJobIsQueuedOnly) {
  Machine& this_machine = machine("vm-1");
  JobSpec large = job("run-000001", 1);
  large.need.cpus = 8;
  run(add(large), this_machine);
  Job& open_job = add(job("run-000002", 1));
  c.queue_on(this_machine, open_job, *open_job.pop_pending(), c.next_attempt(), {}, now);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::queued_on_machine);
}

TEST_F(SchedulerTest, TellsThatTasksAreBeingStoppedForAJob) {
  Machine& this_machine = machine("vm-1");
  JobSpec low = job("run-000001", 1);
  low.priority = Priority::low;
  low.need.cpus = 8;
  run(add(low), this_machine);
  JobSpec high = job("run-000002", 1);
  high.priority = Priority::high;
  high.need.cpus = 8;
  add(high);
  const Plan first = plan();
  ASSERT_EQ(first.preemptions.size(), 1u);
  const Preemption& made = first.preemptions.front();
  nominations.add(made.job, made.machine, made.room, made.priority, made.victims);
  (void)c.preempt(this_machine, made.victims.front().task, made.victims.front().attempt, now);
  EXPECT_EQ(wait_causes(plan()).at("run-000002"), WaitCause::preemption);
}

}  // namespace
}  // namespace dunlinknot::scheduler
