// Placement of arrays: on machines with room, ahead on full ones, on machines that are coming.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr uint32_t kMostQueuedRuns = 4;  // at most so many times what fits there
constexpr uint32_t kFirstShare = 16;     // an overdue job begins with one in so many of its tasks

}  // namespace

void SchedulingCycle::consider_array(const Waiting& waiting) {
  const Job& job = *waiting.job;
  if (job.pending() + job.queued_tasks == 0) {
    prepare_move(waiting);
    return;
  }
  const uint32_t allowed = below_limit(job);
  uint32_t want = std::min(job.pending(), allowed);
  // What went first because nothing of it was started begins; the rest has its ordinary turn.
  if (waiting.overdue && job.done_count() == 0 && !job.spec().service)
    want = std::min(want, job.spec().tasks / kFirstShare + 1);
  std::vector<uint64_t> own = nominations_.of(job.spec().id);
  PlacementConstraints constraints = cluster_.constraints_of(job);
  uint32_t placed = 0;
  WaitCause cause = WaitCause::team_limit;
  if (want > 0) {
    placed = place_nominated(job, want, own, constraints);
    placed += place_array(waiting, want - placed, constraints);
    // What has a nomination waits for its room; the rest may use machines that are coming, then
    // launch.
    want -= placed;
    // Tasks that found a place elsewhere need their nominations no more.
    while (own.size() > want) {
      clear_nomination(own.back());
      own.pop_back();
    }
    promise_nominated(own, constraints);
    const uint32_t wanted = want - static_cast<uint32_t>(own.size());
    uint32_t open = wanted;
    PlacementConstraints expected = constraints;
    if (open > 0) open -= place_coming(waiting, open, expected);
    if (open > 0) open -= scale_out_for_array(waiting, open, expected);
    cause = open < wanted ? WaitCause::machine_coming : WaitCause::no_room;
    if (!own.empty()) cause = WaitCause::preemption;
    preempt(waiting, own, open, constraints);
  }
  if (placed == 0) note_waiting(job, cause);
  if (placed == job.pending() && placed < allowed) {
    // Room for what waits elsewhere: it need not wait, if that is sooner.
    (void)place_array(waiting, std::min(job.queued_tasks, allowed - placed), constraints,
                      queue_span_);
  } else if (own.empty()) {
    queue_on_busy_machines(waiting, job.pending() - placed);
  }
}

void SchedulingCycle::queue_on_busy_machines(const Waiting& waiting, uint32_t n) {
  const JobSpec& spec = waiting.job->spec();
  if (n == 0 || queue_span_ <= 0 || waiting.job->failing || spec.service) return;
  // Where a task that waits on a machine would be in the way of the others, or they in its way.
  if (PlacementConstraints(spec).zone_bound()) return;
  const cluster::QueuePosition mine = absolute(waiting.queue_position());
  const double run = std::max(1.0, spec.estimate.count());
  const Resources& used = usage_[static_cast<size_t>(waiting.job->team())];
  if (below_limit(*waiting.job) == 0) {
    // At its limit only what ends of its own makes room.
    const double running = std::max(spec.need.cpus > 0 ? used.cpus / spec.need.cpus : 0,
                                    spec.need.gpus > 0 ? used.gpus / spec.need.gpus : 0);
    const auto most = static_cast<uint32_t>(std::ceil(running * queue_span_ / run));
    uint32_t& already = queued_at_limit_[waiting.job->team()];
    already += waiting.job->queued_tasks;
    n = std::min(n, most > already ? most - already : 0);
    already += n;
  }
  for (auto& [offer, pool] : pools_) {
    if (n == 0) return;
    if (!pool.type || !offer_allowed(spec, offer)) continue;
    const uint32_t places = preemption::tasks_in(pool.type->size, spec.need, 10'000);
    if (places == 0) continue;
    const auto cap = std::clamp(static_cast<uint32_t>(std::ceil(places * queue_span_ / run)), 1u,
                                places * kMostQueuedRuns);
    for (CandidateMachine* candidate : pool.ready) {
      if (n == 0) return;
      if (!candidate->kept_for.empty() || candidate->queued_tasks >= cap * 2 ||
          !candidate->machine->has_image(spec.image))
        continue;
      uint32_t before = candidate->queued_tasks - candidate->machine->queued_tasks;
      if (candidate->machine->queued_tasks > 0) {
        for (const Allocation& allocation : candidate->machine->allocations) {
          if (allocation.queued && !mine.before(allocation.queue_position)) ++before;
        }
      }
      // Filled up when half is gone, not one by one.
      if (before * 2 > cap || !may_use(*waiting.job, *candidate)) continue;
      const uint32_t k = std::min({n, cap - before, record_allows(*waiting.job, *candidate)});
      candidate->queued_tasks += k;
      n -= k;
      reserve_record_space(*waiting.job, *candidate, k);
      plan_.queued.push_back({spec.id, candidate->machine->id, k, mine});
    }
  }
}

uint32_t SchedulingCycle::place_nominated(const Job& job, uint32_t want, std::vector<uint64_t>& own,
                                          PlacementConstraints& constraints) {
  uint32_t placed = 0;
  for (size_t i = 0; i < own.size() && placed < want;) {
    const auto& n = nominations_.all().at(own[i]);
    CandidateMachine* candidate = find_candidate(n.machine);
    if (!candidate || candidate->coming || !may_go(job, *candidate) ||
        !candidate->room.fits(job.spec().need, job.spec().priority, n.id) ||
        constraints.tasks_allowed(candidate->zone()) == 0) {
      ++i;
      continue;
    }
    candidate->room.end_hold(n.id);
    put(job, *candidate, 1, {n.id});
    constraints.add(candidate->zone(), 1);
    ++placed;
    own.erase(own.begin() + static_cast<ptrdiff_t>(i));
  }
  return placed;
}

std::string_view SchedulingCycle::zone_of(uint64_t nomination) const {
  const auto machine = cluster_.machines().find(nominations_.all().at(nomination).machine);
  return machine == cluster_.machines().end() ? std::string_view() : machine->second->zone;
}

void SchedulingCycle::clear_nomination(uint64_t nomination) {
  plan_.cleared.push_back(nomination);
  if (CandidateMachine* candidate = find_candidate(nominations_.all().at(nomination).machine))
    candidate->room.end_hold(nomination);
}

// The job's other tasks may have gone elsewhere since the nomination was made.
void SchedulingCycle::promise_nominated(std::vector<uint64_t>& own,
                                        PlacementConstraints& constraints) {
  std::vector<uint64_t> kept;
  for (const uint64_t id : own) {
    const std::string_view zone = zone_of(id);
    if (zone.empty() || constraints.tasks_allowed(zone) == 0) {
      clear_nomination(id);
      continue;
    }
    constraints.add(zone, 1);
    kept.push_back(id);
  }
  own = std::move(kept);
}

uint32_t SchedulingCycle::tasks_there(const Job& job, const Machine& machine) {
  const auto is_of_job = [&](const Allocation& allocation) {
    return allocation.task.job == job.spec().id;
  };
  return static_cast<uint32_t>(
      std::count_if(machine.allocations.begin(), machine.allocations.end(), is_of_job));
}

uint32_t SchedulingCycle::replicas_leaving(const Job& job) const {
  if (!job.spec().service) return 0;
  uint32_t leaving = 0;
  for (const Machine* machine : cluster_.holders(job.spec().id)) {
    if (machine->interruption_at) leaving += tasks_there(job, *machine);
  }
  return leaving;
}

// Replicas on machines that are interrupted move late: until then there should be a place for them.
// Those that leave a zone make room there for others, so the job's zones are of no concern here.
void SchedulingCycle::prepare_move(const Waiting& waiting) {
  const JobSpec& spec = waiting.job->spec();
  uint32_t open = replicas_leaving(*waiting.job);
  for (const auto& [cost, candidate] : ranked(*waiting.job, false)) {
    if (open == 0) return;
    const uint32_t n = count_on(*waiting.job, *candidate, open);
    candidate->room.take(spec.need * n);
    open -= n;
  }
  PlacementConstraints expected(spec);
  if (open > 0) open -= place_coming(waiting, open, expected);
  if (open > 0) (void)scale_out_for_array(waiting, open, expected);
}

uint32_t SchedulingCycle::place_array(const Waiting& waiting, uint32_t want,
                                      PlacementConstraints& constraints, double most) {
  if (want == 0) return 0;
  uint32_t placed = 0;
  if (waiting.job->spec().service) {
    // The loss of one machine should leave some of it running.
    const uint32_t half = (waiting.job->spec().tasks + 1) / 2;
    placed = place_ranked(*waiting.job, want, constraints, most, half);
  }
  return placed +
         place_ranked(*waiting.job, want - placed, constraints, most, waiting.job->spec().tasks);
}

uint32_t SchedulingCycle::place_ranked(const Job& job, uint32_t want,
                                       PlacementConstraints& constraints, double most,
                                       uint32_t most_on_machine) {
  const JobSpec& spec = job.spec();
  if (want == 0) return 0;
  uint32_t placed = 0;
  for (const auto& [cost, candidate] : ranked(job, false)) {
    if (placed == want || cost > most) break;
    // A second image would halve the rate at which the gang's comes.
    if (candidate->gang_fetches && !candidate->machine->has_image(spec.image)) continue;
    uint32_t most_here = std::min(want - placed, constraints.tasks_allowed(candidate->zone()));
    if (spec.service) {
      const uint32_t there = tasks_there(job, *candidate->machine);
      most_here = std::min(most_here, most_on_machine > there ? most_on_machine - there : 0);
    }
    const uint32_t n = most_here > 0 ? count_on(job, *candidate, most_here) : 0;
    if (n == 0) continue;
    constraints.add(candidate->zone(), n);
    put(job, *candidate, n, {});
    placed += n;
  }
  return placed;
}

double SchedulingCycle::uses_until_due(const Waiting& waiting, const MachineType& machine_type,
                                       double up_in) const {
  const JobSpec& spec = waiting.job->spec();
  if (spec.service) return 1;  // its tasks never leave their places
  const double fetch =
      machine_type.fetch_gb_per_s > 0 ? spec.image_gb / machine_type.fetch_gb_per_s : 0;
  const double run = std::max(1.0, spec.estimate.count());
  const double span = std::max(run, waiting.due - up_in - fetch);
  return std::max(1.0, std::floor(span / run));
}

uint32_t SchedulingCycle::place_coming(const Waiting& waiting, uint32_t want,
                                       PlacementConstraints& expected) {
  const JobSpec& spec = waiting.job->spec();
  uint32_t provided = 0;
  for (const auto& [cost, candidate] : ranked(*waiting.job, true)) {
    if (provided == want) break;
    const MachineType& machine_type = *candidate->pool->type;
    double up_in = machine_type.boot.count();
    if (candidate->machine)
      up_in -= std::min(up_in, to_seconds(now_ - candidate->machine->known_since).count());
    const double times = uses_until_due(waiting, machine_type, up_in);
    auto places = static_cast<uint32_t>(std::ceil((want - provided) / times));
    places = std::min(places, expected.tasks_allowed(candidate->zone()));
    const uint32_t n = places > 0 ? count_on(*waiting.job, *candidate, places) : 0;
    if (n == 0) continue;
    candidate->room.take(spec.need * n);
    expected.add(candidate->zone(), n);
    provided = std::min(want, provided + static_cast<uint32_t>(n * times));
  }
  return provided;
}

}  // namespace dunlinknot::scheduler
