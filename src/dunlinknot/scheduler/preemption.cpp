// Preemption: only when nothing can be launched, on one machine, never by or of gangs.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMaxPreemptionsPerCycle = 6;

}  // namespace

void SchedulingCycle::preempt(const Waiting& waiting, const std::vector<uint64_t>& own,
                              uint32_t open, PlacementConstraints& promised) {
  const Job& job = *waiting.job;
  if (job.failing) return;  // safety 6
  uint32_t tries = open;
  // A nominated task is eligible again once no victim is allocated on its machine.
  std::vector<uint64_t> again;
  for (const uint64_t id : own) {
    if (!nominations_.settling(nominations_.all().at(id).machine)) again.push_back(id);
  }
  if (tries == 0 && again.empty()) return;
  // With machines to be launched, a task whose room was lost is launched for like any other: it
  // does not wait on a nomination that is neither used nor renewed.
  const bool can_scale_out =
      !ranked_offers(job.spec(), promised).empty() && !machine_limit_reached();
  for (const uint64_t id : again) {
    if (!can_scale_out && nominate_for(waiting, id, promised)) continue;
    clear_nomination(id);
    promised.remove(zone_of(id), 1);
  }
  if (can_scale_out) return;
  while (tries-- > 0 && plan_.preemptions.size() < kMaxPreemptionsPerCycle) {
    if (!nominate_for(waiting, 0, promised)) break;
  }
}

bool SchedulingCycle::nominate_for(const Waiting& waiting, uint64_t renews,
                                   PlacementConstraints& promised) {
  if (plan_.preemptions.size() >= kMaxPreemptionsPerCycle) return renews != 0;
  const Job& job = *waiting.job;
  const JobSpec& spec = job.spec();
  std::vector<Resources> beyond;
  preemption::Eligibility who{spec.priority, job.team(), waiting.guaranteed, nullptr, &guaranteed_};
  if (waiting.guaranteed) {
    for (size_t t = 0; t < usage_.size(); ++t) {
      const auto& team = cluster_.teams()[t];
      Resources over = usage_[t] - given_up_[t];
      over.cpus = std::max(0.0, over.cpus - team.cpus);
      over.gpus = std::max(0.0, over.gpus - team.gpus);
      beyond.push_back(over);
    }
    who.beyond = &beyond;
  }
  // A nomination that is renewed does not stand in the way of the one that replaces it.
  PlacementConstraints beside = promised;
  if (renews) beside.remove(zone_of(renews), 1);
  std::optional<preemption::Candidate> best;
  CandidateMachine* best_candidate = nullptr;
  // What nobody could be preempted for a moment ago, nobody can be preempted for now: jobs of one
  // shape are alike in this.
  const Shape shape{job.team(),
                    waiting.guaranteed,
                    spec.spot,
                    spec.priority,
                    spec.need.cpus,
                    spec.need.gpus,
                    spec.need.memory_gb,
                    spec.types,
                    promised.zone_bound() ? spec.id : spec.zone.value_or("")};
  if (renews == 0 && hopeless_.contains(shape)) return false;
  for (CandidateMachine& candidate : candidates_) {
    if (candidate.coming || !spec.need.fits_in(candidate.machine->size)) continue;
    if (preempted_on_.contains(candidate.machine->id) || !may_go(job, candidate)) continue;
    if (beside.tasks_allowed(candidate.zone()) == 0) continue;
    auto c =
        preemption::simulate(candidate.room, nominations_, cluster_, spec.need, renews, who, now_);
    if (!c) continue;
    if (!best || better(*c, candidate, *best, *best_candidate, spec)) {
      best = std::move(c);
      best_candidate = &candidate;
    }
  }
  if (!best) {
    if (renews == 0) hopeless_.insert(shape);
    return false;
  }
  preempted_on_.insert(best_candidate->machine->id);
  plan_.preemptions.push_back({spec.id, best_candidate->machine->id, spec.need, spec.priority,
                               best->victims, best->lost_seconds, renews});
  if (renews) {
    if (CandidateMachine* candidate = find_candidate(nominations_.all().at(renews).machine))
      candidate->room.end_hold(renews);
  }
  for (const size_t i : best->victim_indices) {
    const Allocation& allocation = best_candidate->machine->allocations[i];
    if (!allocation.stopping()) {
      best_candidate->room.add_victims(allocation.need);
      // Its team's limit still counts the victim until it is gone (safety 4).
      if (allocation.team >= 0) given_up_[static_cast<size_t>(allocation.team)] += allocation.need;
    }
  }
  best_candidate->room.add_hold(std::numeric_limits<uint64_t>::max(), spec.need, spec.priority);
  usage_[static_cast<size_t>(job.team())] += spec.need;
  beside.add(best_candidate->zone(), 1);
  promised = std::move(beside);
  return true;
}

bool SchedulingCycle::better(const preemption::Candidate& a, const CandidateMachine& sa,
                             const preemption::Candidate& b, const CandidateMachine& on_machine,
                             const JobSpec& spec) const {
  if (a.highest != b.highest) return a.highest < b.highest;
  const auto cost = [&](const preemption::Candidate& c, const CandidateMachine& candidate) {
    const MachineType* machine_type = candidate.pool->type;
    const double fetch = candidate.machine->has_image(spec.image) || !machine_type ||
                                 machine_type->fetch_gb_per_s <= 0
                             ? 0
                             : spec.image_gb / machine_type->fetch_gb_per_s;
    return c.lost_seconds + fetch * std::max(spec.need.cpus, spec.need.gpus * 8);
  };
  const double ca = cost(a, sa), cb = cost(b, on_machine);
  if (ca != cb) return ca < cb;
  return a.victims.size() < b.victims.size();
}

}  // namespace dunlinknot::scheduler
