// Tests of zone constraints in the scheduler, for jobs whose tasks must be in one zone or at most
// half of them in each zone. Every stage that places tasks must respect them, including tasks that
// are allocated, placed earlier in the cycle, or nominated.
#include "dunlinknot/scheduler/apply.hpp"
#include "zoned_cluster.hpp"

namespace dunlinknot::scheduler {
namespace {

using cluster::Allocation;
using cluster::Job;
using cluster::Machine;
using test::job;

struct ZoneConstraints : test::ZonedCluster {
  // Adds a job of high priority whose tasks need half of a machine each.
  Job& add_preemptor(uint32_t tasks, bool one_zone, bool spread) {
    JobSpec spec = job("run-000002", tasks);
    spec.priority = Priority::high;
    spec.need = {4, 0, 4};
    spec.one_zone = one_zone;
    spec.spread = spread;
    return add(spec);
  }
  // Fills the machine with one task of low priority.
  void fill(Machine& machine) {
    JobSpec spec = job("run-0001" + std::to_string(10 + filler_count++));
    spec.priority = Priority::low;
    spec.need = {8, 0, 4};
    run(add(spec), machine);
  }
  // Nominates the machine for a task of the job, with no victim left there.
  uint64_t nominate(const Job& job, const Machine& machine) {
    return nominations.add(job.spec().id, machine.id, job.spec().need, job.spec().priority, {});
  }
  // The number of tasks that the plan places in each zone.
  std::map<std::string, uint32_t> placed_by_zone(const Plan& plan) {
    std::map<std::string, uint32_t> zones;
    for (const auto& placement : plan.placements)
      zones[cluster.find_machine(placement.machine)->zone] += placement.count;
    return zones;
  }
  std::map<std::string, uint32_t> preemptions_by_zone(const Plan& plan) {
    std::map<std::string, uint32_t> zones;
    for (const auto& preemption : plan.preemptions)
      ++zones[cluster.find_machine(preemption.machine)->zone];
    return zones;
  }

  int filler_count = 0;
};

TEST_F(ZoneConstraints, NominationInAnotherZoneThanTheJobIsCleared) {
  Job& job = add_preemptor(2, true, false);
  const uint64_t nomination = nominate(job, add_machine("vm-1", "a"));
  run(job, add_machine("vm-2", "b"));
  fill(*cluster.find_machine("vm-2"));  // no further room there
  const Plan result_plan = plan();
  EXPECT_EQ(placed_by_zone(result_plan), Zones{});
  EXPECT_EQ(result_plan.cleared_nominations, std::vector<uint64_t>{nomination});
}

TEST_F(ZoneConstraints, NominationInZoneWithHalfOfTheJobIsCleared) {
  Job& job = add_preemptor(3, false, true);
  Machine& machine = add_machine("vm-1", "a");
  run(job, machine);
  run(job, machine);
  const uint64_t nomination = nominate(job, add_machine("vm-2", "a"));
  const Plan result_plan = plan();
  EXPECT_EQ(placed_by_zone(result_plan), Zones{});
  EXPECT_EQ(result_plan.cleared_nominations, std::vector<uint64_t>{nomination});
}

TEST_F(ZoneConstraints, NominationsInTwoZonesAreUsedInOneZoneOnly) {
  Job& job = add_preemptor(2, true, false);
  nominate(job, add_machine("vm-1", "a"));
  nominate(job, add_machine("vm-2", "b"));
  EXPECT_EQ(placed_by_zone(plan()).size(), 1u);
}

TEST_F(ZoneConstraints, PlacementByNominationBindsTheZoneForTheCycle) {
  Machine& machine = add_machine("vm-1", "a");
  JobSpec half = job("run-000001");
  half.priority = Priority::production;
  half.need = {4, 0, 4};
  run(add(half), machine);
  nominate(add_preemptor(3, true, false), machine);
  add_machine("vm-2", "b");  // empty
  EXPECT_EQ(placed_by_zone(plan()), (Zones{{"a", 1}}));
}

TEST_F(ZoneConstraints, PlacementByNominationCountsTowardsSpreadLimit) {
  Job& job = add_preemptor(3, false, true);
  nominate(job, add_machine("vm-1", "a"));
  add_machine("vm-2", "a");
  EXPECT_EQ(placed_by_zone(plan()), (Zones{{"a", 2}}));
}

TEST_F(ZoneConstraints, OneZoneJobPreemptsInOneZoneOnly) {
  add_preemptor(2, true, false);
  fill(add_machine("vm-1", "a"));
  fill(add_machine("vm-2", "b"));
  EXPECT_EQ(preemptions_by_zone(plan()).size(), 1u);
}

TEST_F(ZoneConstraints, SpreadJobPreemptsForHalfOfItsTasksPerZone) {
  add_preemptor(3, false, true);
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) fill(add_machine(id, "a"));
  EXPECT_EQ(preemptions_by_zone(plan()), (Zones{{"a", 2}}));
}

TEST_F(ZoneConstraints, OneZoneJobPreemptsOnlyInZoneOfItsNominations) {
  Job& job = add_preemptor(3, true, false);
  Machine& machine = add_machine("vm-1", "a");
  fill(machine);
  const Allocation& victim = machine.allocations.front();
  for (int half = 0; half < 2; ++half) {
    nominations.add(job.spec().id, machine.id, job.spec().need, job.spec().priority,
                    {{victim.task, victim.attempt}});
  }
  fill(add_machine("vm-2", "b"));
  EXPECT_EQ(preemptions_by_zone(plan()), Zones{});
  fill(add_machine("vm-3", "a"));
  EXPECT_EQ(preemptions_by_zone(plan()), (Zones{{"a", 1}}));
}

TEST_F(ZoneConstraints, MachinesAreRequestedInZonesWithAllowedTasks) {
  for (const bool spread : {false, true}) {
    const std::string zone = spread ? "a" : "b";  // the offers of zone a come first
    Job& job = add_preemptor(4, !spread, spread);
    Machine& machine = add_machine("vm-" + zone, zone);
    run(job, machine);
    run(job, machine);
    cloud_capacity.refused_offers.clear();
    const Plan result_plan = plan();
    ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
    EXPECT_EQ(result_plan.capacity_requests[0].offer.zone, "b");
    cluster.close_job("run-000002", false, now);
    cluster.remove_machine("vm-" + zone, now);
  }
}

TEST_F(ZoneConstraints, MachinesForSpreadGangAreRequestedInSeveralZones) {
  JobSpec gang = job("run-000002", 4);
  gang.gang = true;
  gang.need = {8, 0, 4};
  gang.spread = true;
  add(gang);
  cloud_capacity.refused_offers.clear();
  Plan result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].offer.zone, "a");
  EXPECT_EQ(result_plan.capacity_requests[0].count, 2u);
  cloud_capacity.pending_launches = {{result_plan.capacity_requests[0].offer, 2}};
  result_plan = plan();
  ASSERT_EQ(result_plan.capacity_requests.size(), 1u);
  EXPECT_EQ(result_plan.capacity_requests[0].offer.zone, "b");
  EXPECT_EQ(result_plan.capacity_requests[0].count, 2u);
}

TEST_F(ZoneConstraints, RoomForSpreadGangIsReservedInSeveralZones) {
  for (const char* id : {"vm-1", "vm-2"}) fill(add_machine(id, "a"));
  fill(add_machine("vm-3", "b"));
  JobSpec gang = job("run-000002", 2);
  gang.gang = true;
  gang.need = {8, 0, 4};
  gang.spread = true;
  add(gang);
  const Plan result_plan = plan();
  EXPECT_EQ(result_plan.reserved_room.size(), 2u);
  EXPECT_TRUE(result_plan.reserved_room.contains("vm-3"));
}

// A record longer than the key-value store's limit is never written, so nothing on that machine
// would start any more. The record must fit after all placements of one cycle.
TEST_F(ZoneConstraints, PlacementsFitIntoMachineRecord) {
  Machine& machine = add_machine("vm-1", "a");
  JobSpec many = job("run-000001", 5'000);
  many.need = {0.001, 0, 0.001};
  add(many);
  JobSpec gang = many;
  gang.id = "run-000002";
  gang.gang = true;
  add(gang);
  platform.store_limits.write_rps = 0.1;  // so that tasks are queued on the machine
  const Plan result_plan = plan();
  EXPECT_FALSE(result_plan.placements.empty());
  EXPECT_TRUE(result_plan.gangs.empty());
  (void)apply(result_plan, state, now);
  EXPECT_LE(cluster.record_size(machine), cluster.record_limit());
}

}  // namespace
}  // namespace dunlinknot::scheduler
