// Tests of nominations, victim lists and the two passes (KEP-5690, "Claim nomination" and below).
#include <gtest/gtest.h>

#include "dunlinknot/scheduler/scheduler.hpp"
#include "site.hpp"

namespace dunlinknot::preemption {
namespace {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Effects;
using cluster::Job;
using cluster::Machine;
using Phase = cluster::AllocationPhase;
using std::chrono::seconds;
using test::job;

struct PreemptionTest : testing::Test {
  PreemptionTest() {
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.zones = {"a"};
    cluster.begin_term(1, now);
    cluster.set_catalog({box});
    machine("vm-1");
    // No machine can be launched.
    cloud_capacity.refused_offers = {{"box", "a", false}, {"box", "a", true}};
  }
  Machine& machine(const std::string& id) {
    Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = "10.0.0.1:9000";
    heartbeat.type = "box";
    heartbeat.zone = "a";
    heartbeat.incarnation = 1;
    heartbeat.sequence = ++sequence;
    heartbeat.fencing_token = 1;
    Effects effects;
    cluster.handle_heartbeat(heartbeat, now, false, effects);
    return *cluster.find_machine(id);
  }
  Job& add(const std::string& id, Priority priority, double cpus, uint32_t tasks = 1,
           const std::string& team = "red") {
    JobSpec spec = job(id, tasks);
    spec.priority = priority;
    spec.team = team;
    spec.need = {cpus, 0, 1};
    cluster.load_job({spec, WallTime(Millis(sequence++))}, 10, now);
    return *cluster.job(id);
  }
  Allocation& run(Job& job, Machine& machine) {
    Allocation& allocation =
        *cluster.allocate(machine, job, *job.pop_pending(), cluster.next_attempt(), now);
    allocation.phase = Phase::seen;
    allocation.state = TaskState::running;
    allocation.running_since = now;
    return allocation;
  }
  scheduler::Plan plan() {
    nominations.remove_ended_victims(cluster);
    return scheduler::plan(cluster, nominations, cloud_capacity, platform, operator_settings,
                           WallTime(Millis(100'000)), now);
  }
  // Applies the plan's preemptions as the leader does.
  void apply_preemptions(const scheduler::Plan& plan) {
    for (const uint64_t id : plan.cleared_nominations) nominations.end(id, NominationEnd::cleared);
    for (const auto& preemption : plan.preemptions) {
      if (preemption.renews) nominations.end(preemption.renews, NominationEnd::renominated);
      for (const auto& victim : preemption.victims) {
        Machine& machine = *cluster.find_machine(preemption.machine);
        cluster.stop(machine, *machine.find(victim.task, victim.attempt),
                     cluster::StopReason::preempted, Seconds(0), now);
      }
      nominations.add(preemption.job, preemption.machine, preemption.room, preemption.priority,
                      preemption.victims);
    }
  }
  // Sends a heartbeat in which the stopped tasks are missing.
  void report_victims_removed(Machine& machine) {
    Heartbeat heartbeat;
    heartbeat.machine = machine.id;
    heartbeat.address = machine.address;
    heartbeat.type = "box";
    heartbeat.zone = "a";
    heartbeat.incarnation = 1;
    heartbeat.sequence = sequence = std::max(sequence, machine.sequence) + 1;
    heartbeat.fencing_token = 1;
    for (const Allocation& allocation : machine.allocations) {
      if (!allocation.stopping())
        heartbeat.tasks.push_back(
            {allocation.task, allocation.attempt, TaskState::running, {}, false});
    }
    Effects effects;
    cluster.handle_heartbeat(heartbeat, now, false, effects);
    nominations.remove_ended_victims(cluster);
  }

  // Makes room on vm-1 for run-000002, which a job of higher priority then takes. Returns the
  // nomination.
  uint64_t nominate_and_lose_room() {
    Machine& machine = *cluster.find_machine("vm-1");
    run(add("run-000001", Priority::low, 8), machine);
    add("run-000002", Priority::normal, 6);
    apply_preemptions(plan());
    report_victims_removed(machine);
    run(add("run-000003", Priority::high, 8), machine);
    return nominations.all().begin()->first;
  }

  settings::Platform platform = test::Site::platform(0, 1);
  settings::Operator operator_settings;
  Cluster cluster{platform, operator_settings};
  Nominations nominations;
  scheduler::CloudCapacity cloud_capacity;
  Instant now{seconds(100)};
  uint64_t sequence = 1;
};

TEST_F(PreemptionTest, PreemptsOnlyWhenNoMachineCanBeLaunched) {
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine);
  add("run-000002", Priority::high, 4);
  cloud_capacity.refused_offers.clear();
  EXPECT_TRUE(plan().preemptions.empty());
  EXPECT_FALSE(plan().capacity_requests.empty());
  cloud_capacity.refused_offers = {{"box", "a", false}, {"box", "a", true}};
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u);
  EXPECT_EQ(result_plan.preemptions[0].room.cpus, 4) << "the preemptor's need, not the victim's";
}

TEST_F(PreemptionTest, StopsNoMoreVictimsThanNeeded) {
  Machine& machine = *cluster.find_machine("vm-1");
  Job& low_priority_job = add("run-000001", Priority::low, 2, 4);
  for (int i = 0; i < 4; ++i) run(low_priority_job, machine);
  add("run-000002", Priority::high, 4);
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u);
  EXPECT_EQ(result_plan.preemptions[0].victims.size(), 2u);
}

TEST_F(PreemptionTest, EqualPriorityAndGangTasksAreNeverVictims) {
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::normal, 4), machine);
  JobSpec spec = job("run-000003", 1);
  spec.gang = true;
  spec.priority = Priority::low;
  spec.need = {4, 0, 1};
  cluster.load_job({spec, WallTime(Millis(1))}, 10, now);
  run(*cluster.job("run-000003"), machine).gang = true;
  add("run-000002", Priority::normal, 4);
  EXPECT_TRUE(plan().preemptions.empty());
  cluster.close_job("run-000002", false, now);
  JobSpec preemptor = spec;
  preemptor.id = "run-000004";
  preemptor.priority = Priority::production;
  preemptor.need = {8, 0, 1};
  cluster.load_job({preemptor, WallTime(Millis(2))}, 10, now);
  EXPECT_TRUE(plan().preemptions.empty()) << "a gang does not preempt";
}

TEST_F(PreemptionTest, NoSecondPreemptionWhileVictimIsAllocated) {
  Machine& machine_1 = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine_1);
  Machine& machine_2 = machine("vm-2");
  run(add("run-000005", Priority::low, 8), machine_2);
  add("run-000002", Priority::high, 4);
  apply_preemptions(plan());
  ASSERT_EQ(nominations.all().size(), 1u);
  for (int i = 0; i < 3; ++i) {
    now += seconds(30);
    machine_2.last_heartbeat = machine_1.last_heartbeat = now;
    EXPECT_TRUE(plan().preemptions.empty())
        << "there is no timeout after which it preempts elsewhere";
    EXPECT_EQ(nominations.all().size(), 1u);
  }
}

TEST_F(PreemptionTest, HoldBlocksEqualAndLowerPrioritiesButNotHigher) {
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine);
  add("run-000002", Priority::normal, 6);
  apply_preemptions(plan());
  report_victims_removed(machine);
  ASSERT_TRUE(machine.allocations.empty());
  // The preemptor is not considered in this cycle.
  cluster.job("run-000002")->not_before = now + seconds(5);
  cluster.job("run-000001")->not_before = now + seconds(5);
  add("run-000003", Priority::normal, 4);
  add("run-000004", Priority::low, 2);
  auto result_plan = plan();
  ASSERT_EQ(result_plan.placements.size(), 1u) << "two of the eight cpus are not held";
  EXPECT_EQ(result_plan.placements[0].job, "run-000004");
  add("run-000006", Priority::high, 8);
  result_plan = plan();
  ASSERT_FALSE(result_plan.placements.empty());
  EXPECT_EQ(result_plan.placements[0].job, "run-000006") << "a higher priority ignores the hold";
}

TEST_F(PreemptionTest, RoomOfAllocatedVictimIsNotUsed) {
  // The victim uses 8 cpus, the preemptor needs 2. Pass 1 has 6 free (victim subtracted, hold
  // added), but pass 2 has none free until the victim is missing in a heartbeat.
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine);
  add("run-000002", Priority::high, 2);
  apply_preemptions(plan());
  add("run-000003", Priority::normal, 4);
  EXPECT_TRUE(plan().placements.empty());
  report_victims_removed(machine);
  std::set<std::string> placed;
  for (const auto& placement : plan().placements) placed.insert(placement.job);
  EXPECT_TRUE(placed.contains("run-000002"));
  EXPECT_TRUE(placed.contains("run-000003"));
}

TEST_F(PreemptionTest, TwoPreemptorsShareOneVictim) {
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine);
  add("run-000002", Priority::normal, 4);
  apply_preemptions(plan());
  add("run-000003", Priority::normal, 4);
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u) << "it gets the other half of the victim's room";
  apply_preemptions(result_plan);
  EXPECT_EQ(nominations.all().size(), 2u);
  EXPECT_EQ(nominations.victims_on("vm-1")->size(), 1u);
  add("run-000007", Priority::normal, 4);
  EXPECT_TRUE(plan().preemptions.empty()) << "both halves are held";
}

TEST_F(PreemptionTest, PlacementUsesHeldRoomFirstAndEndsNomination) {
  Machine& machine_1 = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine_1);
  add("run-000002", Priority::high, 4);
  apply_preemptions(plan());
  report_victims_removed(machine_1);
  machine("vm-2");  // empty and equally suitable
  const auto result_plan = plan();
  ASSERT_FALSE(result_plan.placements.empty());
  EXPECT_EQ(result_plan.placements[0].machine, "vm-1");
  ASSERT_EQ(result_plan.placements[0].ends_nominations.size(), 1u);
  nominations.end(result_plan.placements[0].ends_nominations[0], NominationEnd::placed);
  EXPECT_TRUE(nominations.all().empty());
}

TEST_F(PreemptionTest, VictimListOutlivesNomination) {
  Machine& machine = *cluster.find_machine("vm-1");
  run(add("run-000001", Priority::low, 8), machine);
  add("run-000002", Priority::high, 4);
  apply_preemptions(plan());
  nominations.end_all_of_job("run-000002");  // cancelled
  EXPECT_TRUE(nominations.all().empty());
  EXPECT_TRUE(nominations.has_victims("vm-1"));
  nominations.remove_ended_victims(cluster);
  EXPECT_TRUE(nominations.has_victims("vm-1"));
  report_victims_removed(machine);
  EXPECT_FALSE(nominations.has_victims("vm-1"));
}

TEST_F(PreemptionTest, FailedStopCallEndsNominationAndRemovesVictims) {
  Machine& machine = *cluster.find_machine("vm-1");
  const Allocation& allocation = run(add("run-000001", Priority::low, 8), machine);
  const Victim victim{allocation.task, allocation.attempt};
  add("run-000002", Priority::high, 4);
  apply_preemptions(plan());
  nominations.handle_stop_failure("vm-2", {victim});
  EXPECT_EQ(nominations.all().size(), 1u) << "the failed call was for another machine";
  nominations.handle_stop_failure("vm-1", {victim});
  EXPECT_TRUE(nominations.all().empty());
  EXPECT_FALSE(nominations.has_victims("vm-1"));
}

TEST_F(PreemptionTest, RenominatesAfterVictimsEndedAndRoomWasLost) {
  const uint64_t lost_nomination = nominate_and_lose_room();
  Machine& machine_2 = machine("vm-2");
  run(add("run-000004", Priority::low, 8), machine_2);
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u);
  EXPECT_EQ(result_plan.preemptions[0].renews, lost_nomination);
  EXPECT_EQ(result_plan.preemptions[0].machine, "vm-2");
  apply_preemptions(result_plan);
  ASSERT_EQ(nominations.all().size(), 1u);
  EXPECT_EQ(nominations.all().begin()->second.machine, "vm-2");
}

// When machines could be launched, such a nomination used to be neither used, renewed nor cleared,
// and no machine was launched for its task.
TEST_F(PreemptionTest, NominationWithLostRoomIsClearedWhenMachinesCanBeLaunched) {
  const uint64_t lost_nomination = nominate_and_lose_room();
  cluster.close_job("run-000001", false, now);
  cloud_capacity.refused_offers.clear();
  const auto result_plan = plan();
  EXPECT_TRUE(result_plan.preemptions.empty());
  EXPECT_EQ(result_plan.cleared_nominations, std::vector<uint64_t>{lost_nomination});
  apply_preemptions(result_plan);
  EXPECT_FALSE(plan().capacity_requests.empty());
}

TEST_F(PreemptionTest, GuaranteedJobPreemptsUsageBeyondOtherGuarantee) {
  Machine& machine_1 = *cluster.find_machine("vm-1");
  Job& guaranteed_job = add("run-000001", Priority::high, 4, 2, "blue");  // 8 cpus of 8 guaranteed
  run(guaranteed_job, machine_1);
  run(guaranteed_job, machine_1);
  add("run-000002", Priority::low, 4, 1, "red");
  EXPECT_TRUE(plan().preemptions.empty()) << "team blue is within its own guarantee";
  Machine& machine_2 = machine("vm-2");
  Job& further_job = add("run-000003", Priority::high, 4, 2, "blue");
  run(further_job, machine_2);
  run(further_job, machine_2);
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u);
  EXPECT_EQ(result_plan.preemptions[0].job, "run-000002");
}

TEST_F(PreemptionTest, VictimThatWasNeverSentIsWithdrawnImmediately) {
  // An allocation that had not been sent to its worker used to be treated as stopping forever,
  // which blocked its machine.
  Machine& machine = *cluster.find_machine("vm-1");
  Job& low_priority_job = add("run-000001", Priority::low, 8);
  const Allocation allocation = *cluster.allocate(
      machine, low_priority_job, *low_priority_job.pop_pending(), cluster.next_attempt(), now);
  const auto effects = cluster.preempt(machine, allocation.task, allocation.attempt, now);
  EXPECT_TRUE(effects.schedule);
  EXPECT_TRUE(machine.allocations.empty());
  EXPECT_EQ(low_priority_job.pending(), 1u);
}

TEST_F(PreemptionTest, FailingJobDoesNotPreempt) {
  run(add("run-000001", Priority::low, 8), *cluster.find_machine("vm-1"));
  add("run-000002", Priority::high, 4).failing = true;
  EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(PreemptionTest, JobWithinItsGuaranteeIsNotVictimOfAnotherGuarantee) {
  // Two teams, each with jobs within its guarantee and more beyond, used to preempt each other's
  // tasks ten times a second.
  machine("vm-2");
  // Uses 8 cpus of 8 guaranteed.
  Job& within_guarantee = add("run-000001", Priority::normal, 4, 2, "blue");
  Job& beyond_guarantee = add("run-000002", Priority::normal, 4, 2, "blue");
  run(within_guarantee, *cluster.find_machine("vm-1"));
  run(within_guarantee, *cluster.find_machine("vm-1"));
  run(beyond_guarantee, *cluster.find_machine("vm-2"));
  run(beyond_guarantee, *cluster.find_machine("vm-2"));
  add("run-000003", Priority::normal, 4, 2, "red");
  const auto result_plan = plan();
  ASSERT_EQ(result_plan.preemptions.size(), 1u);
  EXPECT_EQ(result_plan.preemptions[0].machine, "vm-2");
  for (const auto& victim : result_plan.preemptions[0].victims)
    EXPECT_EQ(victim.task.job, "run-000002");
}

}  // namespace
}  // namespace dunlinknot::preemption
