// The nominations of one job as a scheduling cycle uses them, lets go of them or waits on them.
#pragma once
#include <string_view>
#include <vector>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The zone of the machine that a nomination names; empty when that machine was removed.
std::string_view zone_of_nomination(const CycleInputs& inputs, uint64_t nomination);

// Ends a nomination that is of no use any more: its room is free for others in this cycle too.
void clear_nomination(CycleState& state, uint64_t nomination);

// The job's nominations that are still open. Each placement and each promise is added to the
// constraints that the caller passes.
class JobNominations {
 public:
  JobNominations(CycleState& state, const Job& job);

  // Oldest first.
  const std::vector<uint64_t>& active() const { return active_; }

  // Places up to `most` tasks in the room that is held for them, where the job's constraints still
  // allow that; returns how many. Comes before any other place: a preemptor tries its own room
  // first.
  uint32_t place(uint32_t max_tasks, PlacementConstraints& constraints);
  // Clears the newest until at most `most` are open: tasks that found a place elsewhere need their
  // nominations no more.
  void keep_at_most(uint32_t max_tasks);
  // Adds the remaining ones to the constraints, as promises; clears those that the constraints no
  // longer allow, since the job's other tasks may have gone elsewhere since the nomination.
  void add_to(PlacementConstraints& constraints);

 private:
  // Whether the task that the nomination is for can be placed now.
  bool is_usable(const preemption::Nomination& nomination, CandidateMachine* candidate,
                 const PlacementConstraints& constraints) const;

  CycleState& state_;
  const Job& job_;
  std::vector<uint64_t> active_;
};

}  // namespace dunlinknot::scheduler
