// The state that the stages of one scheduling cycle share: the snapshot, and the decisions of
// earlier stages.
#pragma once
#include <set>
#include <string>

#include "dunlinknot/scheduler/candidates.hpp"
#include "dunlinknot/scheduler/cycle_inputs.hpp"
#include "dunlinknot/scheduler/team_quotas.hpp"

namespace dunlinknot::scheduler {

// The time until new capacity is available: a machine boots and fetches an image, or running tasks
// end.
inline constexpr Seconds kTimeToNewCapacity{75};
// Due time after submission of a job without a deadline and without an objective for its start.
inline constexpr Seconds kDefaultDueTime{600};

// How long reservations for jobs that are only expected hold back a job that has no other room.
// Shorter than the wait that users accept, by the time in which a machine boots.
inline constexpr Seconds kMaxHeldBack{60};

// Each stage takes room from the candidates, charges the teams' quotas and adds to the plan.
struct CycleState {
  explicit CycleState(const CycleInputs& cycle_inputs);
  CycleState(const CycleState&) = delete;
  CycleState& operator=(const CycleState&) = delete;

  const Cluster& cluster() const { return inputs.cluster; }
  // Lets the job use, in the rest of the cycle, machines on which its tasks failed and that it may
  // try again. To be called once no other machine has room or can be launched for it. Returns false
  // if that changes nothing.
  bool allow_retry(const Job& job);
  bool may_retry(const Job& job) const { return retrying_jobs_.contains(&job); }
  // Whether no task of the job was placed for kMaxHeldBack, although its team's limit allowed it.
  bool is_held_back(const Job& job) const;
  // See ReservationWaiver.
  bool reservations_waived(const Job& job) const { return job_without_reservations_ == &job; }
  // Whether a part of the limit of the job's team is reserved for a gang of that team.
  bool quota_is_reserved(const Job& job) const { return quotas.allowance(job.team()).has_value(); }
  // Adds the job to the plan's waiting jobs unless one of its tasks has started or ended.
  void add_waiting_job(const Job& job, WaitCause cause);

  const CycleInputs inputs;
  Candidates candidates;
  TeamQuotas quotas;
  const std::set<std::string> guaranteed_jobs;  // see jobs_within_guarantee
  const bool accelerators_wanted;  // a task that needs accelerators waits for a machine
  // What single tasks without accelerators leave for each free accelerator; zero if no task that
  // needs accelerators waits or is expected.
  const Resources reserved_per_gpu;
  Plan plan;

 private:
  friend class ReservationWaiver;
  std::set<const Job*> retrying_jobs_;
  const Job* job_without_reservations_ = nullptr;
};

// Lets a job that was held back use, for the lifetime of this object, room that is reserved for
// jobs that are only expected. Reservations for waiting gangs stand.
class ReservationWaiver {
 public:
  ReservationWaiver(CycleState& state, const Job& job) : state_(state) {
    state_.job_without_reservations_ = &job;
  }
  ~ReservationWaiver() { state_.job_without_reservations_ = nullptr; }
  ReservationWaiver(const ReservationWaiver&) = delete;
  ReservationWaiver& operator=(const ReservationWaiver&) = delete;

 private:
  CycleState& state_;
};

}  // namespace dunlinknot::scheduler
