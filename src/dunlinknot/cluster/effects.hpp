// The follow-up work that a change of the cluster's state requires.
#pragma once

namespace dunlinknot::cluster {

// Collected while `Cluster` is changed under the leader state's lock, and passed to
// `LeaderContext::follow_up` after the lock is released, which notifies the coroutines concerned.
// Flags are only ever set, so the effects of several changes can be merged in any order.
struct Effects {
  // Run a scheduling cycle: free resources, pending tasks or machines changed.
  bool schedule = false;
  bool store_machines = false;  // records of machines have to be written
  bool store_progress = false;  // completed tasks have to be recorded
  // Stop calls have to be sent immediately, without waiting for heartbeats.
  bool stops = false;
  bool runs = false;  // a `run` became sendable to at least one machine

  void operator|=(const Effects& effects) {
    schedule |= effects.schedule;
    store_machines |= effects.store_machines;
    store_progress |= effects.store_progress;
    stops |= effects.stops;
    runs |= effects.runs;
  }
};

}  // namespace dunlinknot::cluster
