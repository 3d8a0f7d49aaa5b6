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

uint32_t tasks_below_limit(const settings::Team& t, const Resources& used, const Resources& need) {
  double n = std::numeric_limits<uint32_t>::max();
  const auto dim = [&](double most, double in_use, double per_task) {
    if (most <= 0 || per_task <= 0) return;  // 0: no limit
    n = std::min(n, std::floor((most - in_use + Resources::kSlack) / per_task));
  };
  dim(t.cpus_max, used.cpus, need.cpus);
  dim(t.gpus_max, used.gpus, need.gpus);
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
  for (const auto& [id, j] : cluster_.jobs()) {
    if (j->spec().need.gpus <= 0 || j->pending() == 0 || j->team() < 0) continue;
    // What waits for its team's limit rather than for a place wants none; tasks that just ended
    // do not make it want any.
    const auto team = static_cast<size_t>(j->team());
    accelerators_wanted_ |=
        tasks_below_limit(cluster_.teams()[team], usage_[team] * kNearLimit, j->spec().need) > 0;
  }
  for (const auto& [name, e] : cluster_.forecasts()) keep_headroom(name, e);
  const std::vector<Waiting> waiting = queue();
  size_t kept = 0;
  for (const Waiting& w : waiting) {
    if (kept == kMostHeld) break;
    if (w.overdue && w.job->spec().gang && !w.job->any_live()) kept += hold_overdue(w) ? 1 : 0;
  }
  for (const Waiting& w : waiting) consider(w);
  for (const CandidateMachine& s : candidates_) {
    if (!s.machine) continue;
    Resources held = s.room.held();
    if (!s.kept_for.empty()) held += s.kept;
    if (held.cpus > 0 || held.gpus > 0 || held.memory_gb > 0) plan_.held[s.machine->id] = held;
  }
  return std::move(plan_);
}

uint32_t SchedulingCycle::below_limit(const Job& j) const {
  const auto team = static_cast<size_t>(j.team());
  return tasks_below_limit(cluster_.teams()[team], usage_[team], j.spec().need);
}

bool SchedulingCycle::usable(const Machine& h) const {
  if (!h.has_heartbeat || h.lost || h.draining || h.terminating || h.listed_failed ||
      h.interruption_at) {
    return false;
  }
  // Only a heartbeat with our fencing token proves that the machine is alive under us: one without
  // may be a late copy, of a machine that was deleted long ago even. And only a machine that hears
  // our answers can be given anything.
  if (!h.fenced || h.unreachable) return false;
  return heartbeat_is_recent(h);
}

bool SchedulingCycle::heartbeat_is_recent(const Machine& h) const {
  return now_ - h.last_heartbeat < to_nanos(platform_.heartbeat_interval * 2 + Seconds(1));
}

bool SchedulingCycle::expected_up(const Machine& h) const {
  if (h.draining || h.terminating || h.listed_failed) return false;
  return !h.has_heartbeat || (!h.fenced && !h.lost && !h.interruption_at && heartbeat_is_recent(h));
}

void SchedulingCycle::collect() {
  for (const auto& [id, h] : cluster_.machines()) {
    const bool ready = usable(*h);
    const bool coming = expected_up(*h);
    if ((!ready && !coming) || h->size.cpus <= 0) continue;
    CandidateMachine& s = add_candidate(h.get(), *h, pool_of(*h), coming);
    s.queued_tasks = h->queued_tasks;
    for (const Allocation& b : h->allocations) {
      if (b.queued || b.state != TaskState::fetching || b.image.empty()) continue;
      s.fetching.push_back(b.image);
      s.gang_fetches |= b.gang;
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

InstancePool& SchedulingCycle::pool_of(const Machine& h) {
  const auto is_of = [&](const Offer& o) {
    return o.spot == h.spot && o.type == h.type && o.zone == h.zone;
  };
  if (!last_pool_ || !is_of(last_pool_->offer)) last_pool_ = &pool_of({h.type, h.zone, h.spot});
  return *last_pool_;
}

CandidateMachine& SchedulingCycle::add_candidate(const Machine* machine, const Machine& model,
                                                 InstancePool& pool, bool coming) {
  CandidateMachine& s =
      candidates_.emplace_back(machine, Room(model, nominations_, model.size), pool, coming);
  pool.machines(coming).push_back(&s);
  return s;
}

CandidateMachine* SchedulingCycle::add_pending_machine(const Offer& offer) {
  const MachineType* t = cluster_.type(offer.type);
  if (!t) return nullptr;
  auto imagined = std::make_unique<Machine>();
  imagined->size = t->size;
  CandidateMachine& s = add_candidate(nullptr, *imagined, pool_of(offer), true);
  imagined_.push_back(std::move(imagined));
  return &s;
}

bool SchedulingCycle::would_borrow(const JobSpec& spec, const MachineType* t) {
  return spec.need.gpus <= 0 && t && t->size.gpus > 0;
}

double SchedulingCycle::stranded(const JobSpec& spec, const MachineType& t) const {
  const Resources& beside = cluster_.resources_per_gpu();
  if (beside.cpus <= 0 || beside.memory_gb <= 0) return 0;
  const Resources rest = t.size - spec.need;
  const double usable = std::min(std::floor(rest.cpus / beside.cpus + Resources::kSlack),
                                 std::floor(rest.memory_gb / beside.memory_gb + Resources::kSlack));
  return t.size.gpus - std::clamp(usable, 0.0, t.size.gpus);
}

bool SchedulingCycle::may_borrow(const JobSpec& spec, const MachineType* t,
                                 Borrowing borrowing) const {
  if (borrowing == Borrowing::any || !would_borrow(spec, t)) return true;
  return borrowing == Borrowing::cheap &&
         !(accelerators_wanted_ && stranded(spec, *t) > kMostStranded);
}

double SchedulingCycle::waited(const Job& j) const {
  // A service has been there for long when it loses a replica: that one waits since then.
  if (j.spec().service && now_ > j.waiting_since) {
    return to_seconds(now_ - j.waiting_since).count();
  }
  return std::chrono::duration<double>(wall_ - j.submitted()).count();
}

void SchedulingCycle::note_waiting(const Job& j, WaitCause cause) {
  if (j.live_count() > j.queued_tasks || j.done_count() > 0) return;
  plan_.waiting_jobs.push_back(
      {j.spec().id, j.queued_tasks > 0 ? WaitCause::queued_on_machine : cause});
}

void SchedulingCycle::consider(const Waiting& w) {
  const Job& j = *w.job;
  if (overdue_placed_.contains(&j)) return;
  plan_.waiting_tasks += j.pending();
  if (!j.spec().gang) {
    consider_array(w);
  } else if (!j.any_live()) {
    if (const auto cause = consider_gang(w)) note_waiting(j, *cause);
  }
}

cluster::QueuePosition SchedulingCycle::absolute(cluster::QueuePosition t) const {
  t.due += to_seconds(now_.time_since_epoch()).count();
  return t;
}

CandidateMachine* SchedulingCycle::find_candidate(const std::string& machine) {
  const auto it = std::find_if(
      candidates_.begin(), candidates_.end(),
      [&](const CandidateMachine& s) { return s.machine && s.machine->id == machine; });
  return it == candidates_.end() ? nullptr : &*it;
}

bool SchedulingCycle::may_use(const Job& j, CandidateMachine& s) const {
  if (!s.machine) return true;
  if (!j.failing && !j.failed_on.empty() && j.failed_on.contains(s.machine->id)) return false;
  if (!s.record_room) {
    const size_t size = cluster_.record_size(*s.machine);
    s.record_room = size < cluster_.record_limit() ? cluster_.record_limit() - size : 0;
  }
  return record_allows(j, s) > 0;
}

bool SchedulingCycle::may_go(const Job& j, CandidateMachine& s) const {
  return offer_allowed(j.spec(), s.pool->offer) && may_use(j, s);
}

uint32_t SchedulingCycle::record_allows(const Job& j, const CandidateMachine& s) const {
  if (!s.record_room) return std::numeric_limits<uint32_t>::max();
  const Cluster::RecordCost cost = cluster_.record_cost(j);
  const size_t left = *s.record_room - std::min(*s.record_room, cost.group);
  return static_cast<uint32_t>(left / cost.task);
}

uint32_t SchedulingCycle::count_on(const Job& j, const CandidateMachine& s, uint32_t most) const {
  const JobSpec& spec = j.spec();
  most = std::min(most, record_allows(j, s));
  const Resources& free = s.room.free();
  Resources rest = free;
  bool limited = false;
  if (!spec.gang && spec.need.gpus <= 0 && free.gpus > 0 && s.kept_for != spec.job_class) {
    rest -= cluster_.resources_per_gpu() * free.gpus;
    limited = true;
  }
  const bool kept_for_other =
      !s.kept_for.empty() && s.kept_for != spec.job_class && s.kept_for != spec.id;
  if (kept_for_other && spec.priority <= s.kept_priority) {
    rest -= s.kept;
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
  return s.room.count(spec.need, spec.priority, most);
}

double SchedulingCycle::share_of(const Resources& need, const Resources& size) const {
  double share = 0;
  if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
  if (size.memory_gb > 0) share = std::max(share, need.memory_gb / size.memory_gb);
  if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
  return share;
}

double SchedulingCycle::place_cost(const Job& j, const CandidateMachine& s) const {
  const JobSpec& spec = j.spec();
  double cost = 0;
  const MachineType* t = s.pool->type;
  const bool cached = s.machine && s.machine->has_image(spec.image);
  if (!cached && t && t->fetch_gb_per_s > 0) {
    const bool under_way =
        std::find(s.fetching.begin(), s.fetching.end(), spec.image) != s.fetching.end();
    double fetch = spec.image_gb / t->fetch_gb_per_s;
    if (!under_way) fetch *= 1 + kBusyFetches * static_cast<double>(s.fetching.size());
    cost += fetch;
  }
  if (t) {
    // A machine with accelerators is kept for work that needs them.
    if (would_borrow(spec, t)) cost += 20 + 10 * t->size.gpus;
    if (spec.spot && !s.pool->offer.spot) cost += 5;
  }
  // Filling up what is in use lets idle machines go.
  const Resources& free = s.room.free();
  if (t && t->size.cpus > 0) cost += 6 * free.cpus / t->size.cpus;
  return cost;
}

std::vector<std::pair<double, CandidateMachine*>> SchedulingCycle::ranked(const Job& j, bool coming,
                                                                          Borrowing borrowing) {
  std::vector<std::pair<double, CandidateMachine*>> out;
  for (auto& [offer, pool] : pools_) {
    if (!offer_allowed(j.spec(), offer)) continue;
    if (!may_borrow(j.spec(), pool.type, borrowing)) continue;
    for (CandidateMachine* s : pool.machines(coming)) {
      if (!j.spec().need.fits_in(s->room.free()) || !may_use(j, *s)) continue;
      out.emplace_back(place_cost(j, *s), s);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  return out;
}

void SchedulingCycle::put(const Job& j, CandidateMachine& s, uint32_t n,
                          std::vector<uint64_t> ends) {
  s.room.take(j.spec().need * n);
  usage_[static_cast<size_t>(j.team())] += j.spec().need * n;
  s.fetching.push_back(j.spec().image);
  reserve_record_space(j, s, n);
  plan_.placements.push_back({j.spec().id, s.machine->id, n, std::move(ends)});
}

void SchedulingCycle::reserve_record_space(const Job& j, CandidateMachine& s, uint32_t n) const {
  const Cluster::RecordCost cost = cluster_.record_cost(j);
  const size_t takes = cost.group + cost.task * n;
  if (s.record_room) *s.record_room -= std::min(*s.record_room, takes);
}

}  // namespace dunlinknot::scheduler
