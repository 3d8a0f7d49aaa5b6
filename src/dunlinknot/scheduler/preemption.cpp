// Preemption: only when nothing can be launched, on one machine, never by or of gangs.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMaxPreemptionsPerCycle = 6;

}  // namespace

void SchedulingCycle::preempt(const Waiting& w, const std::vector<uint64_t>& own, uint32_t open,
                              PlacementConstraints& promised) {
  const Job& j = *w.job;
  if (j.failing) return;  // safety 6
  uint32_t tries = open;
  // A nominated task is eligible again once no victim is allocated on its machine.
  std::vector<uint64_t> again;
  for (const uint64_t id : own) {
    if (!nominations_.settling(nominations_.all().at(id).machine)) again.push_back(id);
  }
  if (tries == 0 && again.empty()) return;
  // With machines to be launched, a task whose room was lost is launched for like any other: it
  // does not wait on a nomination that is neither used nor renewed.
  const bool can_scale_out = !ranked_offers(j.spec(), promised).empty() && !machine_limit_reached();
  for (const uint64_t id : again) {
    if (!can_scale_out && nominate_for(w, id, promised)) continue;
    clear_nomination(id);
    promised.remove(zone_of(id), 1);
  }
  if (can_scale_out) return;
  while (tries-- > 0 && plan_.preemptions.size() < kMaxPreemptionsPerCycle) {
    if (!nominate_for(w, 0, promised)) break;
  }
}

bool SchedulingCycle::nominate_for(const Waiting& w, uint64_t renews,
                                   PlacementConstraints& promised) {
  if (plan_.preemptions.size() >= kMaxPreemptionsPerCycle) return renews != 0;
  const Job& j = *w.job;
  const JobSpec& spec = j.spec();
  std::vector<Resources> beyond;
  preemption::Eligibility who{spec.priority, j.team(), w.guaranteed, nullptr, &guaranteed_};
  if (w.guaranteed) {
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
  const Shape shape{j.team(),
                    w.guaranteed,
                    spec.spot,
                    spec.priority,
                    spec.need.cpus,
                    spec.need.gpus,
                    spec.need.memory_gb,
                    spec.types,
                    promised.zone_bound() ? spec.id : spec.zone.value_or("")};
  if (renews == 0 && hopeless_.contains(shape)) return false;
  for (CandidateMachine& s : candidates_) {
    if (s.coming || !spec.need.fits_in(s.machine->size)) continue;
    if (preempted_on_.contains(s.machine->id) || !may_go(j, s)) continue;
    if (beside.tasks_allowed(s.zone()) == 0) continue;
    auto c = preemption::simulate(s.room, nominations_, cluster_, spec.need, renews, who, now_);
    if (!c) continue;
    if (!best || better(*c, s, *best, *best_candidate, spec)) {
      best = std::move(c);
      best_candidate = &s;
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
    if (CandidateMachine* s = find_candidate(nominations_.all().at(renews).machine))
      s->room.end_hold(renews);
  }
  for (const size_t i : best->victim_indices) {
    const Allocation& b = best_candidate->machine->allocations[i];
    if (!b.stopping()) {
      best_candidate->room.add_victims(b.need);
      // Its team's limit still counts the victim until it is gone (safety 4).
      if (b.team >= 0) given_up_[static_cast<size_t>(b.team)] += b.need;
    }
  }
  best_candidate->room.add_hold(std::numeric_limits<uint64_t>::max(), spec.need, spec.priority);
  usage_[static_cast<size_t>(j.team())] += spec.need;
  beside.add(best_candidate->zone(), 1);
  promised = std::move(beside);
  return true;
}

bool SchedulingCycle::better(const preemption::Candidate& a, const CandidateMachine& sa,
                             const preemption::Candidate& b, const CandidateMachine& sb,
                             const JobSpec& spec) const {
  if (a.highest != b.highest) return a.highest < b.highest;
  const auto cost = [&](const preemption::Candidate& c, const CandidateMachine& s) {
    const MachineType* t = s.pool->type;
    const double fetch = s.machine->has_image(spec.image) || !t || t->fetch_gb_per_s <= 0
                             ? 0
                             : spec.image_gb / t->fetch_gb_per_s;
    return c.lost_seconds + fetch * std::max(spec.need.cpus, spec.need.gpus * 8);
  };
  const double ca = cost(a, sa), cb = cost(b, sb);
  if (ca != cb) return ca < cb;
  return a.victims.size() < b.victims.size();
}

}  // namespace dunlinknot::scheduler
