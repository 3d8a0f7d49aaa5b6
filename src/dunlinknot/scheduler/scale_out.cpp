// Chooses offers by price per task, and the number of machines to request.
#include "dunlinknot/scheduler/scale_out.hpp"

#include <algorithm>
#include <cmath>

#include "dunlinknot/scheduler/gang_placement.hpp"

namespace dunlinknot::scheduler {

namespace {

// The maximum number of machines requested for one array in one cycle; further machines are
// requested in later cycles.
constexpr uint32_t kMaxMachinesPerRequest = 50;
constexpr uint32_t kMaxTasksPerMachine = 100'000;  // higher counts are not distinguished

struct RankedOffer {
  Offer offer;
  uint32_t tasks_per_machine = 0;
  double price = 0;  // per task and hour
  const MachineType* type = nullptr;
  // The number of machines needed for `tasks` tasks.
  uint32_t machines_for(uint32_t tasks) const {
    return (tasks + tasks_per_machine - 1) / tasks_per_machine;
  }
};

// The offers that may be launched for a job, in zones where it may have further tasks; sorted by
// price per task. On each of them the next cycle would place the job's tasks.
std::vector<RankedOffer> ranked_offers(const CycleState& state, const Job& job,
                                       const PlacementConstraints& constraints) {
  const CycleInputs& inputs = state.inputs;
  const JobSpec& spec = job.spec();
  std::vector<RankedOffer> ranked;
  for (const MachineType& type : inputs.cluster.catalog()) {
    if (!cluster::type_allowed(spec, type.name) || !spec.need.fits_in(type.size)) continue;
    const uint32_t tasks_per_machine =
        tasks_on_empty_machine(state, job, type, kMaxTasksPerMachine);
    if (tasks_per_machine == 0) continue;
    for (const auto& zone : type.zones) {
      if (constraints.tasks_allowed(zone) == 0) continue;
      for (const bool spot : {true, false}) {
        const Offer offer{type.name, zone, spot};
        if (!offer_allowed(spec, offer) || inputs.cloud_capacity.refused_offers.contains(offer))
          continue;
        const double price = spot ? type.spot_price : type.price;
        ranked.push_back({offer, tasks_per_machine, price / tasks_per_machine, &type});
      }
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const RankedOffer& a, const RankedOffer& b) { return a.price < b.price; });
  return ranked;
}

// How many of the gang's tasks have room now, by zone, on ready and upcoming machines. The number
// is not limited by the gang's constraints.
std::map<std::string, uint32_t> room_by_zone(CycleState& state, const Job& job,
                                             Borrowing borrowing) {
  const JobSpec& spec = job.spec();
  std::map<std::string, uint32_t> by_zone;
  for (CandidateMachine& candidate : state.candidates.all()) {
    if (!may_borrow(state, spec, candidate.pool->type, borrowing)) continue;
    if (spec.need.fits_in(candidate.capacity.free()) && may_place(state, job, candidate))
      by_zone[candidate.zone()] += tasks_that_fit(state, job, candidate, spec.tasks);
  }
  return by_zone;
}

struct GangRequest {
  const RankedOffer* offer = nullptr;  // null: no machine can be launched
  uint32_t machines = 0;
};

// The offer that provides the room the gang lacks at the lowest cost.
GangRequest cheapest_for_gang(const CycleState& state, const JobSpec& spec,
                              const std::vector<RankedOffer>& offers,
                              const PlacementConstraints& constraints,
                              std::map<std::string, uint32_t> room, Borrowing borrowing) {
  uint32_t total_room = 0;
  for (auto& [zone, tasks] : room) {
    tasks = std::min(tasks, constraints.tasks_allowed(zone));
    total_room += tasks;
  }
  GangRequest best;
  double lowest_cost = 0;
  for (const RankedOffer& ranked : offers) {
    if (!may_borrow(state, spec, ranked.type, borrowing)) continue;
    const uint32_t room_in_zone = room[ranked.offer.zone];
    const uint32_t allowed_in_zone = constraints.tasks_allowed(ranked.offer.zone);
    if (room_in_zone >= allowed_in_zone) continue;  // further machines there cannot be used
    const uint32_t usable_room = spec.one_zone ? room_in_zone : total_room;
    uint32_t missing = spec.tasks > usable_room ? spec.tasks - usable_room : 1;
    missing = std::min(missing, allowed_in_zone - room_in_zone);
    const uint32_t machines = ranked.machines_for(missing);
    const double cost = machines * ranked.tasks_per_machine * ranked.price;
    if (best.offer && cost >= lowest_cost) continue;
    best = {&ranked, machines};
    lowest_cost = cost;
  }
  return best;
}

}  // namespace

bool ScaleOutRequests::possible(const Job& job, const PlacementConstraints& constraints) const {
  return !ranked_offers(state_, job, constraints).empty() && !machine_limit_reached();
}

bool ScaleOutRequests::machine_limit_reached() const {
  return state_.inputs.cloud_capacity.machine_count + requested_ >=
         state_.inputs.operator_settings.max_machines;
}

CandidateMachine& ScaleOutRequests::request_machine(const Offer& offer, const std::string& job) {
  ++requested_;
  auto& requests = state_.plan.capacity_requests;
  const auto same_offer =
      std::find_if(requests.begin(), requests.end(),
                   [&](const CapacityRequest& request) { return request.offer == offer; });
  if (same_offer == requests.end()) {
    requests.push_back({offer, 1, job});
  } else {
    ++same_offer->count;
  }
  return *state_.candidates.add_pending(offer);
}

uint32_t ScaleOutRequests::request_for_array(const QueueEntry& entry, uint32_t unplaced,
                                             const PlacementConstraints& expected) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  const auto offers = ranked_offers(state_, job, expected);
  if (offers.empty() || machine_limit_reached()) return 0;
  const RankedOffer& cheapest = offers.front();
  // Tasks that the job may not have in this zone get machines elsewhere in later cycles.
  const uint32_t max_there = expected.tasks_allowed(cheapest.offer.zone);
  // Request as many machines as finish the remaining tasks by the due time, not one slot per task.
  const double tasks_per_slot =
      tasks_per_slot_until_due(entry, *cheapest.type, cheapest.type->boot.count());
  uint32_t slots = static_cast<uint32_t>(std::ceil(unplaced / tasks_per_slot));
  const bool fits_in_zone = slots <= max_there;
  slots = std::min(slots, max_there);
  const uint32_t machines = std::clamp(cheapest.machines_for(slots), 1u, kMaxMachinesPerRequest);
  for (uint32_t i = 0; i < machines && !machine_limit_reached(); ++i) {
    CandidateMachine& candidate = request_machine(cheapest.offer, spec.id);
    const uint32_t tasks = tasks_that_fit(state_, job, candidate, slots);
    candidate.capacity.take(spec.need * tasks);
    slots -= tasks;
  }
  return fits_in_zone ? unplaced
                      : std::min(unplaced, static_cast<uint32_t>(max_there * tasks_per_slot));
}

bool ScaleOutRequests::request_for_gang(const QueueEntry& entry, Borrowing borrowing) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  const PlacementConstraints constraints = state_.cluster().constraints_of(job);
  const auto offers = ranked_offers(state_, job, constraints);
  if (offers.empty() || machine_limit_reached()) return false;
  const GangRequest request = cheapest_for_gang(state_, spec, offers, constraints,
                                                room_by_zone(state_, job, borrowing), borrowing);
  if (!request.offer) return false;
  for (uint32_t i = 0; i < request.machines && !machine_limit_reached(); ++i)
    (void)request_machine(request.offer->offer, spec.id);
  (void)reserve_upcoming_for_gang(state_, job, borrowing);
  return true;
}

}  // namespace dunlinknot::scheduler
