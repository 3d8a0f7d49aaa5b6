#include "dunlinknot/scheduler/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace dunlinknot::scheduler {

namespace {

using cluster::Booking;
using cluster::Cluster;
using cluster::Host;
using cluster::Job;
using preemption::Room;

constexpr uint32_t kMaxEvictionsPerRound = 6;
constexpr uint32_t kMostWishes = 50;  // machines for one job in one round
constexpr Seconds kNoDeadline{600};
constexpr Seconds kMostWait{120};     // for the first task of a job
constexpr Seconds kMostLate{240};     // beyond its due time
constexpr double kAheadWrites = 0.5;  // of the state service's writes, for bookings ahead
constexpr double kMostAhead = 20;     // seconds of work booked ahead on a machine
constexpr uint32_t kAheadTurns = 4;   // at most so many times what fits there
constexpr Millis kHeadroomMemory = std::chrono::seconds(200);
constexpr Millis kRecentArrivals = std::chrono::seconds(60);
constexpr Seconds kRoomTakes{75};  // a boot and a fetch, or work there coming to its end
constexpr size_t kMostHeld = 3;    // overdue gangs that room is kept for at a time
constexpr double kMostStranded = 1;
constexpr double kPatience = 0.25;       // of the time for its start a gang waits for cheaper room
constexpr uint32_t kFirstShare = 16;     // an overdue job begins with one in so many of its tasks
constexpr double kMeanShare = 0.6;       // of the mean, on machines with accelerators
constexpr double kHeadroomSpread = 1.0;  // beyond the mean, in standard deviations
constexpr double kNearLimit = 1.05;      // a team's use from which it counts as being at its limit
constexpr double kBusyFetches = 0.5;     // a second fetch shares the rate with the first

bool type_allowed(const JobSpec& s, std::string_view type) {
  return s.types.empty() || std::find(s.types.begin(), s.types.end(), type) != s.types.end();
}

bool place_allowed(const JobSpec& s, const Offer& o) {
  return type_allowed(s, o.type) && (!s.zone || *s.zone == o.zone) && (!o.spot || s.spot);
}

// The room that a team has left below its limit, in tasks of this size.
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

struct Slot;

// Machines of one kind in one place. What a job allows is decided once for a kind, not for each of
// its machines.
struct Kind {
  Offer offer;
  const MachineType* type = nullptr;
  std::vector<Slot*> ready;
  std::vector<Slot*> coming;  // not up yet, or only asked for
  std::vector<Slot*>& slots(bool not_yet) { return not_yet ? coming : ready; }
};

// Machines as the round sees them: those there, those coming, those asked for.
struct Slot {
  Slot(const Host* h, Room r, const Kind& k, bool is_coming)
      : host(h), room(std::move(r)), kind(&k), coming(is_coming) {}
  const Host* host = nullptr;  // null: asked for
  Room room;
  const Kind* kind;
  bool coming = false;
  std::vector<std::string_view> fetching;  // images that tasks there are waiting for
  bool gang_fetches = false;               // a whole gang waits for the slowest of its fetches
  Resources kept;                          // headroom for a class that is expected to start at once
  std::string_view kept_for;
  std::optional<size_t> record_room;  // bytes left in its record
  uint32_t ahead = 0;                 // tasks that wait there, this round's included
  const std::string& zone() const { return kind->offer.zone; }
};

class Round {
 public:
  Round(const Cluster& cluster, const preemption::Nominations& nominations, const Market& market,
        const settings::Platform& platform, const settings::Operator& op, WallTime wall,
        Instant now)
      : cluster_(cluster),
        nominations_(nominations),
        market_(market),
        platform_(platform),
        op_(op),
        wall_(wall),
        now_(now),
        guaranteed_(within_guarantee(cluster)) {}
  Round(const Round&) = delete;
  Round& operator=(const Round&) = delete;

  Plan run() {
    collect();
    for (size_t t = 0; t < cluster_.teams().size(); ++t) {
      usage_.push_back(cluster_.usage(static_cast<int>(t)).used);
    }
    given_up_.resize(usage_.size());
    plan_.saved.resize(usage_.size());
    // So much work ahead that the state service's writes suffice for the bookings. Where they
    // suffice for one task at a time, every freed place goes to whatever is due first.
    ahead_span_ = static_cast<double>(slots_.size()) / (platform_.state_write_rps * kAheadWrites);
    ahead_span_ = ahead_span_ < platform_.report.count() ? 0 : std::min(ahead_span_, kMostAhead);
    for (const auto& [id, j] : cluster_.jobs()) {
      if (j->spec().need.gpus <= 0 || j->pending() == 0 || j->team() < 0) continue;
      // What waits for its team's limit rather than for a place wants none; tasks that just ended
      // do not make it want any.
      const auto team = static_cast<size_t>(j->team());
      accelerators_wanted_ |=
          tasks_below_limit(cluster_.teams()[team], usage_[team] * kNearLimit, j->spec().need) > 0;
    }
    for (const auto& [name, e] : cluster_.expected()) keep_headroom(name, e);
    const std::vector<Waiting> waiting = queue();
    size_t kept = 0;
    for (const Waiting& w : waiting) {
      if (kept == kMostHeld) break;
      if (w.overdue && w.job->spec().gang && !w.job->any_live()) kept += hold_overdue(w) ? 1 : 0;
    }
    for (const Waiting& w : waiting) consider(w);
    for (const Slot& s : slots_) {
      if (!s.host) continue;
      Resources held = s.room.held();
      if (!s.kept_for.empty()) held += s.kept;
      if (held.cpus > 0 || held.gpus > 0 || held.memory_gb > 0) plan_.held[s.host->id] = held;
    }
    return std::move(plan_);
  }

 private:
  struct Waiting {
    const Job* job = nullptr;
    bool guaranteed = false;
    double due = 0;  // seconds from now
    bool late = false;
    bool overdue = false;  // waits for longer than any order may ask of it
    int tier() const {
      return (overdue ? 100 : 0) + static_cast<int>(job->spec().priority) * 4 +
             (guaranteed ? 2 : 0) + (late ? 0 : 1);
    }
    cluster::Turn turn() const { return {tier(), due}; }
  };

  // How many of the job's tasks its team's limit still allows.
  uint32_t below_limit(const Job& j) const {
    const auto team = static_cast<size_t>(j.team());
    return tasks_below_limit(cluster_.teams()[team], usage_[team], j.spec().need);
  }

  // --- preparation
  bool usable(const Host& h) const {
    if (!h.heard || h.lost || h.draining || h.deleting || h.listed_failed || h.recall_at) {
      return false;
    }
    // Only a report with our baton proves that the machine is alive under us: one without may be a
    // late copy, of a machine that was deleted long ago even. And only a machine that hears our
    // answers can be given anything.
    if (!h.ours || h.deaf) return false;
    return heard_of_late(h);
  }

  bool heard_of_late(const Host& h) const {
    return now_ - h.last_heard < to_nanos(platform_.report * 2 + Seconds(1));
  }

  // Not up yet, or just up and about to bear our baton: counted on, so that nothing is rented in
  // its place for that moment.
  bool expected_up(const Host& h) const {
    if (h.draining || h.deleting || h.listed_failed) return false;
    return !h.heard || (!h.ours && !h.lost && !h.recall_at && heard_of_late(h));
  }

  void collect() {
    for (const auto& [id, h] : cluster_.hosts()) {
      const bool ready = usable(*h);
      const bool coming = expected_up(*h);
      if ((!ready && !coming) || h->size.cpus <= 0) continue;
      Slot& s = add_slot(h.get(), *h, kind_of(*h), coming);
      s.ahead = h->ahead;
      for (const Booking& b : h->bookings) {
        if (b.ahead || b.state != TaskState::fetching || b.image.empty()) continue;
        s.fetching.push_back(b.image);
        s.gang_fetches |= b.gang;
      }
    }
    for (const auto& [offer, n] : market_.pending) {
      for (uint32_t i = 0; i < n; ++i) add_expected(offer);
    }
  }

  Kind& kind_of(const Offer& offer) {
    auto [it, fresh] = kinds_.try_emplace(offer);
    if (fresh) {
      it->second.offer = offer;
      it->second.type = cluster_.type(offer.type);
    }
    return it->second;
  }

  // Machines of one kind mostly stand side by side, since they were rented together: the kind of
  // the one before is tried first.
  Kind& kind_of(const Host& h) {
    const auto is_of = [&](const Offer& o) {
      return o.spot == h.spot && o.type == h.type && o.zone == h.zone;
    };
    if (!last_kind_ || !is_of(last_kind_->offer)) last_kind_ = &kind_of({h.type, h.zone, h.spot});
    return *last_kind_;
  }

  Slot& add_slot(const Host* host, const Host& as, Kind& kind, bool coming) {
    Slot& s = slots_.emplace_back(host, Room(as, nominations_, as.size), kind, coming);
    kind.slots(coming).push_back(&s);
    return s;
  }

  Slot* add_expected(const Offer& offer) {
    const MachineType* t = cluster_.type(offer.type);
    if (!t) return nullptr;
    auto imagined = std::make_unique<Host>();
    imagined->size = t->size;
    Slot& s = add_slot(nullptr, *imagined, kind_of(offer), true);
    imagined_.push_back(std::move(imagined));
    return &s;
  }

  // How many tasks of a class may come before new room could be made for them.
  struct Headroom {
    uint32_t wanted = 0;  // for what may come
    uint32_t mean = 0;    // for what comes on average
    uint32_t steady = 0;  // the same, by the last minute where that saw less
  };
  Headroom headroom(const cluster::Expected& e) const {
    double tasks = 0;
    double of_late = 0;
    double squares = 0;  // a few large jobs vary more than many small ones
    WallTime first = wall_;
    for (const auto& [at, n] : e.arrivals) {
      if (wall_ - at > kHeadroomMemory) continue;
      tasks += n;
      if (wall_ - at <= kRecentArrivals) of_late += n;
      squares += static_cast<double>(n) * n;
      first = std::min(first, at);
    }
    if (tasks <= 0) return {};
    const double span = std::max(60.0, std::chrono::duration<double>(wall_ - first).count());
    const double coming = tasks / span * kRoomTakes.count();
    // What came all at once some time ago, such as a day's first jobs, is no sign of what comes
    // next.
    of_late *= kRoomTakes.count() / to_seconds(kRecentArrivals).count();
    const double spread = std::sqrt(squares / span * kRoomTakes.count());
    return {static_cast<uint32_t>(std::ceil(coming + spread * kHeadroomSpread)),
            static_cast<uint32_t>(std::ceil(coming * kMeanShare)),
            static_cast<uint32_t>(std::ceil(std::min(coming, of_late) * kMeanShare))};
  }

  // Keeps room for a class with an aim for its start: on the machines chosen for it, other work of
  // no higher priority leaves that room alone, and they are not returned while they are idle.
  void keep_headroom(const std::string& name, const cluster::Expected& e) {
    // A class that has the time to wait for new machines needs no idle ones.
    if (e.within > kRoomTakes) return;
    const Headroom h = headroom(e);
    uint32_t left = h.wanted;
    if (left == 0) return;
    uint32_t kept = 0;
    uint32_t there = 0;  // tasks of its kind on borrowed machines
    const JobSpec& spec = e.sample;
    std::vector<std::pair<double, Slot*>> order;
    for (Slot& s : slots_) {
      const MachineType* t = s.kind->type;
      if (!t || !place_allowed(spec, s.kind->offer) || !spec.need.fits_in(t->size)) continue;
      if (s.host && borrowed(spec, t)) {
        for (const Booking& b : s.host->bookings) there += b.gang && b.need.gpus <= 0 ? 1 : 0;
      }
      // What is free now first; machines with accelerators last; those with its images before
      // others.
      double rank = 0;
      if (s.coming) rank += 30;
      if (!spec.need.fits_in(s.room.free())) rank += 20;
      if (borrowed(spec, t))
        rank += 25 * t->size.gpus;  // each strands what is left of its accelerators
      for (const auto& [image, at] : e.images) {
        if (!(s.host && s.host->has_image(image))) rank += 10;
      }
      order.emplace_back(rank, &s);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [rank, s] : order) {
      if (left == 0) break;
      if (!s->kept_for.empty()) continue;
      // Machines with accelerators are dear to hold free: no more of them than the mean asks for,
      // and where a task would strand several, not for a rush that is over.
      if (const MachineType* t = s->kind->type; borrowed(spec, t)) {
        const uint32_t most = lent(spec, t, Lend::cheap) ? h.mean : h.steady;
        left = std::min(left, most > kept + there ? most - kept - there : 0);
      }
      // What it may hold once shorter work there is done: all but what its own kind holds.
      Resources room = s->kind->type->size;
      if (s->host) {
        for (const Booking& b : s->host->bookings) {
          if (b.gang || b.priority > spec.priority) room -= b.need;
        }
      }
      const uint32_t n = preemption::tasks_in(room, spec.need, left);
      if (n == 0) continue;
      s->kept = spec.need * n;
      s->kept_for = name;
      left -= n;
      kept += n;
      if (s->host) plan_.wanted.push_back(s->host->id);
    }
  }

  struct Due {
    double in = 0;      // seconds from now
    bool late = false;  // no aim of its class can be met any more
  };
  // When the job is due: by the nearest of its class's aims that it can still meet.
  Due due(const Job& j) const {
    const JobSpec& spec = j.spec();
    const double age = std::chrono::duration<double>(wall_ - j.submitted()).count();
    if (!spec.deadline) {
      for (const auto& o : platform_.objectives) {
        if (o.kind == "wait" && o.job_class == spec.job_class)
          return {o.within.count() - age, false};
      }
      return {kNoDeadline.count() - age, false};
    }
    const double run = spec.estimate.count() * (j.done_count() > 0 ? 0.5 : 1.0);
    std::vector<double> times{1.0};
    for (const auto& o : platform_.objectives) {
      if (o.kind == "deadline" && o.job_class == spec.job_class) times.push_back(o.times);
    }
    std::sort(times.begin(), times.end());
    for (const double t : times) {
      const double left = spec.deadline->count() * t - age;
      if (left >= run) return {left, false};
    }
    return {spec.deadline->count() - age, true};
  }

  // An aim for the last of a class leaves the time to make room: half of it. What is to begin
  // within it must come before all else well before it is over. Shorter aims are the ordinary
  // order's.
  double most_wait(const JobSpec& spec) const {
    double most = kMostWait.count();
    for (const auto& o : platform_.objectives) {
      if (o.kind != "wait" || o.job_class != spec.job_class || o.within <= kRoomTakes) continue;
      most = std::min(most, o.within.count() / 2);
    }
    return most;
  }

  // The bound on waiting, whatever the order says: a job that nothing was started of goes first
  // after a while, and so does one that is late for longer than that.
  bool overdue(const Job& j) const {
    const double age = std::chrono::duration<double>(wall_ - j.submitted()).count();
    if (j.done_count() == 0 && j.live_count() == j.ahead) return age > most_wait(j.spec());
    const double due = j.spec().deadline ? j.spec().deadline->count() : kNoDeadline.count();
    return age > due + kMostLate.count();
  }

  std::vector<Waiting> queue() const {
    std::vector<Waiting> q;
    for (const auto& [id, j] : cluster_.jobs()) {
      if (j->pending() + j->ahead == 0 || now_ < j->not_before || j->team() < 0) continue;
      const Due d = due(*j);
      q.push_back({j.get(), guaranteed_.contains(id), d.in, d.late, overdue(*j)});
    }
    // Priority first, then what a guarantee covers, then what is due first. What is late whatever
    // happens waits behind what can still be in time: else, when more comes than can be done, every
    // job is brought to its end a little too late. But no job waits for ever: what is overdue goes
    // before all else.
    std::sort(q.begin(), q.end(), [](const Waiting& x, const Waiting& y) {
      const cluster::Turn a = x.turn(), b = y.turn();
      if (a.before(b) || b.before(a)) return a.before(b);
      return x.job->spec().id < y.job->spec().id;
    });
    return q;
  }

  static bool borrowed(const JobSpec& spec, const MachineType* t) {
    return spec.need.gpus <= 0 && t && t->size.gpus > 0;
  }

  // How many accelerators of an empty machine a task that needs none would keep from use.
  double stranded(const JobSpec& spec, const MachineType& t) const {
    const Resources& beside = cluster_.beside_gpu();
    if (beside.cpus <= 0 || beside.memory_gb <= 0) return 0;
    const Resources rest = t.size - spec.need;
    const double usable =
        std::min(std::floor(rest.cpus / beside.cpus + Resources::kSlack),
                 std::floor(rest.memory_gb / beside.memory_gb + Resources::kSlack));
    return t.size.gpus - std::clamp(usable, 0.0, t.size.gpus);
  }
  // Machines with accelerators, for work that needs none: not at all; where a task strands few;
  // any.
  enum class Lend { none, cheap, any };
  bool lent(const JobSpec& spec, const MachineType* t, Lend lend) const {
    if (lend == Lend::any || !borrowed(spec, t)) return true;
    return lend == Lend::cheap && !(accelerators_wanted_ && stranded(spec, *t) > kMostStranded);
  }

  double waited(const Job& j) const {
    return std::chrono::duration<double>(wall_ - j.submitted()).count();
  }

  // The shortest time in which the job is expected to start.
  double start_within(const Waiting& w) const {
    double within = kNoDeadline.count() / 10;
    for (const auto& o : platform_.objectives) {
      const bool wait = o.kind == "wait" && o.job_class == w.job->spec().job_class;
      if (wait || (o.kind == "guarantee" && w.guaranteed))
        within = std::min(within, o.within.count());
    }
    return within;
  }

  // Until a machine of a kind that may be used is up, were it rented now.
  double soonest_boot(const JobSpec& spec, Lend lend) const {
    double soonest = std::numeric_limits<double>::max();
    for (const MachineType& t : cluster_.catalog()) {
      if (!type_allowed(spec, t.name) || !spec.need.fits_in(t.size)) continue;
      if (lent(spec, &t, lend)) soonest = std::min(soonest, t.boot.count());
    }
    return soonest;
  }

  // A gang that waits for longer than any order may ask of it has its room, and what its team's
  // limit lacks, kept before anything else is placed: work that is ahead of it in the queue, and
  // single tasks that always are, would else take each place as it comes free.
  bool hold_overdue(const Waiting& w) {
    const Job& j = *w.job;
    if (below_limit(j) >= j.spec().tasks && place_gang(j, false, Lend::any)) {
      overdue_placed_.insert(&j);
      return false;
    }
    return keep_for_gang(j, Lend::any);
  }

  // The cause for which the job did not begin in this round, if it has not begun.
  void note_waiting(const Job& j, WaitCause cause) {
    if (j.live_count() > j.ahead || j.done_count() > 0) return;
    plan_.waiting_jobs.push_back({j.spec().id, j.ahead > 0 ? WaitCause::booked_ahead : cause});
  }

  // --- one job
  void consider(const Waiting& w) {
    const Job& j = *w.job;
    if (overdue_placed_.contains(&j)) return;
    plan_.waiting_tasks += j.pending();
    if (!j.spec().gang) {
      consider_array(w);
    } else if (!j.any_live()) {
      if (const auto cause = consider_gang(w)) note_waiting(j, *cause);
    }
  }

  // Returns what the gang waits for, or nothing when it was placed.
  std::optional<WaitCause> consider_gang(const Waiting& w) {
    const Job& j = *w.job;
    const auto team = static_cast<size_t>(j.team());
    if (below_limit(j) < j.spec().tasks) {
      // Its team's limit is used up by work behind it in the queue: what that leaves is saved up
      // for the gang, else smaller tasks take it piece by piece and the gang never starts.
      usage_[team] += j.spec().need * j.spec().tasks;
      plan_.saved[team] += j.spec().need * j.spec().tasks;
      return WaitCause::team_limit;
    }
    // Machines with accelerators are borrowed last: a gang's task there strands accelerators for
    // as long as it runs. While other work waits for them, it first waits a moment for the room
    // that short work leaves elsewhere, and for dear ones until no other room can be had.
    // It waits for a machine to come up only where that is in time for its start, or too late in
    // any case.
    const double within = start_within(w);
    const double left = within - waited(j);
    for (const Lend lend : {Lend::none, Lend::cheap, Lend::any}) {
      if (place_gang(j, false, lend)) return std::nullopt;
      const bool last = lend == Lend::any;
      const double boot = last || left <= 0 ? 0 : soonest_boot(j.spec(), lend);
      if (boot < std::max(left, 0.1) && (place_gang(j, true, lend) || rent_gang(w, lend))) {
        return WaitCause::machine_coming;
      }
      const bool waits =
          lend != Lend::none || (accelerators_wanted_ && waited(j) < within * kPatience);
      const double most = last ? std::numeric_limits<double>::max() : std::max(left, 0.0);
      // What it waits for longer is no machine where its tasks strand several accelerators.
      if (waits && keep_for_gang(j, last ? Lend::cheap : lend, most)) return WaitCause::room_kept;
    }
    return WaitCause::no_room;
  }

  void consider_array(const Waiting& w) {
    const Job& j = *w.job;
    const uint32_t allowed = below_limit(j);
    uint32_t want = std::min(j.pending(), allowed);
    // What went first because nothing of it was started begins; the rest has its ordinary turn.
    if (w.overdue && j.done_count() == 0) want = std::min(want, j.spec().tasks / kFirstShare + 1);
    std::vector<uint64_t> own = nominations_.of(j.spec().id);
    uint32_t placed = 0;
    WaitCause cause = WaitCause::team_limit;
    if (want > 0) {
      placed = place_nominated(j, want, own);
      placed += place_array(w, want - placed, own);
      // What has a nomination waits for its room; the rest may use machines that are coming, then
      // rent.
      want -= placed;
      const uint32_t wanted = want > own.size() ? want - static_cast<uint32_t>(own.size()) : 0;
      uint32_t open = wanted;
      if (open > 0) open -= place_coming(w, open);
      if (open > 0) open -= rent_array(w, open);
      cause = open < wanted ? WaitCause::machine_coming : WaitCause::no_room;
      if (!own.empty()) cause = WaitCause::eviction;
      preempt(w, own, open);
    }
    if (placed == 0) note_waiting(j, cause);
    if (placed == j.pending() && placed < allowed) {
      // Room for what waits elsewhere: it need not wait, if that is sooner.
      (void)place_array(w, std::min(j.ahead, allowed - placed), own, ahead_span_);
    } else if (own.empty()) {
      place_ahead(w, j.pending() - placed);
    }
  }

  // Seconds of work booked ahead on a full machine: enough that the budget for writing bookings
  // down is spent on many at a time, and that a task that ends is followed at once.
  void place_ahead(const Waiting& w, uint32_t n) {
    const JobSpec& spec = w.job->spec();
    if (n == 0 || ahead_span_ <= 0 || w.job->failing || spec.service || spec.one_zone ||
        spec.spread)
      return;
    const cluster::Turn mine = absolute(w.turn());
    const double run = std::max(1.0, spec.estimate.count());
    const Resources& used = usage_[static_cast<size_t>(w.job->team())];
    if (below_limit(*w.job) == 0) {
      // At its limit only what ends of its own makes room.
      const double running = std::max(spec.need.cpus > 0 ? used.cpus / spec.need.cpus : 0,
                                      spec.need.gpus > 0 ? used.gpus / spec.need.gpus : 0);
      const auto most = static_cast<uint32_t>(std::ceil(running * ahead_span_ / run));
      uint32_t& already = limited_ahead_[w.job->team()];
      already += w.job->ahead;
      n = std::min(n, most > already ? most - already : 0);
      already += n;
    }
    for (auto& [offer, kind] : kinds_) {
      if (n == 0) return;
      if (!kind.type || !place_allowed(spec, offer)) continue;
      const uint32_t slots = preemption::tasks_in(kind.type->size, spec.need, 10'000);
      if (slots == 0) continue;
      const auto cap = std::clamp(static_cast<uint32_t>(std::ceil(slots * ahead_span_ / run)), 1u,
                                  slots * kAheadTurns);
      for (Slot* s : kind.ready) {
        if (n == 0) return;
        if (!s->kept_for.empty() || s->ahead >= cap * 2 || !s->host->has_image(spec.image))
          continue;
        uint32_t before = s->ahead - s->host->ahead;
        if (s->host->ahead > 0) {
          for (const Booking& b : s->host->bookings) {
            if (b.ahead && !mine.before(b.turn)) ++before;
          }
        }
        // Filled up when half is gone, not one by one.
        if (before * 2 > cap || !may_use(*w.job, *s)) continue;
        const uint32_t k = std::min(n, cap - before);
        s->ahead += k;
        n -= k;
        take_record(*s, k);
        plan_.ahead.push_back({spec.id, s->host->id, k, mine});
      }
    }
  }

  cluster::Turn absolute(cluster::Turn t) const {
    t.due += to_seconds(now_.time_since_epoch()).count();
    return t;
  }

  // The preemptor tries its held room before anything else. Used nominations are taken out of
  // `own`.
  uint32_t place_nominated(const Job& j, uint32_t want, std::vector<uint64_t>& own) {
    uint32_t placed = 0;
    for (size_t i = 0; i < own.size() && placed < want;) {
      const auto& n = nominations_.all().at(own[i]);
      Slot* s = slot_of(n.host);
      if (!s || s->coming || !may_go(j, *s) ||
          !s->room.fits(j.spec().need, j.spec().priority, n.id)) {
        ++i;
        continue;
      }
      s->room.end_hold(n.id);
      put(j, *s, 1, {n.id});
      ++placed;
      own.erase(own.begin() + static_cast<ptrdiff_t>(i));
    }
    return placed;
  }

  // Only nominations are looked up, and they are few: no index over all machines is kept for them.
  Slot* slot_of(const std::string& host) {
    const auto it = std::find_if(slots_.begin(), slots_.end(),
                                 [&](const Slot& s) { return s.host && s.host->id == host; });
    return it == slots_.end() ? nullptr : &*it;
  }

  // On a machine of a kind that the job allows: not where it failed, and its record has room.
  bool may_use(const Job& j, Slot& s) const {
    if (!s.host) return true;
    if (!j.failing && !j.failed_on.empty() && j.failed_on.contains(s.host->id)) return false;
    if (!s.record_room) {
      const size_t size = cluster_.record_size(*s.host);
      s.record_room = size < cluster_.record_limit() ? cluster_.record_limit() - size : 0;
    }
    return *s.record_room >= Cluster::kRecordPerJob + Cluster::kRecordPerTask;
  }

  bool may_go(const Job& j, Slot& s) const {
    return place_allowed(j.spec(), s.kind->offer) && may_use(j, s);
  }

  // How many tasks of the job fit there, up to `most`. Single tasks without accelerators leave to
  // each free accelerator what its next task will need besides; else machines rented for their
  // accelerators fill up with work that could run anywhere, and is evicted for a guarantee soon
  // after.
  uint32_t count_on(const JobSpec& spec, const Slot& s, uint32_t most) const {
    const Resources& free = s.room.free();
    Resources rest = free;
    bool limited = false;
    if (!spec.gang && spec.need.gpus <= 0 && free.gpus > 0 && s.kept_for != spec.job_class) {
      rest -= cluster_.beside_gpu() * free.gpus;
      limited = true;
    }
    if (!s.kept_for.empty() && s.kept_for != spec.job_class && s.kept_for != spec.id) {
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

  // How many tasks of the job are in each zone, counting every booking (safety 4).
  std::map<std::string, uint32_t> zones_in_use(const Job& j) const {
    std::map<std::string, uint32_t> zones;
    for (const Host* h : cluster_.holders(j.spec().id)) {
      for (const Booking& b : h->bookings) {
        if (b.task.job == j.spec().id) ++zones[h->zone];
      }
    }
    return zones;
  }

  // The rent per hour of what the task takes of the machine, as the machine's dearest part.
  double share_of(const Resources& need, const Resources& size) const {
    double share = 0;
    if (size.cpus > 0) share = std::max(share, need.cpus / size.cpus);
    if (size.memory_gb > 0) share = std::max(share, need.memory_gb / size.memory_gb);
    if (size.gpus > 0) share = std::max(share, need.gpus / size.gpus);
    return share;
  }

  // Lower is better: the seconds until the task would run there, and what it would block.
  double place_cost(const Job& j, const Slot& s) const {
    const JobSpec& spec = j.spec();
    double cost = 0;
    const MachineType* t = s.kind->type;
    const bool cached = s.host && s.host->has_image(spec.image);
    if (!cached && t && t->fetch_gb_per_s > 0) {
      const bool under_way =
          std::find(s.fetching.begin(), s.fetching.end(), spec.image) != s.fetching.end();
      double fetch = spec.image_gb / t->fetch_gb_per_s;
      if (!under_way) fetch *= 1 + kBusyFetches * static_cast<double>(s.fetching.size());
      cost += fetch;
    }
    if (t) {
      // A machine with accelerators is kept for work that needs them.
      if (borrowed(spec, t)) cost += 20 + 10 * t->size.gpus;
      if (spec.spot && !s.kind->offer.spot) cost += 5;
    }
    // Filling up what is in use lets idle machines go.
    const Resources& free = s.room.free();
    if (t && t->size.cpus > 0) cost += 6 * free.cpus / t->size.cpus;
    return cost;
  }

  std::vector<std::pair<double, Slot*>> ranked(const Job& j, bool coming, Lend lend = Lend::any) {
    std::vector<std::pair<double, Slot*>> out;
    for (auto& [offer, kind] : kinds_) {
      if (!place_allowed(j.spec(), offer)) continue;
      if (!lent(j.spec(), kind.type, lend)) continue;
      for (Slot* s : kind.slots(coming)) {
        if (!j.spec().need.fits_in(s->room.free()) || !may_use(j, *s)) continue;
        out.emplace_back(place_cost(j, *s), s);
      }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    return out;
  }

  // On machines that are there, where it costs no more than `most`.
  uint32_t place_array(const Waiting& w, uint32_t want, std::vector<uint64_t>& own,
                       double most = std::numeric_limits<double>::max()) {
    const Job& j = *w.job;
    const JobSpec& spec = j.spec();
    if (want == 0) return 0;
    uint32_t placed = 0;
    std::map<std::string, uint32_t> zones;
    const bool zoned = spec.one_zone || spec.spread;
    if (zoned) zones = zones_in_use(j);
    for (const auto& [cost, s] : ranked(j, false)) {
      if (placed == want || cost > most) break;
      // A second image would halve the rate at which the gang's comes.
      if (s->gang_fetches && !s->host->has_image(spec.image)) continue;
      uint32_t n = count_on(spec, *s, want - placed);
      if (n == 0) continue;
      if (zoned) n = std::min(n, zone_allows(spec, zones, s->zone()));
      if (n == 0) continue;
      if (zoned) zones[s->zone()] += n;
      put(j, *s, n, {});
      placed += n;
    }
    // Tasks that found a place elsewhere need their nominations no more.
    while (!own.empty() && own.size() > want - placed) {
      plan_.cleared.push_back(own.back());
      if (Slot* s = slot_of(nominations_.all().at(own.back()).host)) s->room.end_hold(own.back());
      own.pop_back();
    }
    return placed;
  }

  // How often a place on such a machine can be used before the job is due.
  double turns(const Waiting& w, const MachineType& t, double up_in) const {
    const JobSpec& spec = w.job->spec();
    const double fetch = t.fetch_gb_per_s > 0 ? spec.image_gb / t.fetch_gb_per_s : 0;
    const double run = std::max(1.0, spec.estimate.count());
    const double span = std::max(run, w.due - up_in - fetch);
    return std::max(1.0, std::floor(span / run));
  }

  // Machines that are not up yet: kept in mind for this round, so that not every round rents anew
  // for the same work. A place there serves as many tasks as it has time for.
  uint32_t place_coming(const Waiting& w, uint32_t want) {
    const JobSpec& spec = w.job->spec();
    uint32_t provided = 0;
    for (const auto& [cost, s] : ranked(*w.job, true)) {
      if (provided == want) break;
      const MachineType& t = *s->kind->type;
      double up_in = t.boot.count();
      if (s->host) up_in -= std::min(up_in, to_seconds(now_ - s->host->known_since).count());
      const double times = turns(w, t, up_in);
      const auto places = static_cast<uint32_t>(std::ceil((want - provided) / times));
      const uint32_t n = count_on(spec, *s, places);
      if (n == 0) continue;
      s->room.take(spec.need * n);
      provided = std::min(want, provided + static_cast<uint32_t>(n * times));
    }
    return provided;
  }

  static uint32_t zone_allows(const JobSpec& spec, const std::map<std::string, uint32_t>& zones,
                              const std::string& zone) {
    uint32_t n = std::numeric_limits<uint32_t>::max();
    if (spec.one_zone) {
      for (const auto& [z, used] : zones) {
        if (used > 0 && z != zone) return 0;
      }
    }
    if (spec.spread) {
      const uint32_t most = (spec.tasks + 1) / 2;
      const auto it = zones.find(zone);
      const uint32_t used = it == zones.end() ? 0 : it->second;
      n = std::min(n, used >= most ? 0 : most - used);
    }
    return n;
  }

  void put(const Job& j, Slot& s, uint32_t n, std::vector<uint64_t> ends) {
    s.room.take(j.spec().need * n);
    usage_[static_cast<size_t>(j.team())] += j.spec().need * n;
    s.fetching.push_back(j.spec().image);
    take_record(s, n);
    plan_.placements.push_back({j.spec().id, s.host->id, n, std::move(ends)});
  }

  static void take_record(Slot& s, uint32_t n) {
    const size_t takes = Cluster::kRecordPerJob + Cluster::kRecordPerTask * n;
    if (s.record_room) *s.record_room -= std::min(*s.record_room, takes);
  }

  // All tasks or none. With `coming`, machines that are not up yet count too, and nothing is
  // placed.
  bool place_gang(const Job& j, bool coming, Lend lend) {
    const JobSpec& spec = j.spec();
    std::vector<std::pair<double, Slot*>> order = ranked(j, false, lend);
    if (coming) {
      auto later = ranked(j, true, lend);
      order.insert(order.end(), later.begin(), later.end());
    }
    std::vector<std::string> zones;
    if (spec.one_zone) {
      for (const auto& [c, s] : order) {
        if (std::find(zones.begin(), zones.end(), s->zone()) == zones.end()) {
          zones.push_back(s->zone());
        }
      }
    } else {
      zones.emplace_back();  // any
    }
    struct Choice {
      double cost = 0;
      std::vector<std::pair<Slot*, uint32_t>> on;
    };
    std::optional<Choice> best;
    for (const auto& zone : zones) {
      Choice c;
      uint32_t left = spec.tasks;
      std::map<std::string, uint32_t> used;
      for (const auto& [cost, s] : order) {
        if (left == 0) break;
        if (!zone.empty() && s->zone() != zone) continue;
        uint32_t n = count_on(spec, *s, left);
        if (spec.spread) n = std::min(n, zone_allows(spec, used, s->zone()));
        if (n == 0) continue;
        if (spec.spread) used[s->zone()] += n;
        c.on.emplace_back(s, n);
        c.cost = std::max(c.cost, cost);  // the slowest sets the gang's start
        left -= n;
      }
      if (left == 0 && (!best || c.cost < best->cost)) best = std::move(c);
    }
    if (!best) return false;
    GangPlacement g{spec.id, {}};
    for (auto& [s, n] : best->on) {
      s->room.take(spec.need * n);
      if (s->host && !s->coming) {
        s->fetching.push_back(spec.image);
        s->gang_fetches = true;
        take_record(*s, n);
        g.on.emplace_back(s->host->id, n);
        plan_.wanted.push_back(s->host->id);
      }
    }
    usage_[static_cast<size_t>(j.team())] += spec.need * spec.tasks;
    if (!coming) plan_.gangs.push_back(std::move(g));
    return true;
  }

  // --- renting
  struct Deal {
    Offer offer;
    uint32_t slots = 0;  // tasks of the job per machine
    double price = 0;    // per task and hour
    const MachineType* type = nullptr;
  };

  std::vector<Deal> deals(const JobSpec& spec) const {
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

  bool fleet_full() const { return market_.machines + wished_ >= op_.max_machines; }

  Slot& wish(const Offer& offer, const std::string& job) {
    ++wished_;
    const auto w = std::find_if(plan_.wishes.begin(), plan_.wishes.end(),
                                [&](const Wish& x) { return x.offer == offer; });
    if (w == plan_.wishes.end()) {
      plan_.wishes.push_back({offer, 1, job});
    } else {
      ++w->count;
    }
    return *add_expected(offer);
  }

  // Rents for what is left of an array; returns how many tasks that provides for.
  uint32_t rent_array(const Waiting& w, uint32_t open) {
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
    machines = std::clamp(machines, 1u, kMostWishes);
    uint32_t places = static_cast<uint32_t>(std::ceil(open / times));
    for (uint32_t i = 0; i < machines && !fleet_full(); ++i) {
      Slot& s = wish(d.offer, spec.id);
      const uint32_t n = s.room.count(spec.need, spec.priority, places);
      s.room.take(spec.need * n);
      places -= n;
    }
    return open;
  }

  // Where what is missing costs least; false when there is nothing to rent.
  bool rent_gang(const Waiting& w, Lend lend) {
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
    for (uint32_t i = 0; i < machines && !fleet_full(); ++i) (void)wish(best->offer, spec.id);
    (void)place_gang(*w.job, true, lend);
    return true;
  }

  // Seconds until the task ends, as its owner reckons; what runs over may end at any time.
  double ends_in(const Booking& b) const {
    const double run = std::max(1.0, b.estimate.count());
    if (b.running_since == Instant{}) return run * 1.5;
    const double ran = to_seconds(now_ - b.running_since).count();
    return ran < run ? run - ran : run / 4;
  }

  // No room and nothing to rent: gangs do not evict, so the room that others leave is kept for this
  // one where it will be enough first. Else single tasks take it piece by piece, and the larger the
  // gang the longer it waits.
  // Only if all of it is there within `most` seconds.
  bool keep_for_gang(const Job& j, Lend lend, double most = std::numeric_limits<double>::max()) {
    const JobSpec& spec = j.spec();
    if (kept_gangs_.contains(&j)) return true;
    struct Place {
      double in = 0;  // seconds until this task has room there, by the estimates
      Slot* slot = nullptr;
    };
    std::map<std::string, std::vector<Place>> zones;
    for (auto& [offer, kind] : kinds_) {
      if (!kind.type || !place_allowed(spec, offer) || !lent(spec, kind.type, lend)) continue;
      if (!spec.need.fits_in(kind.type->size)) continue;
      auto& places = zones[spec.one_zone ? offer.zone : std::string()];
      for (Slot* s : kind.ready) {
        if (!s->kept_for.empty() && s->kept_for != spec.job_class) continue;
        if (!may_use(j, *s)) continue;
        std::vector<std::pair<double, const Booking*>> ends;
        for (const Booking& b : s->host->bookings) {
          if (!b.gang && !b.ahead) ends.emplace_back(ends_in(b), &b);
        }
        std::sort(ends.begin(), ends.end());
        Resources room = s->room.free();
        double in = 0;
        uint32_t n = preemption::tasks_in(room, spec.need, spec.tasks);
        places.insert(places.end(), n, Place{in, s});
        for (const auto& [t, b] : ends) {
          room += b->need;
          in = t;
          for (; preemption::tasks_in(room, spec.need, spec.tasks) > n; ++n)
            places.push_back({in, s});
        }
      }
    }
    std::vector<Place>* best = nullptr;
    double soonest = 0;
    for (auto& [zone, places] : zones) {
      if (places.size() < spec.tasks) continue;
      std::stable_sort(places.begin(), places.end(),
                       [](const Place& a, const Place& b) { return a.in < b.in; });
      const double all_in = places[spec.tasks - 1].in;
      if (best && all_in >= soonest) continue;
      best = &places;
      soonest = all_in;
    }
    if (!best || soonest > most) return false;
    for (uint32_t i = 0; i < spec.tasks; ++i) {
      Slot* s = (*best)[i].slot;
      if (s->kept_for != spec.id) s->kept = Resources{};
      s->kept += spec.need;
      s->kept_for = spec.id;
      plan_.wanted.push_back(s->host->id);
    }
    kept_gangs_.insert(&j);
    return true;
  }

  // --- preemption: only when nothing can be rented, one machine, never by or of gangs
  void preempt(const Waiting& w, std::vector<uint64_t>& own, uint32_t open) {
    const Job& j = *w.job;
    if (j.failing) return;  // safety 6
    uint32_t tries = open;
    // A nominated task is eligible again once no victim is booked on its machine.
    std::vector<uint64_t> again;
    for (const uint64_t id : own) {
      if (!nominations_.settling(nominations_.all().at(id).host)) again.push_back(id);
    }
    if (tries == 0 && again.empty()) return;
    if (!deals(j.spec()).empty() && !fleet_full()) return;
    for (const uint64_t id : again) {
      if (!evict_for(w, id)) {
        plan_.cleared.push_back(id);
        if (Slot* s = slot_of(nominations_.all().at(id).host)) s->room.end_hold(id);
      }
    }
    while (tries-- > 0 && plan_.evictions.size() < kMaxEvictionsPerRound) {
      if (!evict_for(w, 0)) break;
    }
  }

  bool evict_for(const Waiting& w, uint64_t renews) {
    if (plan_.evictions.size() >= kMaxEvictionsPerRound) return renews != 0;
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
    std::map<std::string, uint32_t> zones;
    const bool zoned = spec.one_zone || spec.spread;
    if (zoned) zones = zones_in_use(j);
    std::optional<preemption::Candidate> best;
    Slot* best_slot = nullptr;
    // What nobody could be evicted for a moment ago, nobody can be evicted for now: jobs of one
    // shape are alike in this.
    const Shape shape{j.team(),
                      w.guaranteed,
                      spec.spot,
                      spec.priority,
                      spec.need.cpus,
                      spec.need.gpus,
                      spec.need.memory_gb,
                      spec.types,
                      zoned ? spec.id : spec.zone.value_or("")};
    if (renews == 0 && hopeless_.contains(shape)) return false;
    for (Slot& s : slots_) {
      if (s.coming || !spec.need.fits_in(s.host->size)) continue;
      if (evicted_on_.contains(s.host->id) || !may_go(j, s)) continue;
      if (zoned && zone_allows(spec, zones, s.zone()) == 0) continue;
      auto c = preemption::simulate(s.room, nominations_, cluster_, spec.need, renews, who, now_);
      if (!c) continue;
      if (!best || better(*c, s, *best, *best_slot, spec)) {
        best = std::move(c);
        best_slot = &s;
      }
    }
    if (!best) {
      if (renews == 0) hopeless_.insert(shape);
      return false;
    }
    evicted_on_.insert(best_slot->host->id);
    plan_.evictions.push_back({spec.id, best_slot->host->id, spec.need, spec.priority,
                               best->victims, best->lost_seconds, renews});
    if (renews) {
      if (Slot* s = slot_of(nominations_.all().at(renews).host)) s->room.end_hold(renews);
    }
    for (const size_t i : best->victim_indices) {
      const Booking& b = best_slot->host->bookings[i];
      if (!b.stopping()) {
        best_slot->room.add_victims(b.need);
        // Its team's limit still counts the victim until it is gone (safety 4).
        if (b.team >= 0) given_up_[static_cast<size_t>(b.team)] += b.need;
      }
    }
    best_slot->room.add_hold(std::numeric_limits<uint64_t>::max(), spec.need, spec.priority);
    usage_[static_cast<size_t>(j.team())] += spec.need;
    return true;
  }

  // The ranking of machines is ours: the lowest highest victim, the least work lost (with the fetch
  // that the preemptor would wait for), the fewest victims.
  bool better(const preemption::Candidate& a, const Slot& sa, const preemption::Candidate& b,
              const Slot& sb, const JobSpec& spec) const {
    if (a.highest != b.highest) return a.highest < b.highest;
    const auto cost = [&](const preemption::Candidate& c, const Slot& s) {
      const MachineType* t = s.kind->type;
      const double fetch = s.host->has_image(spec.image) || !t || t->fetch_gb_per_s <= 0
                               ? 0
                               : spec.image_gb / t->fetch_gb_per_s;
      return c.lost_seconds + fetch * std::max(spec.need.cpus, spec.need.gpus * 8);
    };
    const double ca = cost(a, sa), cb = cost(b, sb);
    if (ca != cb) return ca < cb;
    return a.victims.size() < b.victims.size();
  }

  const Cluster& cluster_;
  const preemption::Nominations& nominations_;
  const Market& market_;
  const settings::Platform& platform_;
  const settings::Operator& op_;
  WallTime wall_;
  Instant now_;
  std::set<std::string> guaranteed_;
  std::map<Offer, Kind> kinds_;
  std::deque<Slot> slots_;     // they stay where they are
  Kind* last_kind_ = nullptr;  // of the machine looked at last
  std::vector<std::unique_ptr<Host>> imagined_;
  std::vector<Resources> usage_;
  std::vector<Resources> given_up_;  // by team: victims chosen in this round
  std::set<std::string> evicted_on_;
  using Shape = std::tuple<int, bool, bool, Priority, double, double, double,
                           std::vector<std::string>, std::string>;
  std::set<Shape> hopeless_;
  std::set<const Job*> kept_gangs_;      // room is kept for them
  std::set<const Job*> overdue_placed_;  // before the queue's turn
  double ahead_span_ = 0;                // seconds of work that may wait on a machine
  std::map<int, uint32_t> limited_ahead_;
  size_t wished_ = 0;
  bool accelerators_wanted_ = false;  // some task that needs them waits
  Plan plan_;
};

}  // namespace

std::string_view text(WaitCause cause) {
  switch (cause) {
    case WaitCause::team_limit:
      return "its team's limit";
    case WaitCause::booked_ahead:
      return "a task to end on the machine where it is booked";
    case WaitCause::machine_coming:
      return "a machine that is coming";
    case WaitCause::eviction:
      return "tasks that are being stopped for it";
    case WaitCause::room_kept:
      return "tasks to end where room is kept for it";
    case WaitCause::no_room:
      return "room, and none can be rented";
  }
  return "";
}

std::set<std::string> within_guarantee(const Cluster& cluster) {
  std::vector<std::vector<const Job*>> by_team(cluster.teams().size());
  for (const auto& [id, j] : cluster.jobs()) {
    if (j->team() >= 0) by_team[static_cast<size_t>(j->team())].push_back(j.get());
  }
  std::set<std::string> out;
  for (size_t t = 0; t < by_team.size(); ++t) {
    const auto& team = cluster.teams()[t];
    auto& jobs = by_team[t];
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return std::pair(a->submitted(), a->spec().id) < std::pair(b->submitted(), b->spec().id);
    });
    Resources sum;
    for (const Job* j : jobs) {
      const Resources all = j->spec().need * j->unfinished();
      sum += all;
      const auto dim = [](double guarantee, double total, double mine, bool& uses) {
        if (mine <= 0 || guarantee <= 0) return true;
        uses = true;
        return total <= guarantee + Resources::kSlack;
      };
      bool uses = false;
      const bool fits =
          dim(team.cpus, sum.cpus, all.cpus, uses) & dim(team.gpus, sum.gpus, all.gpus, uses);
      if (fits && uses) out.insert(j->spec().id);
    }
  }
  return out;
}

Plan plan(const Cluster& cluster, const preemption::Nominations& nominations, const Market& market,
          const settings::Platform& platform, const settings::Operator& op, WallTime wall,
          Instant now) {
  return Round(cluster, nominations, market, platform, op, wall, now).run();
}

}  // namespace dunlinknot::scheduler
