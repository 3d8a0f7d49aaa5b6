// The order in which a scheduling cycle considers jobs, and how long each has waited.
#pragma once
#include <vector>

#include "dunlinknot/scheduler/cycle_state.hpp"

namespace dunlinknot::scheduler {

// A job with tasks to place, and the values that determine its queue position.
struct QueueEntry {
  const Job* job = nullptr;
  bool guaranteed = false;  // covered by its team's guarantee
  double due = 0;           // seconds from now, by the nearest objective that it can meet
  bool late = false;        // no objective of its class can be met any more
  bool overdue = false;     // waits for longer than the maximum for any queue position
  // A higher tier comes first: overdue jobs, then higher priority, then jobs covered by a
  // guarantee, then jobs that can still be on time.
  int tier() const {
    return (overdue ? 100 : 0) + static_cast<int>(job->spec().priority) * 4 + (guaranteed ? 2 : 0) +
           (late ? 0 : 1);
  }
  // The position with `due` relative to now; see absolute_position() for one that can be stored.
  cluster::QueuePosition queue_position() const { return {tier(), due}; }
};

// The jobs with tasks to place or to move, in the order in which they are considered.
std::vector<QueueEntry> queue_of_jobs(const CycleState& state);

// The entry's position with `due` in seconds of the steady clock, comparable between cycles.
cluster::QueuePosition absolute_position(const QueueEntry& entry, Instant now);

// Seconds that the job has waited since its submission, or a service since it lost a replica.
double waiting_seconds(const CycleInputs& inputs, const Job& job);

// How many tasks of the job are allocated on the machine.
uint32_t tasks_on(const Job& job, const Machine& machine);
// How many of a service's replicas are on machines with an interruption notice.
uint32_t replicas_leaving(const Cluster& cluster, const Job& job);

}  // namespace dunlinknot::scheduler
