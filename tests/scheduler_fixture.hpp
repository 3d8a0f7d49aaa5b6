// Fixture for tests of plan(): a cluster with two machine types and machines that the tests add.
#pragma once
#include <gtest/gtest.h>

#include "dunlinknot/scheduler/scheduler.hpp"
#include "site.hpp"

namespace dunlinknot::scheduler {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Effects;
using cluster::Job;
using cluster::Machine;
using Phase = cluster::AllocationPhase;
using std::chrono::seconds;
using test::job;

struct SchedulerTest : testing::Test {
  static constexpr Millis kLongWaitMillis = std::chrono::duration_cast<Millis>(kLongWait);
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
    cluster.begin_term(1, now);
    cluster.set_catalog({box, rig});
    refuse_all_offers();
  }
  void refuse_all_offers() {
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
    cluster.handle_heartbeat(heartbeat, now, false, effects);
    return *cluster.find_machine(id);
  }
  Job& add(JobSpec spec) {
    const std::string id = spec.id;
    cluster.load_job({std::move(spec), wall}, 10, now);
    return *cluster.job(id);
  }
  void run(Job& job, Machine& machine, uint64_t attempt = 0) {
    Allocation& allocation = *cluster.allocate(machine, job, *job.pop_pending(),
                                               attempt ? attempt : cluster.next_attempt(), now);
    allocation.phase = Phase::seen;
    allocation.state = TaskState::running;
  }
  // A task of the job fails on the machine now.
  void fail_on(Job& failing_job, Machine& failing_machine) {
    const cluster::FailureDetector detector(operator_settings, seconds(14));
    detector.on_task_error(failing_machine, &failing_job, cluster.jobs(), now);
  }
  Plan plan() {
    return scheduler::plan(cluster, nominations, cloud_capacity, platform, operator_settings,
                           wall + Millis(100), now);
  }
  static std::map<std::string, uint32_t> task_count_by_machine(const Plan& plan) {
    std::map<std::string, uint32_t> counts;
    for (const Placement& placement : plan.placements) counts[placement.machine] += placement.count;
    for (const GangPlacement& gang : plan.gangs) {
      for (const auto& [machine, count] : gang.shares) counts[machine] += count;
    }
    return counts;
  }

  settings::Platform platform = test::Site::platform(0, 1);
  settings::Operator operator_settings;
  Cluster cluster{platform, operator_settings};
  preemption::Nominations nominations;
  CloudCapacity cloud_capacity;
  Instant now{seconds(100)};
  WallTime wall{Millis(1'000'000)};
  uint64_t sequence = 1;
};

}  // namespace dunlinknot::scheduler
