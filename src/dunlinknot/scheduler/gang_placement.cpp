// Searches for room for a whole gang, zone by zone if all of its tasks must be in one zone.
#include "dunlinknot/scheduler/gang_placement.hpp"

#include <algorithm>

namespace dunlinknot::scheduler {

namespace {

struct CandidateShare {
  CandidateMachine* candidate = nullptr;
  uint32_t count = 0;
};

// Shares of machines with room for all of the gang's tasks.
struct GangRoom {
  // The cost of the most expensive share, since the slowest task determines the gang's start.
  double cost = 0;
  std::vector<CandidateShare> shares;
};

// The zones to try one by one; a single empty name stands for all zones together.
std::vector<std::string> zones_to_try(const JobSpec& spec,
                                      const std::vector<RankedCandidate>& ranked) {
  if (!spec.one_zone) return {std::string()};
  std::vector<std::string> zones;
  for (const auto& [cost, candidate] : ranked) {
    if (std::find(zones.begin(), zones.end(), candidate->zone()) == zones.end())
      zones.push_back(candidate->zone());
  }
  return zones;
}

std::optional<GangRoom> room_in_zone(const CycleState& state, const Job& job,
                                     const std::vector<RankedCandidate>& ranked,
                                     const std::string& zone, PlacementConstraints constraints) {
  GangRoom room;
  uint32_t tasks_left = job.spec().tasks;
  for (const auto& [cost, candidate] : ranked) {
    if (tasks_left == 0) break;
    if (!zone.empty() && candidate->zone() != zone) continue;
    const uint32_t max_here = std::min(tasks_left, constraints.tasks_allowed(candidate->zone()));
    const uint32_t count = max_here > 0 ? tasks_that_fit(state, job, *candidate, max_here) : 0;
    if (count == 0) continue;
    constraints.add(candidate->zone(), count);
    room.shares.push_back({candidate, count});
    room.cost = std::max(room.cost, cost);
    tasks_left -= count;
  }
  if (tasks_left > 0) return std::nullopt;
  return room;
}

std::optional<GangRoom> cheapest_room(const CycleState& state, const Job& job,
                                      const std::vector<RankedCandidate>& ranked) {
  const PlacementConstraints constraints = state.cluster().constraints_of(job);
  std::optional<GangRoom> best;
  for (const std::string& zone : zones_to_try(job.spec(), ranked)) {
    std::optional<GangRoom> room = room_in_zone(state, job, ranked, zone, constraints);
    if (room && (!best || room->cost < best->cost)) best = std::move(room);
  }
  return best;
}

// Takes the room and returns the shares on ready machines.
GangPlacement occupy(CycleState& state, const Job& job, const GangRoom& room) {
  const JobSpec& spec = job.spec();
  GangPlacement placement{spec.id, {}};
  for (const auto& [candidate, count] : room.shares) {
    candidate->capacity.take(spec.need * count);
    if (!candidate->machine || candidate->upcoming) continue;
    candidate->fetching_images.push_back(spec.image);
    candidate->gang_fetching = true;
    reserve_record_space(state.cluster(), job, *candidate, count);
    placement.shares.push_back({candidate->machine->id, count});
    state.plan.machines_to_keep.push_back(candidate->machine->id);
  }
  state.quotas.charge(job, spec.tasks);
  return placement;
}

}  // namespace

bool place_gang(CycleState& state, const Job& job, Borrowing borrowing) {
  const auto room =
      cheapest_room(state, job, ranked_candidates(state, job, Readiness::ready, borrowing));
  if (!room) return false;
  state.plan.gangs.push_back(occupy(state, job, *room));
  return true;
}

bool reserve_upcoming_for_gang(CycleState& state, const Job& job, Borrowing borrowing) {
  std::vector<RankedCandidate> ranked = ranked_candidates(state, job, Readiness::ready, borrowing);
  const std::vector<RankedCandidate> upcoming =
      ranked_candidates(state, job, Readiness::upcoming, borrowing);
  ranked.insert(ranked.end(), upcoming.begin(), upcoming.end());
  const auto room = cheapest_room(state, job, ranked);
  if (!room) return false;
  (void)occupy(state, job, *room);
  return true;
}

}  // namespace dunlinknot::scheduler
