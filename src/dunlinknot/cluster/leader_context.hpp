// What the leader's parts share: the view of the cluster behind its lock, the in-memory
// records of preemption, and the signals by which one part wakes another.
#pragma once
#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/nominations.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/runtime/synchronized.hpp"

namespace dunlinknot::cluster {

struct LeaderState {
  LeaderState(const settings::Platform& platform, const settings::Operator& o)
      : cluster(platform, o) {}
  Cluster cluster;
  preemption::Nominations nominations;
};

struct LeaderContext {
  LeaderContext(EventLoop& l, const settings::Platform& settings, const settings::Operator& o)
      : loop(l),
        platform(settings),
        op(o),
        leader_state(settings, o),
        schedule(l),
        store_machines(l),
        store_done(l),
        stops(l),
        runs(l),
        scaling(l) {}

  EventLoop& loop;
  const settings::Platform& platform;
  const settings::Operator& op;
  Synchronized<LeaderState> leader_state;
  AutoResetEvent schedule, store_machines, store_done, stops, runs, scaling;

  // Each term has a number; a part that was started for one ends with it.
  uint64_t term = 0;
  bool loaded = false;  // taken over: workers may be answered
  uint64_t epoch = 0;
  uint64_t epoch_mod_revision = 0;
  bool in_term(uint64_t r) const { return term == r && epoch != 0; }

  void follow_up(const Effects& effects) {
    if (effects.schedule) schedule.notify();
    if (effects.store_machines) store_machines.notify();
    if (effects.store_done) store_done.notify();
    if (effects.stops) stops.notify();
    if (effects.runs) runs.notify();
  }
};

}  // namespace dunlinknot::cluster
