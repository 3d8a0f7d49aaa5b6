// Counts of replica restarts, by reason.
#pragma once
#include <cstdint>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Counted since the leader's term began. The node logs the counts periodically.
struct ReplicaRestarts {
  uint64_t machine_lost = 0;  // the machine's lease expired without a heartbeat, or it was deleted
  // Stopped because the machine is about to be interrupted, or as an orphan that cannot be adopted.
  uint64_t moved = 0;
  uint64_t preempted = 0;
  uint64_t ended = 0;  // exited by itself: with an error, or reported as done

  // Counts the end of a replica's allocation on the machine while its service is open. A replica
  // for which no `run` was sent never ran there, so it is not counted.
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
