// What the leader's parts share: the cluster state behind its lock, the in-memory records of
// preemption, the present term, and the events by which one part wakes another.
#pragma once
#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/nominations.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/runtime/synchronized.hpp"
#include "dunlinknot/wire/records.hpp"
#include "dunlinknot/wire/store_messages.hpp"

namespace dunlinknot::cluster {

// What the parts read and change under one lock.
struct LeaderState {
  LeaderState(const settings::Platform& platform, const settings::Operator& operator_settings)
      : cluster(platform, operator_settings) {}
  Cluster cluster;
  preemption::Nominations nominations;
};

// Owned by the daemon, which begins and ends the terms; all parts refer to it. Only `leader_state`
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

  // Each is set when there is work of its kind, and when the term ends.
  AutoResetEvent schedule;        // a scheduling cycle may find something to do
  AutoResetEvent store_machines;  // records of machines wait to be written
  AutoResetEvent store_progress;  // progress or ends of jobs wait to be written
  AutoResetEvent stops;           // stop calls wait to be sent
  AutoResetEvent runs;            // some machine may be sent a `run`
  AutoResetEvent scaling;         // machines are to be added or returned

  // Each term of this process has a number; a coroutine that was spawned for one ends with it.
  uint64_t term = 0;
  bool loaded = false;              // failover is complete: workers may be answered
  uint64_t epoch = 0;               // 0: not leading
  uint64_t epoch_mod_revision = 0;  // of the key `epoch`, as this term wrote it
  bool in_term(uint64_t number) const { return term == number && epoch != 0; }

  // Part of every transaction of this term: it fails once another node has become the leader.
  wire::store::Compare epoch_compare() const {
    return {std::string(wire::kEpochKey), epoch_mod_revision};
  }

  // Wakes the parts that an event made work for.
  void follow_up(const Effects& effects) {
    if (effects.schedule) schedule.notify();
    if (effects.store_machines) store_machines.notify();
    if (effects.store_progress) store_progress.notify();
    if (effects.stops) stops.notify();
    if (effects.runs) runs.notify();
  }
};

}  // namespace dunlinknot::cluster
