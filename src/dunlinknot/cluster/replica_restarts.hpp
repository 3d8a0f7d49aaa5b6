// Counts of the replicas of services that had to run again, by reason.
#pragma once
#include <cstdint>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Since the leader's term began; logged by the node once in a while.
struct ReplicaRestarts {
  uint64_t machine_lost = 0;  // the machine was silent beyond its lease, or deleted
  uint64_t moved = 0;         // stopped: the machine is interrupted, or a constraint was violated
  uint64_t preempted = 0;
  uint64_t ended = 0;  // exited by itself: failed, or reported as completed

  // A replica's allocation ended on the machine while its service was open. Replicas whose `run`
  // was never sent did not run before, so they are not counted.
  void count(const Allocation& allocation, const Machine& machine) {
    if (allocation.unsent()) return;
    if (allocation.stop == StopReason::preempted) {
      ++preempted;
    } else if (allocation.stopping()) {
      ++moved;
    } else if (machine.lost || machine.terminating) {
      ++machine_lost;
    } else {
      ++ended;
    }
  }
};

}  // namespace dunlinknot::cluster
