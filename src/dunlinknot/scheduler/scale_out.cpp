// Requests for machines: the cheapest offers for what has no room.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMostRequested = 50;  // machines for one job in one cycle

}  // namespace

std::vector<SchedulingCycle::RankedOffer> SchedulingCycle::ranked_offers(
    const JobSpec& spec, const PlacementConstraints& constraints) const {
  std::vector<RankedOffer> out;
  for (const MachineType& t : cluster_.catalog()) {
    if (!cluster::type_allowed(spec, t.name) || !spec.need.fits_in(t.size)) continue;
    const double share = share_of(spec.need, t.size);
    const uint32_t n = share > 0 ? static_cast<uint32_t>(1 / share + 1e-9) : 1;
    for (const auto& zone : t.zones) {
      if (constraints.tasks_allowed(zone) == 0) continue;
      for (const bool spot : {true, false}) {
        const Offer offer{t.name, zone, spot};
        if (!offer_allowed(spec, offer)) continue;
        if (cloud_capacity_.refused.contains(offer)) continue;
        const double price = spot ? t.spot_price : t.price;
        out.push_back({offer, std::max(1u, n), price / std::max(1u, n), &t});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const RankedOffer& a, const RankedOffer& b) { return a.price < b.price; });
  return out;
}

CandidateMachine& SchedulingCycle::request_machine(const Offer& offer, const std::string& job) {
  ++requested_;
  const auto w = std::find_if(plan_.capacity_requests.begin(), plan_.capacity_requests.end(),
                              [&](const CapacityRequest& x) { return x.offer == offer; });
  if (w == plan_.capacity_requests.end()) {
    plan_.capacity_requests.push_back({offer, 1, job});
  } else {
    ++w->count;
  }
  return *add_pending_machine(offer);
}

uint32_t SchedulingCycle::scale_out_for_array(const Waiting& w, uint32_t open,
                                              const PlacementConstraints& expected) {
  const Job& j = *w.job;
  const JobSpec& spec = j.spec();
  if (j.failing) return 0;
  const auto offers = ranked_offers(spec, expected);
  if (offers.empty() || machine_limit_reached()) return 0;
  const RankedOffer& d = offers.front();
  // What the job may not have in one zone has to be launched elsewhere, in the cycles that follow.
  const uint32_t most_there = expected.tasks_allowed(d.offer.zone);
  // As many machines as finish what is left in time, not one for every task at once.
  const double times = uses_until_due(w, *d.type, d.type->boot.count());
  uint32_t places = static_cast<uint32_t>(std::ceil(open / times));
  const bool all_there = places <= most_there;
  places = std::min(places, most_there);
  uint32_t machines = (places + d.tasks_per_machine - 1) / d.tasks_per_machine;
  machines = std::clamp(machines, 1u, kMostRequested);
  for (uint32_t i = 0; i < machines && !machine_limit_reached(); ++i) {
    CandidateMachine& s = request_machine(d.offer, spec.id);
    const uint32_t n = s.room.count(spec.need, spec.priority, places);
    s.room.take(spec.need * n);
    places -= n;
  }
  return all_there ? open : std::min(open, static_cast<uint32_t>(most_there * times));
}

bool SchedulingCycle::scale_out_for_gang(const Waiting& w, Borrowing borrowing) {
  const JobSpec& spec = w.job->spec();
  if (w.job->failing) return true;
  std::map<std::string, uint32_t> zone_free;
  for (CandidateMachine& s : candidates_) {
    if (!may_borrow(spec, s.pool->type, borrowing)) continue;
    if (spec.need.fits_in(s.room.free()) && may_go(*w.job, s)) {
      zone_free[s.zone()] += count_on(*w.job, s, spec.tasks);
    }
  }
  const PlacementConstraints held = cluster_.constraints_of(*w.job);
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
  for (const RankedOffer& d : offers) {
    if (!may_borrow(spec, d.type, borrowing)) continue;
    const uint32_t free_there = zone_free[d.offer.zone];
    const uint32_t allowed_there = held.tasks_allowed(d.offer.zone);
    if (free_there >= allowed_there) continue;  // more machines there would not help
    const uint32_t have = spec.one_zone ? free_there : everywhere;
    uint32_t missing = spec.tasks > have ? spec.tasks - have : 1;
    missing = std::min(missing, allowed_there - free_there);
    const uint32_t n = (missing + d.tasks_per_machine - 1) / d.tasks_per_machine;
    const double cost = n * d.tasks_per_machine * d.price;
    if (best && cost >= lowest) continue;
    best = &d;
    machines = n;
    lowest = cost;
  }
  if (!best) return false;
  for (uint32_t i = 0; i < machines && !machine_limit_reached(); ++i)
    (void)request_machine(best->offer, spec.id);
  (void)place_gang(*w.job, true, borrowing);
  return true;
}

}  // namespace dunlinknot::scheduler
