// Whether a task fits on a machine, now or once some tasks are stopped. Both passes of "Holding
// capacity for the preemptor" (KEP-5690): with the holds of equal or higher priority (allocated
// victims subtracted, holds added), and again without them.
//
// Pure computation on a snapshot of the cluster: the scheduling cycle calls it under the lock that
// guards the leader's state.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::preemption {

// How many tasks that need `need` each fit into `room`, up to `most`.
uint32_t tasks_that_fit_in(const Resources& room, const Resources& need, uint32_t max_tasks);

// The capacity of one machine in the course of a scheduling cycle: what is free after the
// placements made so far, and what nominations hold for preemptors. Refers to the machine, which
// must outlive it.
class MachineCapacity {
 public:
  // `size` is what the machine has in all; what it uses now is taken off.
  MachineCapacity(const cluster::Machine& machine, const Nominations& nominations,
                  const Resources& size);

  const cluster::Machine& machine() const { return *machine_; }
  // Not allocated to any task; holds are not subtracted. May be negative.
  const Resources& free() const { return free_; }

  // Whether one such task fits beside the holds of its own and higher priorities once `removed`
  // has been freed; `removed_victims` is the part of it that is on the machine's victim list.
  // The hold of the nomination `ignored_nomination` (0: none) is left out, so that a preemptor is
  // not kept out by its own hold.
  bool fits(const Resources& need, Priority priority, uint64_t ignored_nomination = 0,
            const Resources& removed = {}, const Resources& removed_victims = {}) const;
  // How many such tasks fit without stopping any, up to `most`.
  uint32_t count(const Resources& need, Priority priority, uint32_t max_tasks) const;
  // The sum of what is held for preemptors, of any priority.
  Resources held() const;

  // A placement of this cycle: no longer free.
  void take(const Resources& need) { free_ -= need; }
  // The hold of a nomination, and its end; an unknown nomination is ignored.
  void add_hold(uint64_t nomination, const Resources& room, Priority priority);
  void end_hold(uint64_t nomination);
  // Allocations chosen as victims in this cycle: they will leave, but are allocated until then.
  void add_victims(const Resources& need) { victims_ += need; }

 private:
  struct Hold {
    uint64_t nomination;
    Resources room;
    Priority priority;
  };
  // The sum of the holds that a task of this priority has to leave alone; empty when there are
  // none, since only then the victims' share is of no concern.
  std::optional<Resources> held_against(Priority priority, uint64_t ignored_nomination) const;

  const cluster::Machine* machine_;
  Resources free_;
  Resources victims_;  // allocated, on the machine's victim list
  std::vector<Hold> holds_;
};

// The allocations to stop on one machine so that a task fits there, and what that costs.
struct VictimSet {
  std::vector<Victim> victims;
  std::vector<size_t> allocation_indices;  // of the victims, into Machine::allocations
  double lost_core_seconds = 0;            // work to be done again, weighted by the cores it holds
  int highest_priority = -1;               // among the victims
};

// On whose behalf tasks may be stopped, and thereby which.
struct Eligibility {
  Priority priority = Priority::low;  // of the preemptor
  int team = -1;                      // of the preemptor: index into Cluster::teams()
  bool within_guarantee = false;      // the preemptor's job is covered by its team's guarantee
  // By team, what it uses beyond its guarantee; only read when within_guarantee.
  const std::vector<Resources>* over_guarantee = nullptr;
  // The jobs covered by their teams' guarantees: never stopped for another team's.
  const std::set<std::string>* guaranteed_jobs = nullptr;
};

// Removes all that may be removed, then takes back as many as still leave room, the most costly
// first (KEP-5690, "Preemption simulation"). Empty when the machine cannot be made to fit.
// `ignored_nomination` as in MachineCapacity::fits.
std::optional<VictimSet> simulate(const MachineCapacity& capacity, const Nominations& nominations,
                                  const cluster::Cluster& cluster, const Resources& need,
                                  uint64_t ignored_nomination, const Eligibility& preemptor,
                                  Instant now);

// The work that stopping this allocation would throw away, in seconds weighted by its cores.
// `job` is null when the job is closed.
double lost_work(const cluster::Allocation& allocation, const cluster::Job* job, Instant now);

}  // namespace dunlinknot::preemption
