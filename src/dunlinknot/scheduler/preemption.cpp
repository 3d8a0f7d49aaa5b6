// Searches all machines for victims and applies each choice to the state of the cycle.
#include "dunlinknot/scheduler/preemption.hpp"

#include <algorithm>
#include <limits>

namespace dunlinknot::scheduler {

namespace {

constexpr size_t kMaxPreemptionsPerCycle = 6;
// The number of cores that one accelerator counts for in the cost of waiting for a fetch.
constexpr double kCoresPerGpu = 8;
// Placeholder id for the hold of a new preemption: its nomination gets an id when the plan is
// applied.
constexpr uint64_t kUnassignedNomination = std::numeric_limits<uint64_t>::max();

// The work lost by stopping the victims, plus the work lost while the preemptor fetches its image,
// in core-seconds.
double cost_of(const preemption::VictimSet& victims, const CandidateMachine& candidate,
               const JobSpec& spec) {
  const MachineType* type = candidate.pool->type;
  const double fetch =
      candidate.machine->has_image(spec.image) || !type ? 0 : fetch_seconds(spec, *type);
  return victims.lost_core_seconds +
         fetch * std::max(spec.need.cpus, spec.need.gpus * kCoresPerGpu);
}

// KEP-5690 leaves the ranking of machines open. This scheduler prefers the lowest priority of the
// highest victim, then the lowest cost, then the fewest victims.
bool is_better(const preemption::VictimSet& a, const CandidateMachine& on_a,
               const preemption::VictimSet& b, const CandidateMachine& on_b, const JobSpec& spec) {
  if (a.highest_priority != b.highest_priority) return a.highest_priority < b.highest_priority;
  const double cost_a = cost_of(a, on_a, spec), cost_b = cost_of(b, on_b, spec);
  if (cost_a != cost_b) return cost_a < cost_b;
  return a.victims.size() < b.victims.size();
}

}  // namespace

bool PreemptionStage::limit_reached() const {
  return state_.plan.preemptions.size() >= kMaxPreemptionsPerCycle;
}

void PreemptionStage::preempt(const QueueEntry& entry, const JobNominations& nominations,
                              uint32_t unplaced, PlacementConstraints& constraints) {
  const Job& job = *entry.job;
  // A nominated task may preempt again once no victim is allocated on its machine.
  std::vector<uint64_t> to_renew;
  for (const uint64_t id : nominations.active()) {
    const preemption::Nominations& all_nominations = state_.inputs.nominations;
    if (!all_nominations.has_victims(all_nominations.all().at(id).machine)) to_renew.push_back(id);
  }
  if (unplaced == 0 && to_renew.empty()) return;
  // If machines can be launched, a task whose room was lost gets a machine like any other task. Its
  // nomination is cleared, since it would be neither used nor renewed.
  // A job that fails on every machine must not stop others.
  const bool may_preempt = !job.failing && !scale_out_.possible(job, constraints);
  for (const uint64_t id : to_renew) {
    if (may_preempt && nominate(entry, id, constraints)) continue;
    clear_nomination(state_, id);
    constraints.remove(zone_of_nomination(state_.inputs, id), 1);
  }
  if (!may_preempt) return;
  for (uint32_t remaining = unplaced; remaining > 0 && !limit_reached(); --remaining) {
    if (!nominate(entry, 0, constraints)) break;
  }
}

PreemptionStage::PreemptorShape PreemptionStage::shape_of(const QueueEntry& entry,
                                                          const PlacementConstraints& constraints) {
  const JobSpec& spec = entry.job->spec();
  return {entry.job->team(),
          entry.guaranteed,
          spec.spot,
          spec.priority,
          spec.need.cpus,
          spec.need.gpus,
          spec.need.memory_gb,
          spec.types,
          constraints.has_zone_constraint() ? spec.id : spec.zone.value_or("")};
}

bool PreemptionStage::nominate(const QueueEntry& entry, uint64_t renews,
                               PlacementConstraints& constraints) {
  if (limit_reached()) return renews != 0;
  // The nomination to be renewed does not count against its replacement.
  PlacementConstraints updated_constraints = constraints;
  if (renews) updated_constraints.remove(zone_of_nomination(state_.inputs, renews), 1);
  const PreemptorShape shape = shape_of(entry, constraints);
  if (renews == 0 && shapes_without_victims_.contains(shape)) return false;
  const std::optional<Choice> choice = find_victims(entry, renews, updated_constraints);
  if (!choice) {
    if (renews == 0) shapes_without_victims_.insert(shape);
    return false;
  }
  record(*entry.job, renews, *choice);
  updated_constraints.add(choice->candidate->zone(), 1);
  constraints = std::move(updated_constraints);
  return true;
}

std::optional<PreemptionStage::Choice> PreemptionStage::find_victims(
    const QueueEntry& entry, uint64_t renews, const PlacementConstraints& constraints) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  preemption::Eligibility preemptor{spec.priority, job.team(), entry.guaranteed, nullptr,
                                    &state_.guaranteed_jobs};
  std::vector<Resources> over_guarantee;
  if (entry.guaranteed) {
    over_guarantee = state_.quotas.over_guarantee();
    preemptor.over_guarantee = &over_guarantee;
  }
  std::optional<Choice> best;
  for (CandidateMachine& candidate : state_.candidates.all()) {
    if (candidate.upcoming || !spec.need.fits_in(candidate.machine->size)) continue;
    if (preempted_on_.contains(candidate.machine->id) || !may_place(state_, job, candidate))
      continue;
    // Nothing is stopped on a machine on which the job will probably fail again.
    if (is_last_resort(state_, job, candidate)) continue;
    if (constraints.tasks_allowed(candidate.zone()) == 0) continue;
    auto victims =
        preemption::simulate(candidate.capacity, state_.inputs.nominations, state_.cluster(),
                             spec.need, renews, preemptor, state_.inputs.now);
    if (!victims) continue;
    if (!best || is_better(*victims, candidate, best->victims, *best->candidate, spec))
      best = Choice{&candidate, std::move(*victims)};
  }
  return best;
}

void PreemptionStage::record(const Job& job, uint64_t renews, const Choice& choice) {
  const JobSpec& spec = job.spec();
  CandidateMachine& chosen = *choice.candidate;
  preempted_on_.insert(chosen.machine->id);
  state_.plan.preemptions.push_back({spec.id, chosen.machine->id, spec.need, spec.priority,
                                     choice.victims.victims, choice.victims.lost_core_seconds,
                                     renews});
  if (renews) {
    const std::string& previous_machine = state_.inputs.nominations.all().at(renews).machine;
    if (CandidateMachine* candidate = state_.candidates.find(previous_machine))
      candidate->capacity.end_hold(renews);
  }
  for (const size_t index : choice.victims.allocation_indices) {
    const Allocation& allocation = chosen.machine->allocations[index];
    if (allocation.stopping()) continue;
    chosen.capacity.add_victims(allocation.need);
    // The team's limit counts the victim until it has ended (safety 4: team limits are counted over
    // allocations).
    if (allocation.team >= 0) state_.quotas.count_victim(allocation.team, allocation.need);
  }
  chosen.capacity.add_hold(kUnassignedNomination, spec.need, spec.priority);
  state_.quotas.charge(job, 1);
}

}  // namespace dunlinknot::scheduler
