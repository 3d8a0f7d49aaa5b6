// What the stages of one scheduling cycle share: the snapshot that they read, and what the stages
// before them decided.
#pragma once
#include <set>
#include <string>

#include "dunlinknot/scheduler/candidates.hpp"
#include "dunlinknot/scheduler/cycle_inputs.hpp"
#include "dunlinknot/scheduler/team_quotas.hpp"

namespace dunlinknot::scheduler {

// The time until new room can be made: a boot and a fetch, or running work that comes to its end.
inline constexpr Seconds kTimeToNewCapacity{75};
// When a job without a deadline or an objective for its start is due, after its submission.
inline constexpr Seconds kDefaultDueTime{600};

// Each stage takes room from the candidates, charges the teams and adds to the plan.
struct CycleState {
  explicit CycleState(const CycleInputs& cycle_inputs);
  CycleState(const CycleState&) = delete;
  CycleState& operator=(const CycleState&) = delete;

  const Cluster& cluster() const { return inputs.cluster; }
  // Adds the job to the plan's waiting jobs unless a task of it has begun or ended.
  void add_waiting_job(const Job& job, WaitCause cause);

  const CycleInputs inputs;
  Candidates candidates;
  TeamQuotas quotas;
  const std::set<std::string> guaranteed_jobs;  // see jobs_within_guarantee
  const bool accelerators_wanted;               // some task that needs them waits for a place
  Plan plan;
};

}  // namespace dunlinknot::scheduler
