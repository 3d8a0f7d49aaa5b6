// Places preemptors in the room held for them.
#include "dunlinknot/scheduler/job_nominations.hpp"

#include <algorithm>

namespace dunlinknot::scheduler {

std::string_view zone_of_nomination(const CycleInputs& inputs, uint64_t nomination) {
  const auto machine =
      inputs.cluster.machines().find(inputs.nominations.all().at(nomination).machine);
  return machine == inputs.cluster.machines().end() ? std::string_view() : machine->second->zone;
}

void clear_nomination(CycleState& state, uint64_t nomination) {
  state.plan.cleared_nominations.push_back(nomination);
  const std::string& machine = state.inputs.nominations.all().at(nomination).machine;
  if (CandidateMachine* candidate = state.candidates.find(machine))
    candidate->capacity.end_hold(nomination);
}

void clear_unused_nominations(CycleState& state, const std::vector<QueueEntry>& queue) {
  const auto& nominations = state.inputs.nominations.all();
  if (nominations.empty()) return;
  std::set<std::string_view> considered;
  for (const QueueEntry& entry : queue) considered.insert(entry.job->spec().id);
  for (const auto& [id, nomination] : nominations) {
    if (considered.contains(nomination.job)) continue;
    const Job* job = state.cluster().job(nomination.job);
    // A job whose next start is delayed for a moment keeps its room.
    if (!job || job->pending() == 0 || job->failing) clear_nomination(state, id);
  }
}

JobNominations::JobNominations(CycleState& state, const Job& job)
    : state_(state), job_(job), active_(state.inputs.nominations.of_job(job.spec().id)) {}

bool JobNominations::is_usable(const preemption::Nomination& nomination,
                               CandidateMachine* candidate,
                               const PlacementConstraints& constraints) const {
  const JobSpec& spec = job_.spec();
  return candidate && !candidate->upcoming && may_place(state_, job_, *candidate) &&
         candidate->capacity.fits(spec.need, spec.priority, nomination.id) &&
         constraints.tasks_allowed(candidate->zone()) > 0;
}

uint32_t JobNominations::place(uint32_t max_tasks, PlacementConstraints& constraints) {
  uint32_t placed = 0;
  std::vector<uint64_t> remaining;
  for (const uint64_t id : active_) {
    const preemption::Nomination& nomination = state_.inputs.nominations.all().at(id);
    CandidateMachine* candidate =
        placed < max_tasks ? state_.candidates.find(nomination.machine) : nullptr;
    if (!is_usable(nomination, candidate, constraints)) {
      remaining.push_back(id);
      continue;
    }
    candidate->capacity.end_hold(id);
    place_tasks(state_, job_, *candidate, 1, {id});
    constraints.add(candidate->zone(), 1);
    ++placed;
  }
  active_ = std::move(remaining);
  return placed;
}

void JobNominations::keep_at_most(uint32_t max_tasks) {
  while (active_.size() > max_tasks) {
    clear_nomination(state_, active_.back());
    active_.pop_back();
  }
}

void JobNominations::add_to(PlacementConstraints& constraints) {
  std::vector<uint64_t> allowed;
  for (const uint64_t id : active_) {
    const std::string_view zone = zone_of_nomination(state_.inputs, id);
    if (zone.empty() || constraints.tasks_allowed(zone) == 0) {
      clear_nomination(state_, id);
      continue;
    }
    constraints.add(zone, 1);
    allowed.push_back(id);
  }
  active_ = std::move(allowed);
}

}  // namespace dunlinknot::scheduler
