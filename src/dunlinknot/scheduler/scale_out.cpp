// Requests for machines: the cheapest offers for what has no room.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMostRequested = 50;  // machines for one job in one cycle

}  // namespace

std::vector<SchedulingCycle::RankedOffer> SchedulingCycle::ranked_offers(
    const JobSpec& spec, const PlacementConstraints& constraints) const {
  std::vector<RankedOffer> out;
  for (const MachineType& machine_type : cluster_.catalog()) {
    if (!cluster::type_allowed(spec, machine_type.name) || !spec.need.fits_in(machine_type.size))
      continue;
    const double share = share_of(spec.need, machine_type.size);
    const uint32_t n = share > 0 ? static_cast<uint32_t>(1 / share + 1e-9) : 1;
    for (const auto& zone : machine_type.zones) {
      if (constraints.tasks_allowed(zone) == 0) continue;
      for (const bool spot : {true, false}) {
        const Offer offer{machine_type.name, zone, spot};
        if (!offer_allowed(spec, offer)) continue;
        if (cloud_capacity_.refused.contains(offer)) continue;
        const double price = spot ? machine_type.spot_price : machine_type.price;
        out.push_back({offer, std::max(1u, n), price / std::max(1u, n), &machine_type});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const RankedOffer& a, const RankedOffer& b) { return a.price < b.price; });
  return out;
}

CandidateMachine& SchedulingCycle::request_machine(const Offer& offer, const std::string& job) {
  ++requested_;
  const auto w =
      std::find_if(plan_.capacity_requests.begin(), plan_.capacity_requests.end(),
                   [&](const CapacityRequest& request) { return request.offer == offer; });
  if (w == plan_.capacity_requests.end()) {
    plan_.capacity_requests.push_back({offer, 1, job});
  } else {
    ++w->count;
  }
  return *add_pending_machine(offer);
}

uint32_t SchedulingCycle::scale_out_for_array(const Waiting& waiting, uint32_t open,
                                              const PlacementConstraints& expected) {
  const Job& job = *waiting.job;
  const JobSpec& spec = job.spec();
  if (job.failing) return 0;
  const auto offers = ranked_offers(spec, expected);
  if (offers.empty() || machine_limit_reached()) return 0;
  const RankedOffer& ranked_offer = offers.front();
  // What the job may not have in one zone has to be launched elsewhere, in the cycles that follow.
  const uint32_t most_there = expected.tasks_allowed(ranked_offer.offer.zone);
  // As many machines as finish what is left in time, not one for every task at once.
  const double times = uses_until_due(waiting, *ranked_offer.type, ranked_offer.type->boot.count());
  uint32_t places = static_cast<uint32_t>(std::ceil(open / times));
  const bool all_there = places <= most_there;
  places = std::min(places, most_there);
  uint32_t machines =
      (places + ranked_offer.tasks_per_machine - 1) / ranked_offer.tasks_per_machine;
  machines = std::clamp(machines, 1u, kMostRequested);
  for (uint32_t i = 0; i < machines && !machine_limit_reached(); ++i) {
    CandidateMachine& candidate = request_machine(ranked_offer.offer, spec.id);
    const uint32_t n = candidate.room.count(spec.need, spec.priority, places);
    candidate.room.take(spec.need * n);
    places -= n;
  }
  return all_there ? open : std::min(open, static_cast<uint32_t>(most_there * times));
}

bool SchedulingCycle::scale_out_for_gang(const Waiting& waiting, Borrowing borrowing) {
  const JobSpec& spec = waiting.job->spec();
  if (waiting.job->failing) return true;
  std::map<std::string, uint32_t> zone_free;
  for (CandidateMachine& candidate : candidates_) {
    if (!may_borrow(spec, candidate.pool->type, borrowing)) continue;
    if (spec.need.fits_in(candidate.room.free()) && may_go(*waiting.job, candidate)) {
      zone_free[candidate.zone()] += count_on(*waiting.job, candidate, spec.tasks);
    }
  }
  const PlacementConstraints held = cluster_.constraints_of(*waiting.job);
  const auto offers = ranked_offers(spec, held);
  if (offers.empty() || machine_limit_reached()) return false;
  uint32_t everywhere = 0;
  for (auto& [zone, n] : zone_free) {
    n = std::min(n, held.tasks_allowed(zone));
    everywhere += n;
  }
  const RankedOffer* best = nullptr;
  uint32_t machines = 0;
  double lowest = 0;
  for (const RankedOffer& ranked_offer : offers) {
    if (!may_borrow(spec, ranked_offer.type, borrowing)) continue;
    const uint32_t free_there = zone_free[ranked_offer.offer.zone];
    const uint32_t allowed_there = held.tasks_allowed(ranked_offer.offer.zone);
    if (free_there >= allowed_there) continue;  // more machines there would not help
    const uint32_t have = spec.one_zone ? free_there : everywhere;
    uint32_t missing = spec.tasks > have ? spec.tasks - have : 1;
    missing = std::min(missing, allowed_there - free_there);
    const uint32_t n =
        (missing + ranked_offer.tasks_per_machine - 1) / ranked_offer.tasks_per_machine;
    const double cost = n * ranked_offer.tasks_per_machine * ranked_offer.price;
    if (best && cost >= lowest) continue;
    best = &ranked_offer;
    machines = n;
    lowest = cost;
  }
  if (!best) return false;
  for (uint32_t i = 0; i < machines && !machine_limit_reached(); ++i)
    (void)request_machine(best->offer, spec.id);
  (void)place_gang(*waiting.job, true, borrowing);
  return true;
}

}  // namespace dunlinknot::scheduler
