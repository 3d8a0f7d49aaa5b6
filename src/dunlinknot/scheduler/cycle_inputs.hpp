// The snapshot on which one scheduling cycle decides.
#pragma once
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Job;
using cluster::Machine;
using cluster::PlacementConstraints;

// Everything that a cycle reads. The caller of plan() keeps it unchanged until plan() returns.
struct CycleInputs {
  const Cluster& cluster;
  const preemption::Nominations& nominations;
  const CloudCapacity& cloud_capacity;
  const settings::Platform& platform;
  const settings::Operator& operator_settings;
  WallTime wall;
  Instant now;
};

}  // namespace dunlinknot::scheduler
