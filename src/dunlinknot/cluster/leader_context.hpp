// State that the components of the leader share: the cluster state and the nominations of
// preemption under one lock, the current term, and the events by which components notify each
// other.
#pragma once
#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/nominations.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/runtime/synchronized.hpp"
#include "dunlinknot/wire/records.hpp"
#include "dunlinknot/wire/store_messages.hpp"

namespace dunlinknot::cluster {

// The state that the components access under one lock.
struct LeaderState {
  LeaderState(const settings::Platform& platform, const settings::Operator& operator_settings)
      : cluster(platform, operator_settings) {}
  Cluster cluster;
  preemption::Nominations nominations;
};

// Owned by the daemon, which begins and ends terms; all components refer to it. Only `leader_state`
// may be used outside the event loop.
struct LeaderContext {
  LeaderContext(EventLoop& event_loop, const settings::Platform& platform_settings,
                const settings::Operator& operator_settings)
      : loop(event_loop),
        platform(platform_settings),
        op(operator_settings),
        leader_state(platform_settings, operator_settings),
        schedule(event_loop),
        store_machines(event_loop),
        store_progress(event_loop),
        stops(event_loop),
        runs(event_loop),
        scaling(event_loop) {}

  EventLoop& loop;
  const settings::Platform& platform;
  const settings::Operator& op;
  Synchronized<LeaderState> leader_state;

  // Each event is set when there is work of its kind, and when the term ends.
  AutoResetEvent schedule;        // a scheduling cycle may be able to place tasks
  AutoResetEvent store_machines;  // records of machines have to be written
  AutoResetEvent store_progress;  // progress or completion of jobs has to be written
  AutoResetEvent stops;           // stop calls have to be sent
  AutoResetEvent runs;            // a `run` became sendable to at least one machine
  AutoResetEvent scaling;         // machines have to be added or returned

  // The number of the current term of this process. A coroutine spawned for a term ends with it.
  uint64_t term = 0;
  bool loaded = false;              // failover is complete: heartbeats may be responded to
  uint64_t epoch = 0;               // 0: this node is not the leader
  uint64_t epoch_mod_revision = 0;  // of the key `epoch` as written for this term
  bool in_term(uint64_t number) const { return term == number && epoch != 0; }

  // The compare that every transaction of this term contains. It fails once another node has become
  // the leader.
  wire::store::Compare epoch_compare() const {
    return {std::string(wire::kEpochKey), epoch_mod_revision};
  }

  // Notifies the coroutines that have follow-up work.
  void follow_up(const Effects& effects) {
    if (effects.schedule) schedule.notify();
    if (effects.store_machines) store_machines.notify();
    if (effects.store_progress) store_progress.notify();
    if (effects.stops) stops.notify();
    if (effects.runs) runs.notify();
  }
};

}  // namespace dunlinknot::cluster
