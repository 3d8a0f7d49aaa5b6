// What a change of the cluster's state requires of the leader's other parts.
#pragma once

namespace dunlinknot::cluster {

// Collected by whoever changes `Cluster` under the leader state's lock, and handed to
// `LeaderContext::follow_up` after the lock is released, which wakes the parts concerned. Flags are
// only ever added, so the effects of several changes can be merged in any order.
struct Effects {
  bool schedule = false;        // run a scheduling cycle: room, pending work or machines changed
  bool store_machines = false;  // records of machines wait to be written
  bool store_progress = false;  // completed tasks wait to be recorded
  bool stops = false;           // stop calls should go out at once, not with the next heartbeat
  bool runs = false;            // some machine may be sent a `run`

  void operator|=(const Effects& effects) {
    schedule |= effects.schedule;
    store_machines |= effects.store_machines;
    store_progress |= effects.store_progress;
    stops |= effects.stops;
    runs |= effects.runs;
  }
};

}  // namespace dunlinknot::cluster
