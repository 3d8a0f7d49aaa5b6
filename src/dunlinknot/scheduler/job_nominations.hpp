// The nominations of one job in a scheduling cycle: they are used, cleared or kept.
#pragma once
#include <string_view>
#include <vector>

#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The zone of the nominated machine; empty when that machine was removed.
std::string_view zone_of_nomination(const CycleInputs& inputs, uint64_t nomination);

// Clears a nomination that is no longer needed; its room is available to other jobs in this cycle.
void clear_nomination(CycleState& state, uint64_t nomination);

// Clears the nominations of jobs that no stage of the cycle considers, because they have no pending
// tasks or because they fail on every machine and wait for their next start.
void clear_unused_nominations(CycleState& state, const std::vector<QueueEntry>& queue);

// The job's active nominations. Each placement and each remaining nomination is added to the
// constraints that the caller passes.
class JobNominations {
 public:
  JobNominations(CycleState& state, const Job& job);

  // Oldest first.
  const std::vector<uint64_t>& active() const { return active_; }

  // Places up to `max_tasks` tasks in the room held for them, where the job's constraints still
  // allow it; returns the number placed. To be called before any other placement, since a preemptor
  // uses its own room first.
  uint32_t place(uint32_t max_tasks, PlacementConstraints& constraints);
  // Clears the newest nominations until at most `max_tasks` remain, since tasks that were placed
  // elsewhere no longer need theirs.
  void keep_at_most(uint32_t max_tasks);
  // Adds the remaining nominations to the constraints. Clears those that the constraints no longer
  // allow, because the job's other tasks were placed elsewhere since the nomination.
  void add_to(PlacementConstraints& constraints);

 private:
  // Whether a task of the job can be placed now in the room of the nomination.
  bool is_usable(const preemption::Nomination& nomination, CandidateMachine* candidate,
                 const PlacementConstraints& constraints) const;

  CycleState& state_;
  const Job& job_;
  std::vector<uint64_t> active_;
};

}  // namespace dunlinknot::scheduler
