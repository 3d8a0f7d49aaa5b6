// Checks whether a task fits on a machine, now or after some tasks are stopped. Implements both
// passes of "Holding capacity for the preemptor" (KEP-5690): one with the holds of equal or higher
// priority (allocated victims subtracted, holds added), one without them.
//
// Pure computation on a snapshot of the cluster. The scheduling cycle calls it under the lock that
// guards the leader's state.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::preemption {

// How many tasks that need `need` each fit into `room`, up to `max_tasks`.
uint32_t tasks_that_fit_in(const Resources& room, const Resources& need, uint32_t max_tasks);

// The capacity of one machine during a scheduling cycle: what is free after the placements so far,
// and what nominations hold for preemptors. Refers to the machine, which must outlive it.
class MachineCapacity {
 public:
  // `size` is the machine's total capacity, from which its current usage is subtracted.
  MachineCapacity(const cluster::Machine& machine, const Nominations& nominations,
                  const Resources& size);

  const cluster::Machine& machine() const { return *machine_; }
  // Resources not allocated to any task, without subtracting holds. May be negative.
  const Resources& free() const { return free_; }

  // Whether one task fits in addition to the holds of its own and higher priorities once `removed`
  // has been freed. `removed_victims` is the part of `removed` that is on the machine's victim
  // list. The hold of the nomination `ignored_nomination` (0: none) is ignored, so that a preemptor
  // is not blocked by its own hold.
  bool fits(const Resources& need, Priority priority, uint64_t ignored_nomination = 0,
            const Resources& removed = {}, const Resources& removed_victims = {}) const;
  // How many such tasks fit without stopping any, up to `max_tasks`.
  uint32_t count(const Resources& need, Priority priority, uint32_t max_tasks) const;
  // The sum of all holds, of any priority.
  Resources held() const;

  // Subtracts a placement of this cycle from the free resources.
  void take(const Resources& need) { free_ -= need; }
  // Adds or removes the hold of a nomination; removing an unknown one does nothing.
  void add_hold(uint64_t nomination, const Resources& room, Priority priority);
  void end_hold(uint64_t nomination);
  // Adds allocations chosen as victims in this cycle: they stay allocated until they have stopped.
  void add_victims(const Resources& need) { victims_ += need; }

 private:
  struct Hold {
    uint64_t nomination;
    Resources room;
    Priority priority;
  };
  // The sum of the holds that a task of this priority must not use. Empty when there are none, so
  // that the caller can skip the pass that counts victims.
  std::optional<Resources> held_against(Priority priority, uint64_t ignored_nomination) const;

  const cluster::Machine* machine_;
  Resources free_;
  Resources victims_;  // allocated and on the machine's victim list
  std::vector<Hold> holds_;
};

// The allocations to stop on one machine so that a task fits there, and the cost of stopping them.
struct VictimSet {
  std::vector<Victim> victims;
  std::vector<size_t> allocation_indices;  // indices of the victims in Machine::allocations
  double lost_core_seconds = 0;            // work that has to be repeated, weighted by cores
  int highest_priority = -1;               // among the victims
};

// The properties of a preemptor that determine which tasks may be stopped for it.
struct Eligibility {
  Priority priority = Priority::low;  // of the preemptor
  int team = -1;                      // of the preemptor: index into Cluster::teams()
  bool within_guarantee = false;      // the team's guarantee covers the preemptor's job
  // By team, the usage beyond its guarantee; read only if within_guarantee is set.
  const std::vector<Resources>* over_guarantee = nullptr;
  // The jobs covered by their teams' guarantees: never stopped to meet another team's guarantee.
  const std::set<std::string>* guaranteed_jobs = nullptr;
};

// Removes all allocations that may be removed, then restores as many as possible while the task
// still fits, the most costly first (KEP-5690, "Preemption simulation"). Empty when the task cannot
// be made to fit on the machine. `ignored_nomination` as in MachineCapacity::fits.
std::optional<VictimSet> simulate(const MachineCapacity& capacity, const Nominations& nominations,
                                  const cluster::Cluster& cluster, const Resources& need,
                                  uint64_t ignored_nomination, const Eligibility& preemptor,
                                  Instant now);

// The work lost by stopping this allocation, in seconds weighted by its cores. `job` is null when
// the job is closed.
double lost_work(const cluster::Allocation& allocation, const cluster::Job* job, Instant now);

}  // namespace dunlinknot::preemption
