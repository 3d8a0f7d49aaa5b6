// The snapshot that one scheduling cycle decides on.
#pragma once
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Job;
using cluster::Machine;
using cluster::PlacementConstraints;

// All that a cycle reads. The caller of plan() keeps it unchanged until the cycle returns.
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
