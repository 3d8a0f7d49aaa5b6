// The cycle itself: machines as it sees them, what a job may use, and what each choice costs.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr double kQueuedWriteShare =
    0.5;                               // of the key-value store's writes, for queued allocations
constexpr double kMostQueueSpan = 20;  // seconds of work queued on the machine on a machine
constexpr size_t kMostHeld = 3;        // overdue gangs that room is kept for at a time
constexpr double kMostStranded = 1;
constexpr double kNearLimit = 1.05;   // a team's use from which it counts as being at its limit
constexpr double kBusyFetches = 0.5;  // a second fetch shares the rate with the first

}  // namespace

uint32_t tasks_below_limit(const settings::Team& team, const Resources& used,
                           const Resources& need) {
  double n = std::numeric_limits<uint32_t>::max();
  const auto dim = [&](double most, double in_use, double per_task) {
    if (most <= 0 || per_task <= 0) return;  // 0: no limit
    n = std::min(n, std::floor((most - in_use + Resources::kSlack) / per_task));
  };
  dim(team.cpus_max, used.cpus, need.cpus);
  dim(team.gpus_max, used.gpus, need.gpus);
  return n <= 0 ? 0 : static_cast<uint32_t>(n);
}

Plan SchedulingCycle::run() {
  collect();
  for (size_t t = 0; t < cluster_.teams().size(); ++t) {
    usage_.push_back(cluster_.usage(static_cast<int>(t)).used);
  }
  given_up_.resize(usage_.size());
  plan_.saved.resize(usage_.size());
  // So much queued work that the key-value store's writes suffice for the allocations. Where they
  // suffice for one task at a time, every freed place goes to whatever is due first.
  const double write_rps = platform_.lowest_store_write_rps();
  queue_span_ = static_cast<double>(candidates_.size()) / (write_rps * kQueuedWriteShare);
  queue_span_ = queue_span_ < platform_.heartbeat_interval.count()
                    ? 0
                    : std::min(queue_span_, kMostQueueSpan);
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->spec().need.gpus <= 0 || job->pending() == 0 || job->team() < 0) continue;
    // What waits for its team's limit rather than for a place wants none; tasks that just ended
    // do not make it want any.
    const auto team = static_cast<size_t>(job->team());
    accelerators_wanted_ |=
        tasks_below_limit(cluster_.teams()[team], usage_[team] * kNearLimit, job->spec().need) > 0;
  }
  for (const auto& [name, e] : cluster_.forecasts()) keep_headroom(name, e);
  const std::vector<Waiting> waiting = queue();
  size_t kept = 0;
  for (const Waiting& entry : waiting) {
    if (kept == kMostHeld) break;
    if (entry.overdue && entry.job->spec().gang && !entry.job->any_live())
      kept += hold_overdue(entry) ? 1 : 0;
  }
  for (const Waiting& entry : waiting) consider(entry);
  for (const CandidateMachine& candidate : candidates_) {
    if (!candidate.machine) continue;
    Resources held = candidate.room.held();
    if (!candidate.kept_for.empty()) held += candidate.kept;
    if (held.cpus > 0 || held.gpus > 0 || held.memory_gb > 0)
      plan_.held[candidate.machine->id] = held;
  }
  return std::move(plan_);
}

uint32_t SchedulingCycle::below_limit(const Job& job) const {
  const auto team = static_cast<size_t>(job.team());
  return tasks_below_limit(cluster_.teams()[team], usage_[team], job.spec().need);
}

bool SchedulingCycle::usable(const Machine& machine) const {
  if (!machine.has_heartbeat || machine.lost || machine.draining || machine.terminating ||
      machine.listed_failed || machine.interruption_at) {
    return false;
  }
  // Only a heartbeat with our fencing token proves that the machine is alive under us: one without
  // may be a late copy, of a machine that was deleted long ago even. And only a machine that hears
  // our answers can be given anything.
  if (!machine.fenced || machine.unreachable) return false;
  return heartbeat_is_recent(machine);
}

bool SchedulingCycle::heartbeat_is_recent(const Machine& machine) const {
  return now_ - machine.last_heartbeat < to_nanos(platform_.heartbeat_interval * 2 + Seconds(1));
}

bool SchedulingCycle::expected_up(const Machine& machine) const {
  if (machine.draining || machine.terminating || machine.listed_failed) return false;
  return !machine.has_heartbeat || (!machine.fenced && !machine.lost && !machine.interruption_at &&
                                    heartbeat_is_recent(machine));
}

void SchedulingCycle::collect() {
  for (const auto& [id, machine] : cluster_.machines()) {
    const bool ready = usable(*machine);
    const bool coming = expected_up(*machine);
    if ((!ready && !coming) || machine->size.cpus <= 0) continue;
    CandidateMachine& candidate = add_candidate(machine.get(), *machine, pool_of(*machine), coming);
    candidate.queued_tasks = machine->queued_tasks;
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.queued || allocation.state != TaskState::fetching || allocation.image.empty())
        continue;
      candidate.fetching.push_back(allocation.image);
      candidate.gang_fetches |= allocation.gang;
    }
  }
  for (const auto& [offer, n] : cloud_capacity_.pending) {
    for (uint32_t i = 0; i < n; ++i) add_pending_machine(offer);
  }
}

InstancePool& SchedulingCycle::pool_of(const Offer& offer) {
  auto [it, fresh] = pools_.try_emplace(offer);
  if (fresh) {
    it->second.offer = offer;
    it->second.type = cluster_.type(offer.type);
  }
  return it->second;
}

InstancePool& SchedulingCycle::pool_of(const Machine& machine) {
  const auto is_of = [&](const Offer& offer) {
    return offer.spot == machine.spot && offer.type == machine.type && offer.zone == machine.zone;
  };
  if (!last_pool_ || !is_of(last_pool_->offer))
    last_pool_ = &pool_of({machine.type, machine.zone, machine.spot});
  return *last_pool_;
}

CandidateMachine& SchedulingCycle::add_candidate(const Machine* machine, const Machine& model,
                                                 InstancePool& pool, bool coming) {
  CandidateMachine& candidate =
      candidates_.emplace_back(machine, Room(model, nominations_, model.size), pool, coming);
  pool.machines(coming).push_back(&candidate);
  return candidate;
}

CandidateMachine* SchedulingCycle::add_pending_machine(const Offer& offer) {
  const MachineType* machine_type = cluster_.type(offer.type);
  if (!machine_type) return nullptr;
  auto imagined = std::make_unique<Machine>();
  imagined->size = machine_type->size;
  CandidateMachine& candidate = add_candidate(nullptr, *imagined, pool_of(offer), true);
  imagined_.push_back(std::move(imagined));
  return &candidate;
}

bool SchedulingCycle::would_borrow(const JobSpec& spec, const MachineType* machine_type) {
  return spec.need.gpus <= 0 && machine_type && machine_type->size.gpus > 0;
}

double SchedulingCycle::stranded(const JobSpec& spec, const MachineType& machine_type) const {
  const Resources& beside = cluster_.resources_per_gpu();
  if (beside.cpus <= 0 || beside.memory_gb <= 0) return 0;
  const Resources rest = machine_type.size - spec.need;
  const double usable = std::min(std::floor(rest.cpus / beside.cpus + Resources::kSlack),
                                 std::floor(rest.memory_gb / beside.memory_gb + Resources::kSlack));
  return machine_type.size.gpus - std::clamp(usable, 0.0, machine_type.size.gpus);
}

bool SchedulingCycle::may_borrow(const JobSpec& spec, const MachineType* machine_type,
                                 Borrowing borrowing) const {
  if (borrowing == Borrowing::any || !would_borrow(spec, machine_type)) return true;
  return borrowing == Borrowing::cheap &&
         !(accelerators_wanted_ && stranded(spec, *machine_type) > kMostStranded);
}

double SchedulingCycle::waited(const Job& job) const {
  // A service has been there for long when it loses a replica: that one waits since then.
  if (job.spec().service && now_ > job.waiting_since) {
    return to_seconds(now_ - job.waiting_since).count();
  }
  return std::chrono::duration<double>(wall_ - job.submitted()).count();
}

void SchedulingCycle::note_waiting(const Job& job, WaitCause cause) {
  if (job.live_count() > job.queued_tasks || job.done_count() > 0) return;
  plan_.waiting_jobs.push_back(
      {job.spec().id, job.queued_tasks > 0 ? WaitCause::queued_on_machine : cause});
}

void SchedulingCycle::consider(const Waiting& waiting) {
  const Job& job = *waiting.job;
  if (overdue_placed_.contains(&job)) return;
  plan_.waiting_tasks += job.pending();
  if (!job.spec().gang) {
    consider_array(waiting);
  } else if (!job.any_live()) {
    if (const auto cause = consider_gang(waiting)) note_waiting(job, *cause);
  }
}

cluster::QueuePosition SchedulingCycle::absolute(cluster::QueuePosition position) const {
  position.due += to_seconds(now_.time_since_epoch()).count();
  return position;
}

CandidateMachine* SchedulingCycle::find_candidate(const std::string& machine) {
  const auto it =
      std::find_if(candidates_.begin(), candidates_.end(), [&](const CandidateMachine& candidate) {
        return candidate.machine && candidate.machine->id == machine;
      });
  return it == candidates_.end() ? nullptr : &*it;
}

bool SchedulingCycle::may_use(const Job& job, CandidateMachine& candidate) const {
  if (!candidate.machine) return true;
  if (!job.failing && !job.failed_on.empty() && job.failed_on.contains(candidate.machine->id))
    return false;
  if (!candidate.record_room) {
    const size_t size = cluster_.record_size(*candidate.machine);
    candidate.record_room = size < cluster_.record_limit() ? cluster_.record_limit() - size : 0;
  }
  return record_allows(job, candidate) > 0;
}

bool SchedulingCycle::may_go(const Job& job, CandidateMachine& candidate) const {
  return offer_allowed(job.spec(), candidate.pool->offer) && may_use(job, candidate);
}

uint32_t SchedulingCycle::record_allows(const Job& job, const CandidateMachine& candidate) const {
  if (!candidate.record_room) return std::numeric_limits<uint32_t>::max();
  const Cluster::RecordCost cost = cluster_.record_cost(job);
  const size_t left = *candidate.record_room - std::min(*candidate.record_room, cost.group);
  return static_cast<uint32_t>(left / cost.task);
}

uint32_t SchedulingCycle::count_on(const Job& job, const CandidateMachine& candidate,
                                   uint32_t most) const {
  const JobSpec& spec = job.spec();
  most = std::min(most, record_allows(job, candidate));
  const Resources& free = candidate.room.free();
  Resources rest = free;
  bool limited = false;
  if (!spec.gang && spec.need.gpus <= 0 && free.gpus > 0 && candidate.kept_for != spec.job_class) {
    rest -= cluster_.resources_per_gpu() * free.gpus;
    limited = true;
  }
  const bool kept_for_other = !candidate.kept_for.empty() && candidate.kept_for != spec.job_class &&
                              candidate.kept_for != spec.id;
  if (kept_for_other && spec.priority <= candidate.kept_priority) {
    rest -= candidate.kept;
    limited = true;
  }
  if (limited) {
    const auto limit = [&](double have, double need) {
      if (need <= 0) return;
      const double n = std::floor((have + Resources::kSlack) / need);
      most = n <= 0 ? 0 : std::min(most, static_cast<uint32_t>(n));
    };
    limit(rest.cpus, spec.need.cpus);
    limit(rest.gpus, spec.need.gpus);
    limit(rest.memory_gb, spec.need.memory_gb);
    if (most == 0) return 0;
  }
  return candidate.room.count(spec.need, spec.priority, most);
}

double SchedulingCycle::share_of(const Resources& need, const Resources& size) const {
  double share = 0;
  if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
  if (size.memory_gb > 0) share = std::max(share, need.memory_gb / size.memory_gb);
  if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
  return share;
}

double SchedulingCycle::place_cost(const Job& job, const CandidateMachine& candidate) const {
  const JobSpec& spec = job.spec();
  double cost = 0;
  const MachineType* machine_type = candidate.pool->type;
  const bool cached = candidate.machine && candidate.machine->has_image(spec.image);
  if (!cached && machine_type && machine_type->fetch_gb_per_s > 0) {
    const bool under_way = std::find(candidate.fetching.begin(), candidate.fetching.end(),
                                     spec.image) != candidate.fetching.end();
    double fetch = spec.image_gb / machine_type->fetch_gb_per_s;
    if (!under_way) fetch *= 1 + kBusyFetches * static_cast<double>(candidate.fetching.size());
    cost += fetch;
  }
  if (machine_type) {
    // A machine with accelerators is kept for work that needs them.
    if (would_borrow(spec, machine_type)) cost += 20 + 10 * machine_type->size.gpus;
    if (spec.spot && !candidate.pool->offer.spot) cost += 5;
  }
  // Filling up what is in use lets idle machines go.
  const Resources& free = candidate.room.free();
  if (machine_type && machine_type->size.cpus > 0) cost += 6 * free.cpus / machine_type->size.cpus;
  return cost;
}

std::vector<std::pair<double, CandidateMachine*>> SchedulingCycle::ranked(const Job& job,
                                                                          bool coming,
                                                                          Borrowing borrowing) {
  std::vector<std::pair<double, CandidateMachine*>> out;
  for (auto& [offer, pool] : pools_) {
    if (!offer_allowed(job.spec(), offer)) continue;
    if (!may_borrow(job.spec(), pool.type, borrowing)) continue;
    for (CandidateMachine* candidate : pool.machines(coming)) {
      if (!job.spec().need.fits_in(candidate->room.free()) || !may_use(job, *candidate)) continue;
      out.emplace_back(place_cost(job, *candidate), candidate);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  return out;
}

void SchedulingCycle::put(const Job& job, CandidateMachine& candidate, uint32_t n,
                          std::vector<uint64_t> ends) {
  candidate.room.take(job.spec().need * n);
  usage_[static_cast<size_t>(job.team())] += job.spec().need * n;
  candidate.fetching.push_back(job.spec().image);
  reserve_record_space(job, candidate, n);
  plan_.placements.push_back({job.spec().id, candidate.machine->id, n, std::move(ends)});
}

void SchedulingCycle::reserve_record_space(const Job& job, CandidateMachine& candidate,
                                           uint32_t n) const {
  const Cluster::RecordCost cost = cluster_.record_cost(job);
  const size_t takes = cost.group + cost.task * n;
  if (candidate.record_room) *candidate.record_room -= std::min(*candidate.record_room, takes);
}

}  // namespace dunlinknot::scheduler
