// Fixture with a cluster of equal machines in two zones, where no machine can be launched, for
// tests of placement constraints.
#pragma once
#include <gtest/gtest.h>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"
#include "site.hpp"

namespace dunlinknot::test {

struct ZonedCluster : testing::Test {
  using Zones = std::map<std::string, uint32_t>;

  ZonedCluster() {
    MachineType box;
    box.name = "box";
    box.size = {8, 0, 32};
    box.zones = {"a", "b"};
    box.price = 1;
    box.spot_price = 1;
    box.boot = Seconds(20);
    cluster.begin_term(1, now);
    cluster.set_catalog({box});
    for (const char* zone : {"a", "b"}) {
      for (const bool spot : {false, true})
        cloud_capacity.refused_offers.insert({"box", zone, spot});
    }
  }
  Heartbeat heartbeat(const std::string& id, const std::string& zone) {
    Heartbeat result;
    result.machine = id;
    result.address = "10.0.0.1:9000";
    result.type = "box";
    result.zone = zone;
    result.incarnation = 1;
    result.sequence = ++sequence;
    result.fencing_token = 1;
    return result;
  }
  std::vector<Command> send(const Heartbeat& heartbeat) {
    cluster::Effects effects;
    return cluster.handle_heartbeat(heartbeat, now, true, effects).commands;
  }
  cluster::Machine& add_machine(const std::string& id, const std::string& zone) {
    send(heartbeat(id, zone));
    return *cluster.find_machine(id);
  }
  cluster::Job& add(JobSpec spec) {
    const std::string id = spec.id;
    cluster.load_job({std::move(spec), wall}, 10, now);
    return *cluster.job(id);
  }
  // Allocates a task of the job on the machine and stores the allocation.
  cluster::Allocation& allocate(cluster::Job& job, cluster::Machine& machine,
                                uint64_t attempt = 0) {
    cluster::Allocation* allocation = cluster.allocate(
        machine, job, *job.pop_pending(), attempt != 0 ? attempt : cluster.next_attempt(), now);
    cluster::Effects effects;
    cluster.machine_stored(machine, cluster.record_of(machine), ++mod_revision, effects);
    return *allocation;
  }
  void run(cluster::Job& job, cluster::Machine& machine) {
    cluster::Allocation& allocation = allocate(job, machine);
    allocation.phase = cluster::AllocationPhase::seen;
    allocation.state = TaskState::running;
    allocation.running_since = now;
  }
  scheduler::Plan plan() {
    return scheduler::plan(cluster, nominations, cloud_capacity, platform, operator_settings,
                           wall + Millis(100), now);
  }

  settings::Platform platform = Site::platform(0, 1);
  settings::Operator operator_settings;
  cluster::LeaderState state{platform, operator_settings};
  cluster::Cluster& cluster = state.cluster;
  preemption::Nominations& nominations = state.nominations;
  scheduler::CloudCapacity cloud_capacity;
  Instant now{seconds(100)};
  WallTime wall{Millis(1'000'000)};
  uint64_t sequence = 1;
  uint64_t mod_revision = 20;
};

}  // namespace dunlinknot::test
