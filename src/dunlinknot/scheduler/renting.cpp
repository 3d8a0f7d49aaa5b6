// Requests for machines: the cheapest offers for what has no room.
#include "dunlinknot/scheduler/round.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMostRequested = 50;  // machines for one job in one round

}  // namespace

std::vector<Round::Deal> Round::deals(const JobSpec& spec) const {
  std::vector<Deal> out;
  for (const MachineType& t : cluster_.catalog()) {
    if (!type_allowed(spec, t.name) || !spec.need.fits_in(t.size)) continue;
    const double share = share_of(spec.need, t.size);
    const uint32_t n = share > 0 ? static_cast<uint32_t>(1 / share + 1e-9) : 1;
    for (const auto& zone : t.zones) {
      for (const bool spot : {true, false}) {
        const Offer offer{t.name, zone, spot};
        if (!place_allowed(spec, offer)) continue;
        if (market_.refused.contains(offer)) continue;
        const double price = spot ? t.spot_price : t.price;
        out.push_back({offer, std::max(1u, n), price / std::max(1u, n), &t});
      }
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Deal& a, const Deal& b) { return a.price < b.price; });
  return out;
}

Slot& Round::request_machine(const Offer& offer, const std::string& job) {
  ++requested_;
  const auto w = std::find_if(plan_.capacity_requests.begin(), plan_.capacity_requests.end(),
                              [&](const CapacityRequest& x) { return x.offer == offer; });
  if (w == plan_.capacity_requests.end()) {
    plan_.capacity_requests.push_back({offer, 1, job});
  } else {
    ++w->count;
  }
  return *add_expected(offer);
}

uint32_t Round::rent_array(const Waiting& w, uint32_t open) {
  const Job& j = *w.job;
  const JobSpec& spec = j.spec();
  if (j.failing) return 0;
  const auto offers = deals(spec);
  if (offers.empty() || fleet_full()) return 0;
  const Deal& d = offers.front();
  // As many machines as finish what is left in time, not one for every task at once.
  const double times = turns(w, *d.type, d.type->boot.count());
  const double per_machine = d.slots * times;
  uint32_t machines = static_cast<uint32_t>(std::ceil(open / per_machine));
  machines = std::clamp(machines, 1u, kMostRequested);
  uint32_t places = static_cast<uint32_t>(std::ceil(open / times));
  for (uint32_t i = 0; i < machines && !fleet_full(); ++i) {
    Slot& s = request_machine(d.offer, spec.id);
    const uint32_t n = s.room.count(spec.need, spec.priority, places);
    s.room.take(spec.need * n);
    places -= n;
  }
  return open;
}

bool Round::rent_gang(const Waiting& w, Lend lend) {
  const JobSpec& spec = w.job->spec();
  if (w.job->failing) return true;
  std::map<std::string, uint32_t> zone_free;
  for (Slot& s : slots_) {
    if (!lent(spec, s.kind->type, lend)) continue;
    if (spec.need.fits_in(s.room.free()) && may_go(*w.job, s)) {
      zone_free[s.zone()] += count_on(spec, s, spec.tasks);
    }
  }
  const auto offers = deals(spec);
  if (offers.empty() || fleet_full()) return false;
  uint32_t everywhere = 0;
  for (const auto& [z, n] : zone_free) everywhere += n;
  const Deal* best = nullptr;
  uint32_t machines = 0;
  double lowest = 0;
  for (const Deal& d : offers) {
    if (!lent(spec, d.type, lend)) continue;
    const uint32_t have = spec.one_zone ? zone_free[d.offer.zone] : everywhere;
    const uint32_t missing = spec.tasks > have ? spec.tasks - have : 1;
    const uint32_t n = (missing + d.slots - 1) / d.slots;
    const double cost = n * d.slots * d.price;
    if (best && cost >= lowest) continue;
    best = &d;
    machines = n;
    lowest = cost;
  }
  if (!best) return false;
  for (uint32_t i = 0; i < machines && !fleet_full(); ++i)
    (void)request_machine(best->offer, spec.id);
  (void)place_gang(*w.job, true, lend);
  return true;
}

}  // namespace dunlinknot::scheduler
