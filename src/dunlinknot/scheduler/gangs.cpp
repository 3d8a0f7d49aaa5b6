// Placement of gangs: all tasks or none, and room kept for a gang that waits.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr double kPatience = 0.25;  // of the time for its start a gang waits for cheaper room

}  // namespace

double SchedulingCycle::start_within(const Waiting& waiting) const {
  double within = kNoDeadline.count() / 10;
  for (const auto& o : platform_.objectives) {
    const bool wait = o.kind == "wait" && o.job_class == waiting.job->spec().job_class;
    if (wait || (o.kind == "guarantee" && waiting.guaranteed))
      within = std::min(within, o.within.count());
  }
  return within;
}

double SchedulingCycle::soonest_boot(const JobSpec& spec, Borrowing borrowing) const {
  double soonest = std::numeric_limits<double>::max();
  for (const MachineType& machine_type : cluster_.catalog()) {
    if (!cluster::type_allowed(spec, machine_type.name) || !spec.need.fits_in(machine_type.size))
      continue;
    if (may_borrow(spec, &machine_type, borrowing))
      soonest = std::min(soonest, machine_type.boot.count());
  }
  return soonest;
}

bool SchedulingCycle::hold_overdue(const Waiting& waiting) {
  const Job& job = *waiting.job;
  if (below_limit(job) >= job.spec().tasks && place_gang(job, false, Borrowing::any)) {
    overdue_placed_.insert(&job);
    return false;
  }
  return keep_for_gang(job, Borrowing::any);
}

std::optional<WaitCause> SchedulingCycle::consider_gang(const Waiting& waiting) {
  const Job& job = *waiting.job;
  const auto team = static_cast<size_t>(job.team());
  if (below_limit(job) < job.spec().tasks) {
    // Its team's limit is used up by work behind it in the queue: what that leaves is saved up
    // for the gang, else smaller tasks take it piece by piece and the gang never starts.
    usage_[team] += job.spec().need * job.spec().tasks;
    plan_.saved[team] += job.spec().need * job.spec().tasks;
    return WaitCause::team_limit;
  }
  // Machines with accelerators are borrowed last: a gang's task there strands accelerators for
  // as long as it runs. While other work waits for them, it first waits a moment for the room
  // that short work leaves elsewhere, and for dear ones until no other room can be had.
  // It waits for a machine to come up only where that is in time for its start, or too late in
  // any case.
  const double within = start_within(waiting);
  const double left = within - waited(job);
  for (const Borrowing borrowing : {Borrowing::none, Borrowing::cheap, Borrowing::any}) {
    if (place_gang(job, false, borrowing)) return std::nullopt;
    const bool last = borrowing == Borrowing::any;
    const double boot = last || left <= 0 ? 0 : soonest_boot(job.spec(), borrowing);
    if (boot < std::max(left, 0.1) &&
        (place_gang(job, true, borrowing) || scale_out_for_gang(waiting, borrowing))) {
      return WaitCause::machine_coming;
    }
    const bool waits =
        borrowing != Borrowing::none || (accelerators_wanted_ && waited(job) < within * kPatience);
    const double most = last ? std::numeric_limits<double>::max() : std::max(left, 0.0);
    // What it waits for longer is no machine where its tasks strand several accelerators.
    if (waits && keep_for_gang(job, last ? Borrowing::cheap : borrowing, most))
      return WaitCause::room_kept;
  }
  return WaitCause::no_room;
}

bool SchedulingCycle::place_gang(const Job& job, bool coming, Borrowing borrowing) {
  const JobSpec& spec = job.spec();
  std::vector<std::pair<double, CandidateMachine*>> order = ranked(job, false, borrowing);
  if (coming) {
    auto later = ranked(job, true, borrowing);
    order.insert(order.end(), later.begin(), later.end());
  }
  std::vector<std::string> zones;
  if (spec.one_zone) {
    for (const auto& [c, candidate] : order) {
      if (std::find(zones.begin(), zones.end(), candidate->zone()) == zones.end()) {
        zones.push_back(candidate->zone());
      }
    }
  } else {
    zones.emplace_back();  // any
  }
  struct Choice {
    double cost = 0;
    std::vector<std::pair<CandidateMachine*, uint32_t>> on;
  };
  std::optional<Choice> best;
  const PlacementConstraints held = cluster_.constraints_of(job);
  for (const auto& zone : zones) {
    Choice choice;
    uint32_t left = spec.tasks;
    PlacementConstraints constraints = held;
    for (const auto& [cost, candidate] : order) {
      if (left == 0) break;
      if (!zone.empty() && candidate->zone() != zone) continue;
      const uint32_t most_here = std::min(left, constraints.tasks_allowed(candidate->zone()));
      const uint32_t n = most_here > 0 ? count_on(job, *candidate, most_here) : 0;
      if (n == 0) continue;
      constraints.add(candidate->zone(), n);
      choice.on.emplace_back(candidate, n);
      choice.cost = std::max(choice.cost, cost);  // the slowest sets the gang's start
      left -= n;
    }
    if (left == 0 && (!best || choice.cost < best->cost)) best = std::move(choice);
  }
  if (!best) return false;
  GangPlacement g{spec.id, {}};
  for (auto& [s, n] : best->on) {
    s->room.take(spec.need * n);
    if (s->machine && !s->coming) {
      s->fetching.push_back(spec.image);
      s->gang_fetches = true;
      reserve_record_space(job, *s, n);
      g.on.emplace_back(s->machine->id, n);
      plan_.wanted.push_back(s->machine->id);
    }
  }
  usage_[static_cast<size_t>(job.team())] += spec.need * spec.tasks;
  if (!coming) plan_.gangs.push_back(std::move(g));
  return true;
}

double SchedulingCycle::ends_in(const Allocation& allocation) const {
  if (allocation.service) return std::numeric_limits<double>::max();
  const double run = std::max(1.0, allocation.estimate.count());
  if (allocation.running_since == Instant{}) return run * 1.5;
  const double ran = to_seconds(now_ - allocation.running_since).count();
  return ran < run ? run - ran : run / 4;
}

std::vector<SchedulingCycle::Place> SchedulingCycle::soonest_places(
    const Job& job, std::vector<Place> places) const {
  std::stable_sort(places.begin(), places.end(),
                   [](const Place& a, const Place& b) { return a.in < b.in; });
  PlacementConstraints constraints = cluster_.constraints_of(job);
  std::vector<Place> chosen;
  for (const Place& place : places) {
    if (chosen.size() == job.spec().tasks) break;
    if (constraints.tasks_allowed(place.candidate->zone()) == 0) continue;
    constraints.add(place.candidate->zone(), 1);
    chosen.push_back(place);
  }
  if (chosen.size() < job.spec().tasks) chosen.clear();
  return chosen;
}

bool SchedulingCycle::keep_for_gang(const Job& job, Borrowing borrowing, double most) {
  const JobSpec& spec = job.spec();
  if (kept_gangs_.contains(&job)) return true;
  std::map<std::string, std::vector<Place>> zones;
  for (auto& [offer, pool] : pools_) {
    if (!pool.type || !offer_allowed(spec, offer) || !may_borrow(spec, pool.type, borrowing))
      continue;
    if (!spec.need.fits_in(pool.type->size)) continue;
    auto& places = zones[spec.one_zone ? offer.zone : std::string()];
    for (CandidateMachine* candidate : pool.ready) {
      if (!candidate->kept_for.empty() && candidate->kept_for != spec.job_class) continue;
      if (!may_use(job, *candidate)) continue;
      std::vector<std::pair<double, const Allocation*>> ends;
      for (const Allocation& allocation : candidate->machine->allocations) {
        if (!allocation.gang && !allocation.queued && !allocation.service)
          ends.emplace_back(ends_in(allocation), &allocation);
      }
      std::sort(ends.begin(), ends.end());
      Resources room = candidate->room.free();
      double in = 0;
      uint32_t n = preemption::tasks_in(room, spec.need, spec.tasks);
      places.insert(places.end(), n, Place{in, candidate});
      for (const auto& [t, b] : ends) {
        room += b->need;
        in = t;
        for (; preemption::tasks_in(room, spec.need, spec.tasks) > n; ++n)
          places.push_back({in, candidate});
      }
    }
  }
  std::vector<Place> best;
  double soonest = 0;
  for (auto& [zone, places] : zones) {
    std::vector<Place> chosen = soonest_places(job, std::move(places));
    if (chosen.empty()) continue;
    const double all_in = chosen.back().in;
    if (!best.empty() && all_in >= soonest) continue;
    best = std::move(chosen);
    soonest = all_in;
  }
  if (best.empty() || soonest > most) return false;
  for (const auto& [in, candidate] : best) {
    if (candidate->kept_for != spec.id) candidate->kept = Resources{};
    candidate->kept += spec.need;
    candidate->kept_for = spec.id;
    candidate->kept_priority = Priority::production;  // its turn is as good as any
    plan_.wanted.push_back(candidate->machine->id);
  }
  kept_gangs_.insert(&job);
  return true;
}

}  // namespace dunlinknot::scheduler
