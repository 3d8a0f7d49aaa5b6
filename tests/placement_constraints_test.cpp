// Where the tasks of one job may go, and what happens to allocations that would break that.
#include "dunlinknot/cluster/placement_constraints.hpp"

#include <limits>

#include "zoned_cluster.hpp"

namespace dunlinknot::cluster {
namespace {

using test::job;

constexpr uint32_t kAny = std::numeric_limits<uint32_t>::max();

JobSpec zoned(uint32_t tasks, bool one_zone, bool spread) {
  JobSpec spec = job("run-000001", tasks);
  spec.one_zone = one_zone;
  spec.spread = spread;
  return spec;
}

TEST(PlacementConstraintsTest, AJobWithoutARuleAboutZonesMayHaveAnyNumberAnywhere) {
  const JobSpec spec = zoned(4, false, false);
  PlacementConstraints constraints(spec);
  constraints.add("a", 4);
  EXPECT_FALSE(constraints.has_zone_constraint());
  EXPECT_EQ(constraints.tasks_allowed("a"), kAny);
  EXPECT_EQ(constraints.tasks_allowed("b"), kAny);
}

TEST(PlacementConstraintsTest, OneZoneIsTheZoneOfTheTasksThatAreThere) {
  const JobSpec spec = zoned(4, true, false);
  PlacementConstraints constraints(spec);
  EXPECT_EQ(constraints.tasks_allowed("b"), kAny);
  constraints.add("a", 2);
  EXPECT_EQ(constraints.tasks_allowed("a"), kAny);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
  constraints.remove("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
  constraints.remove("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("b"), kAny);
}

TEST(PlacementConstraintsTest, HalfOfTheTasksRoundedUpMayBeInAZone) {
  EXPECT_EQ(max_tasks_per_zone(zoned(9, false, true)), 5u);
  EXPECT_EQ(max_tasks_per_zone(zoned(1, false, true)), 1u);
  const JobSpec spec = zoned(9, false, true);
  PlacementConstraints constraints(spec);
  constraints.add("a", 3);
  EXPECT_EQ(constraints.tasks_allowed("a"), 2u);
  EXPECT_EQ(constraints.tasks_allowed("b"), 5u);
  constraints.add("a", 4);  // more than there may be, by a leader of before
  EXPECT_EQ(constraints.tasks_allowed("a"), 0u);
}

TEST(PlacementConstraintsTest, BothRulesTogetherLeaveHalfOfTheTasksInOneZone) {
  const JobSpec spec = zoned(4, true, true);
  PlacementConstraints constraints(spec);
  constraints.add("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("a"), 1u);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
}

TEST(PlacementConstraintsTest, TypesZoneAndSpotMachines) {
  JobSpec spec = job("run-000001");
  EXPECT_TRUE(pool_allowed(spec, "box", "a", false));
  EXPECT_FALSE(pool_allowed(spec, "box", "a", true));
  spec.spot = true;
  EXPECT_TRUE(pool_allowed(spec, "box", "a", true));
  spec.types = {"crate", "rig"};
  EXPECT_FALSE(pool_allowed(spec, "box", "a", false));
  EXPECT_TRUE(pool_allowed(spec, "rig", "a", false));
  spec.zone = "b";
  EXPECT_FALSE(pool_allowed(spec, "rig", "a", false));
  EXPECT_TRUE(pool_allowed(spec, "rig", "b", false));
}

struct AllocationConstraints : test::ZonedCluster {
  // A heartbeat that lists one task, running, whose allocation nobody made.
  Heartbeat with_orphan(const std::string& id, const std::string& zone, uint32_t index) {
    Heartbeat out = heartbeat(id, zone);
    out.tasks.push_back({{"run-000001", index}, 77, TaskState::running, ExitCause::none, false});
    return out;
  }
  static bool starts_any(const std::vector<Command>& commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const Command& command) { return command.op == Command::Op::start; });
  }
  static bool stops_any(const std::vector<Command>& commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const Command& command) { return command.op == Command::Op::stop; });
  }
};

TEST_F(AllocationConstraints, AnAllocationInAnotherZoneIsRefusedAndCounted) {
  Job& job = add(zoned(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  Machine& other = add_machine("vm-2", "b");
  EXPECT_EQ(cluster.allocate(other, job, *job.pop_pending(), cluster.next_attempt(), now), nullptr);
  EXPECT_TRUE(other.allocations.empty());
  EXPECT_EQ(cluster.refused_allocations(), 1u);
  EXPECT_EQ(job.pending(), 1u);
  EXPECT_EQ(job.pop_pending(), 1u) << "it can be allocated elsewhere";
}

TEST_F(AllocationConstraints, AQueuedAllocationInAnotherZoneIsRefused) {
  Job& job = add(zoned(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  Machine& other = add_machine("vm-2", "b");
  EXPECT_EQ(cluster.queue_on(other, job, *job.pop_pending(), cluster.next_attempt(), {}, now),
            nullptr);
  EXPECT_EQ(cluster.refused_allocations(), 1u);
}

TEST_F(AllocationConstraints, AnAllocationOnAKindOfMachineThatIsNotAllowedIsRefused) {
  JobSpec spec = zoned(1, false, false);
  spec.types = {"crate"};
  Job& job = add(spec);
  EXPECT_EQ(cluster.allocate(add_machine("vm-1", "a"), job, *job.pop_pending(), 1, now), nullptr);
  EXPECT_EQ(cluster.refused_allocations(), 1u);
}

// An allocation stands and is about to be sent when a task of the job turns up in another zone.
TEST_F(AllocationConstraints, WhatMayNotStartBesideAnOrphanIsUndone) {
  Job& job = add(zoned(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  EXPECT_FALSE(stops_any(send(with_orphan("vm-2", "b", 1)))) << "it is there, and may stay";
  EXPECT_FALSE(starts_any(send(heartbeat("vm-1", "a"))));
  EXPECT_TRUE(cluster.find_machine("vm-1")->allocations.empty());
  EXPECT_EQ(job.pending(), 1u);
}

TEST_F(AllocationConstraints, WhatMayStartBesideAnOrphanStays) {
  Job& job = add(zoned(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  send(with_orphan("vm-2", "a", 1));
  EXPECT_TRUE(starts_any(send(heartbeat("vm-1", "a"))));
}

TEST_F(AllocationConstraints, TheTaskThatAnOrphanIsDoesNotStartElsewhere) {
  Job& job = add(zoned(1, false, false));
  allocate(job, add_machine("vm-1", "a"));
  EXPECT_TRUE(stops_any(send(with_orphan("vm-2", "a", 0))));
  EXPECT_FALSE(starts_any(send(heartbeat("vm-1", "a")))) << "not before the orphan is gone";
}

TEST_F(AllocationConstraints, AnOrphanInAnotherZoneThanTheJobsTasksIsStopped) {
  Job& job = add(zoned(2, true, false));
  run(job, add_machine("vm-1", "a"));
  EXPECT_TRUE(stops_any(send(with_orphan("vm-2", "b", 1))));
}

TEST_F(AllocationConstraints, AnOrphanOfAGangBreaksTheAttemptThatIsAboutToStart) {
  JobSpec gang = zoned(2, true, false);
  gang.gang = true;
  Job& job = add(gang);
  const uint64_t attempt = cluster.next_attempt();
  Machine& machine = add_machine("vm-1", "a");
  allocate(job, machine, attempt);
  allocate(job, machine, attempt);
  ASSERT_TRUE(job.gang_may_start);
  EXPECT_TRUE(stops_any(send(with_orphan("vm-2", "b", 1))));
  EXPECT_FALSE(starts_any(send(heartbeat("vm-1", "a"))));
  EXPECT_TRUE(job.any_live()) << "no attempt begins while the orphan is there";
  send(heartbeat("vm-2", "b"));
  EXPECT_FALSE(job.any_live());
}

TEST_F(AllocationConstraints, AllocationsThatAreOlderThanTheRecordOfTheirJobCount) {
  send(with_orphan("vm-2", "b", 1));
  JobSpec gang = zoned(2, true, false);
  gang.gang = true;
  const Job& job = add(gang);
  EXPECT_TRUE(job.any_live());
  add_machine("vm-1", "a");
  EXPECT_TRUE(plan().gangs.empty());
  send(heartbeat("vm-2", "b"));
  EXPECT_EQ(plan().gangs.size(), 1u);
}

}  // namespace
}  // namespace dunlinknot::cluster
