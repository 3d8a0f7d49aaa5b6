// Initializes the state of a scheduling cycle.
#include "dunlinknot/scheduler/cycle_state.hpp"

#include <algorithm>

namespace dunlinknot::scheduler {

namespace {

// Whether a job waits for machines with accelerators. Jobs whose team is at its limit do not count:
// they wait for the limit, not for a machine.
bool accelerators_are_wanted(const Cluster& cluster, const TeamQuotas& quotas) {
  return std::any_of(cluster.jobs().begin(), cluster.jobs().end(), [&](const auto& entry) {
    const Job& job = *entry.second;
    return job.spec().need.gpus > 0 && job.pending() > 0 && job.team() >= 0 &&
           quotas.well_below_limit(job);
  });
}

Resources reserved_per_accelerator(const CycleInputs& inputs, bool accelerators_wanted) {
  if (!accelerators_wanted && !inputs.cluster.accelerators_expected(inputs.wall)) return {};
  return inputs.cluster.resources_per_gpu();
}

}  // namespace

CycleState::CycleState(const CycleInputs& cycle_inputs)
    : inputs(cycle_inputs),
      candidates(inputs),
      quotas(inputs.cluster),
      guaranteed_jobs(jobs_within_guarantee(inputs.cluster)),
      accelerators_wanted(accelerators_are_wanted(inputs.cluster, quotas)),
      reserved_per_gpu(reserved_per_accelerator(inputs, accelerators_wanted)) {
  plan.reserved_per_gpu = reserved_per_gpu;
}

bool CycleState::allow_retry(const Job& job) {
  return !job.failing && !job.failures.empty() && retrying_jobs_.insert(&job).second;
}

bool CycleState::is_held_back(const Job& job) const {
  return to_seconds(inputs.now - job.held_back_since) >= kMaxHeldBack;
}

void CycleState::add_waiting_job(const Job& job, WaitCause cause) {
  if (job.live_count() > job.queued_tasks || job.done_count() > 0) return;
  plan.waiting_jobs.push_back(
      {job.spec().id, job.queued_tasks > 0 ? WaitCause::queued_on_machine : cause});
}

}  // namespace dunlinknot::scheduler
