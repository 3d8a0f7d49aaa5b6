// Tests of placement constraints, and of the handling of allocations that would violate them.
#include "dunlinknot/cluster/placement_constraints.hpp"

#include <limits>

#include "zoned_cluster.hpp"

namespace dunlinknot::cluster {
namespace {

using test::job;

constexpr uint32_t kUnlimited = std::numeric_limits<uint32_t>::max();

JobSpec zone_constrained_job(uint32_t tasks, bool one_zone, bool spread) {
  JobSpec spec = job("run-000001", tasks);
  spec.one_zone = one_zone;
  spec.spread = spread;
  return spec;
}

TEST(PlacementConstraintsTest, NoZoneConstraintAllowsAnyNumberInAnyZone) {
  const JobSpec spec = zone_constrained_job(4, false, false);
  PlacementConstraints constraints(spec);
  constraints.add("a", 4);
  EXPECT_FALSE(constraints.has_zone_constraint());
  EXPECT_EQ(constraints.tasks_allowed("a"), kUnlimited);
  EXPECT_EQ(constraints.tasks_allowed("b"), kUnlimited);
}

TEST(PlacementConstraintsTest, OneZoneAllowsOnlyTheZoneOfExistingTasks) {
  const JobSpec spec = zone_constrained_job(4, true, false);
  PlacementConstraints constraints(spec);
  EXPECT_EQ(constraints.tasks_allowed("b"), kUnlimited);
  constraints.add("a", 2);
  EXPECT_EQ(constraints.tasks_allowed("a"), kUnlimited);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
  constraints.remove("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
  constraints.remove("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("b"), kUnlimited);
}

TEST(PlacementConstraintsTest, SpreadAllowsHalfOfTheTasksRoundedUpPerZone) {
  EXPECT_EQ(max_tasks_per_zone(zone_constrained_job(9, false, true)), 5u);
  EXPECT_EQ(max_tasks_per_zone(zone_constrained_job(1, false, true)), 1u);
  const JobSpec spec = zone_constrained_job(9, false, true);
  PlacementConstraints constraints(spec);
  constraints.add("a", 3);
  EXPECT_EQ(constraints.tasks_allowed("a"), 2u);
  EXPECT_EQ(constraints.tasks_allowed("b"), 5u);
  constraints.add("a", 4);  // more than allowed, allocated by an earlier leader
  EXPECT_EQ(constraints.tasks_allowed("a"), 0u);
}

TEST(PlacementConstraintsTest, OneZoneWithSpreadAllowsHalfOfTheTasksInThatZone) {
  const JobSpec spec = zone_constrained_job(4, true, true);
  PlacementConstraints constraints(spec);
  constraints.add("a", 1);
  EXPECT_EQ(constraints.tasks_allowed("a"), 1u);
  EXPECT_EQ(constraints.tasks_allowed("b"), 0u);
}

TEST(PlacementConstraintsTest, PoolAllowedChecksTypeZoneAndSpot) {
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
  // A heartbeat that lists one running task without an allocation.
  Heartbeat heartbeat_with_orphan(const std::string& id, const std::string& zone, uint32_t index) {
    Heartbeat result = heartbeat(id, zone);
    result.tasks.push_back({{"run-000001", index}, 77, TaskState::running, ExitCause::none, false});
    return result;
  }
  static bool contains_start(const std::vector<Command>& commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const Command& command) { return command.op == Command::Op::start; });
  }
  static bool contains_stop(const std::vector<Command>& commands) {
    return std::any_of(commands.begin(), commands.end(),
                       [](const Command& command) { return command.op == Command::Op::stop; });
  }
};

TEST_F(AllocationConstraints, AllocationInAnotherZoneIsRefusedAndCounted) {
  Job& job = add(zone_constrained_job(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  Machine& machine_in_b = add_machine("vm-2", "b");
  EXPECT_EQ(cluster.allocate(machine_in_b, job, *job.pop_pending(), cluster.next_attempt(), now),
            nullptr);
  EXPECT_TRUE(machine_in_b.allocations.empty());
  EXPECT_EQ(cluster.refused_allocations(), 1u);
  EXPECT_EQ(job.pending(), 1u);
  EXPECT_EQ(job.pop_pending(), 1u) << "the task is pending again";
}

TEST_F(AllocationConstraints, QueuedAllocationInAnotherZoneIsRefused) {
  Job& job = add(zone_constrained_job(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  Machine& machine_in_b = add_machine("vm-2", "b");
  EXPECT_EQ(
      cluster.queue_on(machine_in_b, job, *job.pop_pending(), cluster.next_attempt(), {}, now),
      nullptr);
  EXPECT_EQ(cluster.refused_allocations(), 1u);
}

TEST_F(AllocationConstraints, AllocationOnDisallowedMachineTypeIsRefused) {
  JobSpec spec = zone_constrained_job(1, false, false);
  spec.types = {"crate"};
  Job& job = add(spec);
  EXPECT_EQ(cluster.allocate(add_machine("vm-1", "a"), job, *job.pop_pending(), 1, now), nullptr);
  EXPECT_EQ(cluster.refused_allocations(), 1u);
}

// An allocation exists and is about to be sent when an orphan of the same job is reported in
// another zone.
TEST_F(AllocationConstraints, AllocationConflictingWithOrphanIsWithdrawn) {
  Job& job = add(zone_constrained_job(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  EXPECT_FALSE(contains_stop(send(heartbeat_with_orphan("vm-2", "b", 1))))
      << "the orphan runs already and is accepted";
  EXPECT_FALSE(contains_start(send(heartbeat("vm-1", "a"))));
  EXPECT_TRUE(cluster.find_machine("vm-1")->allocations.empty());
  EXPECT_EQ(job.pending(), 1u);
}

TEST_F(AllocationConstraints, AllocationInSameZoneAsOrphanIsStarted) {
  Job& job = add(zone_constrained_job(2, true, false));
  allocate(job, add_machine("vm-1", "a"));
  send(heartbeat_with_orphan("vm-2", "a", 1));
  EXPECT_TRUE(contains_start(send(heartbeat("vm-1", "a"))));
}

TEST_F(AllocationConstraints, TaskOfOrphanIsNotStartedElsewhere) {
  Job& job = add(zone_constrained_job(1, false, false));
  allocate(job, add_machine("vm-1", "a"));
  EXPECT_TRUE(contains_stop(send(heartbeat_with_orphan("vm-2", "a", 0))));
  EXPECT_FALSE(contains_start(send(heartbeat("vm-1", "a"))))
      << "the task waits until the orphan has stopped";
}

TEST_F(AllocationConstraints, OrphanInAnotherZoneThanRunningTasksIsStopped) {
  Job& job = add(zone_constrained_job(2, true, false));
  run(job, add_machine("vm-1", "a"));
  EXPECT_TRUE(contains_stop(send(heartbeat_with_orphan("vm-2", "b", 1))));
}

TEST_F(AllocationConstraints, GangOrphanAbortsAttemptThatHasNotStarted) {
  JobSpec gang = zone_constrained_job(2, true, false);
  gang.gang = true;
  Job& job = add(gang);
  const uint64_t attempt = cluster.next_attempt();
  Machine& machine = add_machine("vm-1", "a");
  allocate(job, machine, attempt);
  allocate(job, machine, attempt);
  ASSERT_TRUE(job.gang_may_start);
  EXPECT_TRUE(contains_stop(send(heartbeat_with_orphan("vm-2", "b", 1))));
  EXPECT_FALSE(contains_start(send(heartbeat("vm-1", "a"))));
  EXPECT_TRUE(job.any_live()) << "no new attempt begins before the orphan has stopped";
  send(heartbeat("vm-2", "b"));
  EXPECT_FALSE(job.any_live());
}

TEST_F(AllocationConstraints, OrphanReportedBeforeItsJobIsLoadedCounts) {
  send(heartbeat_with_orphan("vm-2", "b", 1));
  JobSpec gang = zone_constrained_job(2, true, false);
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
