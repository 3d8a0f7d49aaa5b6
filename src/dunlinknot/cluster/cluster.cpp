#include "dunlinknot/cluster/cluster.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr auto kRememberGone = std::chrono::minutes(5);
constexpr Millis kRecent = std::chrono::minutes(4);
constexpr size_t kMaxFailedOn = 32;
constexpr size_t kMaxCommands = 400;
constexpr Seconds kSaveSlack{4};
constexpr uint32_t kStrikes = 3;
constexpr size_t kFewDeaf = 2;

template <class V, class F>
auto* find_where(V& v, F&& f) {
  const auto it = std::find_if(v.begin(), v.end(), f);
  return it == v.end() ? nullptr : &*it;
}

}  // namespace

bool Host::has_image(std::string_view image) const {
  return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.name == image; });
}

Booking* Host::find(const TaskRef& task, uint64_t attempt) {
  return find_where(bookings,
                    [&](const Booking& b) { return b.attempt == attempt && b.task == task; });
}

Cluster::Cluster(const settings::Platform& platform, const settings::Operator& op)
    : platform_(platform),
      op_(op),
      blind_(leadership::former_leader_window(platform)),
      lease_(leadership::lease_bound(platform)),
      record_limit_(platform.value_bytes - platform.value_bytes / 8),
      usage_(platform.teams.size()) {}

void Cluster::begin_reign(uint64_t epoch, Instant now) {
  epoch_ = epoch;
  attempts_ = 0;
  reign_since_ = now;
  jobs_.clear();
  hosts_.clear();
  holders_.clear();
  expected_.clear();  // the jobs still open are loaded anew
  dirty_hosts_.clear();
  runnable_.clear();
  held_hosts_.clear();
  saved_.clear();
  gone_.clear();
  stop_hosts_.clear();
  dead_records_.clear();
  usage_.assign(platform_.teams.size(), TeamUsage{});
}

// Attempts never repeat: a leader numbers its own below its epoch.
uint64_t Cluster::next_attempt() {
  return epoch_ << 24 | ++attempts_;
}

int Cluster::team_index(std::string_view name) const {
  for (size_t i = 0; i < platform_.teams.size(); ++i) {
    if (platform_.teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void Cluster::load_job(wire::JobRecord record, uint64_t stamp, Instant now) {
  const std::string id = record.spec.id;
  if (jobs_.contains(id)) {
    jobs_[id]->stamp = stamp;
    return;
  }
  const int team = team_index(record.spec.team);
  if (const Resources& need = record.spec.need; need.gpus > 0) {
    // A maximum that fades: large tasks of a while ago should not count for ever.
    const auto seen = [](double& most, double now_seen) {
      most = std::max(now_seen, most * 0.95 + now_seen * 0.05);
    };
    seen(beside_gpu_.cpus, need.cpus / need.gpus);
    seen(beside_gpu_.memory_gb, need.memory_gb / need.gpus);
  }
  // The shortest of the class's aims for its start; each job is counted once, however many there
  // are.
  std::optional<Seconds> within;
  for (const auto& o : platform_.objectives) {
    if (o.kind != "wait" || o.job_class != record.spec.job_class) continue;
    within = within ? std::min(*within, o.within) : o.within;
  }
  if (within) {
    Expected& e = expected_[record.spec.job_class];
    e.sample = record.spec;
    e.within = *within;
    e.images[record.spec.image] = record.submitted;
    e.arrivals.emplace_back(record.submitted, record.spec.tasks);
    const WallTime old = record.submitted - kRecent;
    std::erase_if(e.arrivals, [&](const auto& a) { return a.first < old; });
    std::erase_if(e.images, [&](const auto& i) { return i.second < old; });
  }
  jobs_[id] = std::make_unique<Job>(std::move(record.spec), record.submitted, stamp, team, now);
}

void Cluster::load_done(const std::string& id, uint32_t chunk, wire::View value, uint64_t stamp) {
  Job* j = job(id);
  if (!j) return;
  std::vector<bool> bits(j->spec().tasks);
  if (wire::read_done_chunk(value, chunk, bits)) j->load_chunk(chunk, bits, stamp);
}

// Safety 1: a new leader books everything that any former leader booked. What of it really runs is
// for the workers to say, under our baton.
void Cluster::load_host(const std::string& id, const wire::HostRecord& record, uint64_t stamp,
                        Instant now) {
  Host& h = learn_host(id, record.type, record.zone, record.spot, now);
  h.address = record.address;
  h.stamp = stamp;
  h.stored.clear();
  for (const auto& g : record.groups) {
    const Job* j = job(g.job);
    for (const auto& [index, attempt] : g.tasks) {
      Booking b;
      b.task = TaskRef{g.job, index};
      b.attempt = attempt;
      b.team_name = g.team;
      b.team = team_index(g.team);
      b.need = g.need;
      b.gang = g.gang;
      if (j) b.image = j->spec().image, b.estimate = j->spec().estimate;
      b.priority = j ? j->spec().priority : Priority::low;
      b.phase = Phase::inherited;
      b.placed_at = now;
      h.stored.emplace_back(b.task, attempt);
      add_booking(h, std::move(b));
    }
  }
}

Job* Cluster::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}
const Job* Cluster::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Needs Cluster::close_job(const std::string& id, bool cancelled, Instant now) {
  Needs needs;
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return needs;
  for (const auto& [n, stamp] : it->second->chunk_stamps) {
    dead_records_.emplace_back(wire::done_key(id, n), stamp);
  }
  jobs_.erase(it);
  needs.schedule = true;
  // Safety 3: nothing of a closed job starts, and all of a cancelled one is stopped everywhere.
  // Bookings whose `run` never went out under us are simply undone; the others stay booked until
  // they are gone.
  for (Host* h : std::vector(holders(id))) {
    for (size_t i = h->bookings.size(); i-- > 0;) {
      Booking& b = h->bookings[i];
      if (b.task.job != id) continue;
      if (b.unsent()) {
        needs |= end_booking(*h, i, now);
      } else if (cancelled) {
        stop(*h, b, StopReason::cancelled, Seconds(0), now);
        needs.stops = true;
      }
    }
  }
  return needs;
}

void Cluster::set_catalog(std::vector<MachineType> types) {
  catalog_ = std::move(types);
  for (auto& [id, h] : hosts_) {
    if (const MachineType* t = type(h->type)) {
      h->size = t->size;
      h->cache_gb = t->cache_gb;
      h->fetch_gb_per_s = t->fetch_gb_per_s;
    }
  }
}

const MachineType* Cluster::type(std::string_view name) const {
  return find_where(catalog_, [&](const MachineType& t) { return t.name == name; });
}

Host* Cluster::host(const std::string& id) {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second.get();
}

Host& Cluster::learn_host(const std::string& id, std::string_view type_name, std::string_view zone,
                          bool spot, Instant now) {
  auto& slot = hosts_[id];
  if (slot) return *slot;
  slot = std::make_unique<Host>();
  slot->id = id;
  slot->type = type_name;
  slot->zone = zone;
  slot->spot = spot;
  slot->known_since = now;
  slot->idle_since = now;
  if (const MachineType* t = type(type_name)) {
    slot->size = t->size;
    slot->cache_gb = t->cache_gb;
    slot->fetch_gb_per_s = t->fetch_gb_per_s;
  }
  return *slot;
}

Needs Cluster::remove_host(const std::string& id, Instant now) {
  Needs needs;
  const auto it = hosts_.find(id);
  if (it == hosts_.end()) return needs;
  Host& h = *it->second;
  while (!h.bookings.empty()) needs |= end_booking(h, h.bookings.size() - 1, now);
  if (h.stamp != 0 || !h.stamp_known) dead_records_.emplace_back(wire::host_key(id), h.stamp);
  std::erase(held_hosts_, &h);  // found on reading: it was written to after it was gone
  hosts_.erase(it);
  std::erase_if(gone_, [&](const auto& g) { return now - g.second > kRememberGone; });
  gone_[id] = now;
  needs.schedule = true;
  return needs;
}

void Cluster::add_booking(Host& h, Booking b) {
  if (b.ahead) {
    ++h.ahead;
  } else {
    h.used += b.need;
    if (b.team >= 0) usage_[static_cast<size_t>(b.team)].used += b.need;
  }
  if (Job* j = job(b.task.job); j && b.task.index < j->spec().tasks) {
    j->booked(b.task.index);
    if (b.ahead) ++j->ahead;
    if (b.gang) j->gang_attempt = std::max(j->gang_attempt, b.attempt);
  }
  auto& holders = holders_[b.task.job];
  if (std::find(holders.begin(), holders.end(), &h) == holders.end()) holders.push_back(&h);
  h.bookings.push_back(std::move(b));
}

const std::vector<Host*>& Cluster::holders(const std::string& job) const {
  static const std::vector<Host*> none;
  const auto it = holders_.find(job);
  return it == holders_.end() ? none : it->second;
}

Needs Cluster::end_booking(Host& h, size_t i, Instant now, bool gang_goes_on) {
  Needs needs;
  const Booking b = std::move(h.bookings[i]);
  h.bookings.erase(h.bookings.begin() + static_cast<ptrdiff_t>(i));
  if (b.ahead) {
    --h.ahead;
  } else {
    h.used -= b.need;
    if (b.team >= 0) usage_[static_cast<size_t>(b.team)].used -= b.need;
  }
  if (h.bookings.empty()) {
    h.used = Resources{};
    h.idle_since = now;
  }
  if (!find_where(h.bookings, [&](const Booking& o) { return o.task.job == b.task.job; })) {
    const auto holders = holders_.find(b.task.job);
    std::erase(holders->second, &h);
    if (holders->second.empty()) holders_.erase(holders);
  }
  h.trailing = true;
  needs.schedule = true;
  Job* j = job(b.task.job);
  if (!j || b.task.index >= j->spec().tasks) return needs;
  if (b.ahead) --j->ahead;
  if (b.state == TaskState::running && j->running > 0) --j->running;
  j->unbooked(b.task.index);
  if (!j->is_done(b.task.index)) j->waiting_since = now;
  if (b.gang && !gang_goes_on && !j->is_done(b.task.index)) {
    break_gang(b.task.job, b.attempt, now, needs);
  }
  return needs;
}

// A gang that lost a task will not go on: the rest is stopped at once rather than left to find out,
// so that the next attempt need not wait for it. A gang told to save is left to its saving.
void Cluster::break_gang(const std::string& id, uint64_t attempt, Instant now, Needs& needs) {
  for (Host* h : std::vector(holders(id))) {
    for (size_t i = h->bookings.size(); i-- > 0;) {
      if (i >= h->bookings.size()) continue;
      Booking& b = h->bookings[i];
      if (b.task.job != id || b.attempt != attempt) continue;
      if (b.unsent()) {
        needs |= end_booking(*h, i, now, true);
      } else if (!b.stopping()) {
        stop(*h, b, StopReason::gang_broken, Seconds(0), now);
        needs.stops = true;
      }
    }
  }
}

Booking& Cluster::book(Host& h, Job& j, uint32_t index, uint64_t attempt, Instant now) {
  add_booking(h, booking_of(h, j, index, attempt, now));
  return h.bookings.back();
}

Booking& Cluster::book_ahead(Host& h, Job& j, uint32_t index, uint64_t attempt, Turn turn,
                             Instant now) {
  Booking b = booking_of(h, j, index, attempt, now);
  b.ahead = true;
  b.turn = turn;
  add_booking(h, std::move(b));
  return h.bookings.back();
}

Booking Cluster::booking_of(Host& h, const Job& j, uint32_t index, uint64_t attempt, Instant now) {
  Booking b;
  b.task = TaskRef{j.spec().id, index};
  b.attempt = attempt;
  b.team = j.team();
  b.team_name = j.spec().team;
  b.need = j.spec().need;
  b.image = j.spec().image;
  b.estimate = j.spec().estimate;
  b.gang = j.spec().gang;
  b.priority = j.spec().priority;
  b.placed_at = now;
  note_image(h, j);
  mark_dirty(h, b.gang);
  return b;
}

void Cluster::mark_dirty(Host& h, bool first) {
  h.dirty = true;
  if (h.queued) return;
  h.queued = true;
  first ? dirty_hosts_.push_front(h.id) : dirty_hosts_.push_back(h.id);
}

bool Cluster::take_back_ahead(const std::string& id, Instant now) {
  Host* most = nullptr;
  for (Host* h : holders(id)) {
    const bool any =
        find_where(h->bookings, [&](const Booking& b) { return b.ahead && b.task.job == id; });
    if (any && (!most || h->ahead > most->ahead)) most = h;
  }
  if (!most) return false;
  for (size_t i = most->bookings.size(); i-- > 0;) {
    const Booking& b = most->bookings[i];
    if (!b.ahead || b.task.job != id) continue;
    (void)end_booking(*most, i, now);
    return true;
  }
  return false;
}

void Cluster::set_held(std::map<std::string, Resources> by_host, std::vector<Resources> by_team) {
  for (Host* h : held_hosts_) h->held = Resources{};
  held_hosts_.clear();
  for (const auto& [id, room] : by_host) {
    Host* h = host(id);
    if (!h) continue;
    h->held = room;
    held_hosts_.push_back(h);
  }
  saved_ = std::move(by_team);
}

// The room that a task leaves is taken at once by one that waits for it on the machine: its booking
// stands already, so its `run` goes out with the answer to the very report that told of the room.
void Cluster::promote_ahead(Host& h, Instant now) {
  if (h.ahead == 0) return;
  std::vector<Booking*> waiting;
  for (Booking& b : h.bookings) {
    if (b.ahead && b.phase == Phase::durable) waiting.push_back(&b);
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Booking* a, const Booking* b) { return a->turn.before(b->turn); });
  for (Booking* b : waiting) {
    Job* j = job(b->task.job);
    if (!j || j->is_done(b->task.index) || now < j->not_before) continue;
    // Work without accelerators leaves beside each free one what its next task will need.
    Resources room = h.free() - h.held;
    if (b->need.gpus <= 0 && h.free().gpus > 0) room -= beside_gpu_ * h.free().gpus;
    if (!b->need.fits_in(room)) continue;
    if (b->team >= 0) {
      // Safety 4: its team's limit counts it from here on.
      const auto t = static_cast<size_t>(b->team);
      Resources used = usage_[t].used + b->need;
      if (t < saved_.size()) used += saved_[t];
      const auto over = [](double most, double in_use, double need) {
        return most > 0 && need > 0 && in_use > most + Resources::kSlack;
      };
      const auto& team = platform_.teams[t];
      if (over(team.cpus_max, used.cpus, b->need.cpus)) continue;
      if (over(team.gpus_max, used.gpus, b->need.gpus)) continue;
      usage_[t].used += b->need;
    }
    b->ahead = false;
    --h.ahead;
    --j->ahead;
    h.used += b->need;
  }
}

void Cluster::note_image(Host& h, const Job& j) {
  const std::string& image = j.spec().image;
  std::erase_if(h.images, [&](const auto& i) { return i.name == image; });
  h.images.push_back({image, j.spec().image_gb});
  double total = 0;
  for (const auto& i : h.images) total += i.gb;
  while (h.images.size() > 1 && total > h.cache_gb) {
    total -= h.images.front().gb;
    h.images.erase(h.images.begin());
  }
}

void Cluster::stop(Host& h, Booking& b, StopReason reason, Seconds grace, Instant now) {
  if (b.stopping() && b.grace <= grace) return;  // never milder than it was told before
  b.stop = reason;
  b.grace = grace;
  b.stop_at = now;
  if (std::find(stop_hosts_.begin(), stop_hosts_.end(), h.id) == stop_hosts_.end()) {
    stop_hosts_.push_back(h.id);
  }
}

Needs Cluster::preempt(Host& h, const TaskRef& task, uint64_t attempt, Instant now) {
  Needs needs;
  Booking* b = h.find(task, attempt);
  if (!b || b->stopping()) return needs;
  if (b->unsent()) {
    // No worker will ever report it, so nothing would end it once it counted as being stopped.
    return end_booking(h, static_cast<size_t>(b - h.bookings.data()), now);
  }
  const Job* j = job(task.job);
  const bool saves = j && j->spec().checkpoint > Seconds(0);
  stop(h, *b, StopReason::preempted, saves ? j->spec().save + Seconds(1) : Seconds(0), now);
  needs.stops = true;
  return needs;
}

Needs Cluster::drop_unsent(const std::string& id, Instant now) {
  Needs needs;
  for (Host* h : std::vector(holders(id))) {
    for (size_t i = h->bookings.size(); i-- > 0;) {
      if (i >= h->bookings.size()) continue;
      const Booking& b = h->bookings[i];
      if (b.task.job == id && b.phase == Phase::planned) needs |= end_booking(*h, i, now);
    }
  }
  return needs;
}

std::vector<StopCall> Cluster::take_stop_calls() {
  std::vector<StopCall> calls;
  for (const auto& id : stop_hosts_) {
    Host* h = host(id);
    if (!h || h->address.empty() || !h->heard || h->lost) continue;
    StopCall call{h->id, h->address, h->session, {}};
    for (const Booking& b : h->bookings) {
      if (b.stopping() && !b.unsent()) {
        call.commands.push_back({Command::Op::stop, b.task, b.attempt, b.grace});
      }
    }
    if (!call.commands.empty()) calls.push_back(std::move(call));
  }
  stop_hosts_.clear();
  return calls;
}

bool Cluster::fresh(Host& h, const Beat& b) const {
  if (!h.heard) return true;
  return std::pair(b.session, b.seq) > std::pair(h.session, h.seq);
}

BeatAnswer Cluster::on_beat(const Beat& b, Instant now, bool may_start, Needs& needs) {
  BeatAnswer answer = hear(b, now, may_start, needs);
  if (answer.kind != BeatAnswer::Kind::accept) return answer;
  return orders(b, now, may_start && answer.read);
}

BeatAnswer Cluster::hear(const Beat& b, Instant now, bool may_start, Needs& needs) {
  BeatAnswer answer;
  if (b.token > epoch_) {
    answer.kind = BeatAnswer::Kind::superseded;
    return answer;
  }
  if (gone_.contains(b.machine)) {
    // A report that was under way while its machine was deleted.
    answer.kind = BeatAnswer::Kind::stale;
    return answer;
  }
  Host& h = learn_host(b.machine, b.type, b.zone, b.spot, now);
  if (h.lost && b.session <= h.session) {
    answer.kind = BeatAnswer::Kind::stale;
    return answer;
  }
  const std::pair at(b.session, b.seq);
  if (h.heard && at <= std::pair(h.beat_session, h.beat_seq)) {
    // A copy of a beat that was answered already, or of an older one: nobody waits for the answer.
    // It frees nothing, and it is no sign of life.
    answer.kind = BeatAnswer::Kind::stale;
    return answer;
  }
  std::tie(h.beat_session, h.beat_seq) = at;
  if (!fresh(h, b)) {
    // Older than a report already seen (a direct call's answer may overtake a beat): its worker may
    // still be waiting, so its lease is renewed, but nothing is read from it and nothing started.
    return answer;
  }
  answer.read = true;
  const bool was_ours = h.ours;
  Needs changed;
  take_report(h, b, now, true, changed);
  needs |= changed;
  if (!may_start || h.draining || h.deleting) return answer;
  promote_ahead(h, now);
  const auto planned = [](const Booking& k) { return k.phase == Phase::planned; };
  if (!h.ours || h.deaf || h.recall_at) return answer;
  if (find_where(h.bookings, [&](const Booking& k) { return sendable(k); })) return answer;
  const bool has_room = work_waits_ && (changed.schedule || !was_ours) && h.free().cpus > 0;
  answer.run_soon = has_room || find_where(h.bookings, planned);
  return answer;
}

bool Cluster::sendable(const Booking& k) const {
  if (k.phase != Phase::durable || k.ahead || k.stopping()) return false;
  const Job* j = job(k.task.job);
  return j && (!k.gang || (j->gang_go && j->gang_attempt == k.attempt));  // safety 4
}

BeatAnswer Cluster::orders(const Beat& b, Instant now, bool may_start) {
  BeatAnswer answer;
  Host* known = host(b.machine);
  if (!known || known->lost ||
      std::pair(known->beat_session, known->beat_seq) != std::pair(b.session, b.seq)) {
    // Gone meanwhile, or its worker gave this answer up and reported anew.
    answer.kind = BeatAnswer::Kind::stale;
    return answer;
  }
  Host& h = *known;

  // The response. Stops first: what renews a lease carries every stop that is due (safety 2), and
  // the room they make is there for what starts.
  auto& out = answer.commands;
  for (const auto& t : b.tasks) {
    if (t.state == TaskState::exited) continue;
    const Booking* k = h.find(t.task, t.attempt);
    if (!k || !k->stopping()) continue;
    if (t.state == TaskState::saving && k->grace > Seconds(0)) continue;
    out.push_back({Command::Op::stop, t.task, t.attempt, k->grace});
  }
  for (const auto& t : b.tasks) {
    if (out.size() >= kMaxCommands) break;
    if (t.state != TaskState::exited) continue;
    // Safety 3: a completed task is forgotten only after its `done` is durable.
    const Job* j = job(t.task.job);
    const bool keep = t.cause == ExitCause::done && j && t.task.index < j->spec().tasks &&
                      !j->is_durable(t.task.index);
    if (!keep) out.push_back({Command::Op::forget, t.task, t.attempt, Seconds(0)});
  }
  if (may_start && !h.draining && !h.deleting) {
    for (Booking& k : h.bookings) {
      if (!sendable(k) || out.size() >= kMaxCommands) continue;
      out.push_back({Command::Op::start, k.task, k.attempt, Seconds(0)});
      k.phase = Phase::sent;
      k.sent_session = b.session;
    }
  }
  h.last_answered = now;
  return answer;
}

Needs Cluster::on_direct_report(const Beat& b, Instant now) {
  Needs needs;
  Host* h = host(b.machine);
  if (!h || b.token > epoch_ || !fresh(*h, b) || h->lost) return needs;
  take_report(*h, b, now, false, needs);
  return needs;
}

void Cluster::take_report(Host& h, const Beat& b, Instant now, bool complete, Needs& needs) {
  const bool new_session = h.heard && b.session > h.session;
  // Its lease ran out although we answered it in time: either our answers do not get there, or it
  // was started anew.
  bool missed_us = complete && new_session && h.ours && now - h.last_answered < lease_ / 2;
  bool obeyed = false;
  if (!h.heard) {
    h.idle_since = now;
    needs.schedule = true;
  }
  if (h.lost || new_session) needs.schedule = true;
  h.heard = true;
  h.lost = false;
  h.address = b.address;
  h.session = b.session;
  h.seq = b.seq;
  if (complete) h.last_heard = now;
  if (b.token == epoch_) h.ours = true;
  const std::optional<Instant> recall =
      b.notice ? std::optional(now + to_nanos(*b.notice)) : std::nullopt;
  if (recall.has_value() != h.recall_at.has_value()) needs.schedule = true;
  if (recall && !h.recall_at) {
    spdlog::info("machine {} is recalled in {:.1f} s", h.id, b.notice->count());
  }
  h.recall_at = recall;

  if (new_session) {
    // The worker killed all it had when its lease ran out; a `run` from before is dropped there.
    h.images.clear();
    for (size_t i = h.bookings.size(); i-- > 0;) {
      if (i >= h.bookings.size()) continue;
      const Booking& k = h.bookings[i];
      const bool from_before =
          k.phase == Phase::seen || (k.phase == Phase::sent && k.sent_session < b.session);
      if (from_before) needs |= end_booking(h, i, now);
    }
  }

  for (const auto& t : b.tasks) {
    if (t.state == TaskState::exited) {
      needs |= on_exit(h, t, now);
      continue;
    }
    Job* j = job(t.task.job);
    if (j && t.task.index >= j->spec().tasks) j = nullptr;
    Booking* k = h.find(t.task, t.attempt);
    if (!k) {
      // On the machine without a booking: counted from now on, and stopped unless it is welcome.
      Booking stray;
      stray.task = t.task;
      stray.attempt = t.attempt;
      stray.placed_at = now;
      const bool welcome =
          j && !j->spec().gang && !j->is_done(t.task.index) && !j->is_live(t.task.index);
      if (j) {
        stray.team = j->team();
        stray.team_name = j->spec().team;
        stray.need = j->spec().need;
        stray.image = j->spec().image;
        stray.estimate = j->spec().estimate;
        stray.gang = j->spec().gang;
        stray.priority = j->spec().priority;
      }
      stray.phase = Phase::seen;
      spdlog::info("machine {} reports {} try {} that is not booked there: {}", h.id, t.task.text(),
                   t.attempt, welcome ? "kept" : "stopped");
      add_booking(h, std::move(stray));
      mark_dirty(h);
      needs.store_hosts = true;
      k = &h.bookings.back();
      if (!welcome) stop(h, *k, StopReason::stray, Seconds(0), now);
    }
    if (!j && !k->stopping()) stop(h, *k, StopReason::cancelled, Seconds(0), now);
    obeyed |= k->phase == Phase::sent;
    k->phase = Phase::seen;
    if (t.state != k->state) {
      if (t.state == TaskState::running) {
        if (k->running_since == Instant{}) k->running_since = now;
        if (j) ++j->running;
      } else if (k->state == TaskState::running && j && j->running > 0) {
        --j->running;
      }
      k->state = t.state;
    }
  }

  if (complete) {
    // Safety 1: what a complete report does not list is gone, provided that nothing may still start
    // it: the report bears our baton (an older leader's `run` is refused from now on) and was sent
    // after the response that carried ours (one report is in flight at a time, late responses are
    // dropped).
    for (size_t i = h.bookings.size(); i-- > 0;) {
      if (i >= h.bookings.size()) continue;
      Booking& k = h.bookings[i];
      if (k.unsent()) continue;
      if (find_where(b.tasks, [&](const TaskReport& t) {
            return t.attempt == k.attempt && t.task == k.task && t.state != TaskState::exited;
          })) {
        continue;
      }
      if (b.token != epoch_) continue;
      if (k.phase == Phase::sent && !k.stopping() && job(k.task.job)) {
        k.phase = Phase::durable;  // the response was lost: said again in the next one
        missed_us = true;
        continue;
      }
      needs |= end_booking(h, i, now);
    }
  }
  if (obeyed) {
    h.strikes = 0;
    h.deaf = false;
  } else if (missed_us) {
    strike(h, now);
  }
  if (!stop_hosts_.empty()) needs.stops = true;
}

// A report's arrival is no proof that answers get through. Runs that are sent again and again, and
// sessions that end while we answer, tell: such a machine would swallow work for ever.
void Cluster::strike(Host& h, Instant now) {
  if (h.strikes == 0 || now - h.last_strike > lease_ * 2) {
    h.strikes = 0;
    h.first_strike = now;
  }
  h.last_strike = now;
  if (++h.strikes < kStrikes || now - h.first_strike < lease_ / 3 || h.deaf) return;
  h.deaf = true;
  spdlog::info("machine {}: its reports come, but our answers do not reach it", h.id);
}

std::vector<std::string> Cluster::deaf_hosts() const {
  std::vector<std::string> out;
  size_t heard = 0;
  for (const auto& [id, h] : hosts_) {
    if (!h->heard || h->lost) continue;
    ++heard;
    if (h->deaf) out.push_back(id);
  }
  if (out.size() > std::max<size_t>(kFewDeaf, heard / 8)) out.clear();
  return out;
}

Needs Cluster::on_exit(Host& h, const TaskReport& r, Instant now) {
  Needs needs;
  Job* j = job(r.task.job);
  if (j && r.task.index >= j->spec().tasks) j = nullptr;
  if (r.cause == ExitCause::done && j && !j->is_done(r.task.index)) {
    if (j->spec().gang) {
      // A gang completes together: one task done, all done.
      for (uint32_t i = 0; i < j->spec().tasks; ++i) j->mark_done(i);
    } else {
      j->mark_done(r.task.index);
    }
    j->failing = false;
    j->backoff = Nanos(0);
    needs.store_done = true;
  }
  if (r.cause == ExitCause::done) {
    h.error_streak = 0;
    h.error_jobs.clear();
  }
  Booking* k = h.find(r.task, r.attempt);
  if (!k) return needs;
  if (r.cause == ExitCause::error) on_error(h, j, now);
  if (r.cause == ExitCause::no_room || r.cause == ExitCause::busy ||
      r.cause == ExitCause::unknown) {
    spdlog::info("machine {} refused {}: cause {}", h.id, r.task.text(), static_cast<int>(r.cause));
    if (j) j->not_before = std::max(j->not_before, now + Millis(1000));
  }
  const bool orderly = r.cause == ExitCause::stopped && k->stopping() && k->grace > Seconds(0);
  needs |= end_booking(h, static_cast<size_t>(k - h.bookings.data()), now, orderly);
  return needs;
}

// Safety 6: a machine that fails what other machines complete is drained; a job that fails on
// every machine backs off.
void Cluster::on_error(Host& h, Job* j, Instant now) {
  ++h.error_streak;
  if (!j) return;
  if (j->failed_on.size() < kMaxFailedOn) j->failed_on.insert(h.id);
  h.error_jobs[j->spec().id] = true;
  if (j->failed_on.size() >= op_.failing_machines && j->done_count() == 0) {
    if (!j->failing) spdlog::info("job {} fails on every machine: backing off", j->spec().id);
    j->failing = true;
    j->backoff = j->backoff == Nanos(0) ? to_nanos(op_.backoff_first)
                                        : std::min(j->backoff * 2, to_nanos(op_.backoff_most));
    j->not_before = now + j->backoff;
  }
  if (h.draining) return;
  size_t blamed = 0;
  for (const auto& [id, unused] : h.error_jobs) {
    const Job* other = job(id);
    if (!other || !other->failing) ++blamed;
  }
  const bool others_complete_it = j->done_count() > 0;
  if (h.error_streak >= op_.faults_to_drain &&
      (blamed >= 2 || (blamed == 1 && others_complete_it))) {
    h.draining = true;
    h.drain_reason = "fails the tasks that it starts";
    spdlog::info("machine {} drained: {} errors in a row, {} jobs", h.id, h.error_streak, blamed);
  }
}

Instant Cluster::silent_until(const Host& h) const {
  // Safety 1: a worker that never bore our baton may still be answered by the leader before us,
  // until that one's window is over.
  return h.ours ? h.last_answered : std::max(h.last_answered, reign_since_ + blind_);
}

Instant Cluster::lease_over(const Host& h) const {
  return silent_until(h) + lease_;
}

Needs Cluster::expire(Instant now) {
  Needs needs;
  for (auto& [id, h] : hosts_) {
    if (h->lost) continue;
    if (!h->heard && h->bookings.empty()) continue;  // nothing of ours was ever there
    if (now < lease_over(*h)) continue;
    spdlog::info("machine {} silent beyond its lease: {} bookings end", h->id, h->bookings.size());
    h->lost = h->heard;
    h->images.clear();
    while (!h->bookings.empty()) needs |= end_booking(*h, h->bookings.size() - 1, now);
    needs.schedule = true;
  }
  return needs;
}

void Cluster::stop_gang(const std::string& id, uint64_t attempt, Seconds grace, Instant now) {
  for (Host* h : holders(id)) {
    for (Booking& b : h->bookings) {
      if (b.task.job == id && b.attempt == attempt && !b.stopping()) {
        stop(*h, b, StopReason::recall, grace, now);
      }
    }
  }
}

Needs Cluster::tick(Instant now) {
  Needs needs;
  const Nanos silent = to_nanos(platform_.report * 2 + Seconds(1));
  for (auto& [id, h] : hosts_) {
    // What waits on a machine that nothing is heard of, or that will not get it, goes elsewhere.
    // Found on days of our own with machines that fail their tasks: a drained one gets no `run`, so
    // what was booked there and not sent yet stayed for good, and its job with it.
    if (h->recall_at || h->draining || h->deleting || h->deaf ||
        (h->heard && now - h->last_heard >= silent)) {
      for (size_t i = h->bookings.size(); i-- > 0;) {
        if (i < h->bookings.size() && h->bookings[i].unsent()) needs |= end_booking(*h, i, now);
      }
    }
    if (!h->recall_at) continue;
    for (size_t i = h->bookings.size(); i-- > 0;) {
      Booking& b = h->bookings[i];
      const Job* j = job(b.task.job);
      if (!j || b.stopping() || j->spec().checkpoint <= Seconds(0)) continue;
      const Seconds left = to_seconds(*h->recall_at - now);
      if (left > j->spec().save + kSaveSlack) continue;
      // Saved before the machine goes. A gang saves as a whole or not at all: all its tasks are
      // told in the same moment, well inside gang_peer_s of one another.
      if (b.gang) {
        stop_gang(b.task.job, b.attempt, j->spec().save + platform_.gang_peer, now);
      } else {
        stop(*h, b, StopReason::recall, j->spec().save + Seconds(1), now);
      }
    }
  }
  if (!stop_hosts_.empty()) needs.stops = true;
  return needs;
}

wire::HostRecord Cluster::record_of(const Host& h) const {
  wire::HostRecord r;
  r.type = h.type;
  r.zone = h.zone;
  r.address = h.address;
  r.spot = h.spot;
  for (const Booking& b : h.bookings) {
    auto* g = find_where(r.groups, [&](const auto& x) { return x.job == b.task.job; });
    if (!g) {
      r.groups.push_back({b.task.job, b.team_name, b.need, b.gang, {}});
      g = &r.groups.back();
    }
    g->tasks.emplace_back(b.task.index, b.attempt);
  }
  return r;
}

// The size of the record as the state service counts it, generously: see write_host.
size_t Cluster::record_size(const Host& h) const {
  constexpr size_t kFixed = 512;
  size_t groups = 0;
  const std::string* last = nullptr;
  for (const Booking& b : h.bookings) {
    if (!last || *last != b.task.job) ++groups;
    last = &b.task.job;
  }
  return kFixed + groups * kRecordPerJob + h.bookings.size() * kRecordPerTask;
}

void Cluster::host_stored(Host& h, const wire::HostRecord& written, uint64_t stamp, Needs& needs) {
  h.stamp = stamp;
  h.stamp_known = true;
  h.stored.clear();
  for (const auto& g : written.groups) {
    for (const auto& [index, attempt] : g.tasks)
      h.stored.emplace_back(TaskRef{g.job, index}, attempt);
  }
  h.dirty = false;
  h.trailing = false;
  for (const auto& [task, attempt] : h.stored) {
    if (!h.find(task, attempt)) h.trailing = true;
  }
  for (Booking& b : h.bookings) {
    if (b.phase != Phase::planned) continue;
    const bool there = find_where(
        h.stored, [&](const auto& s) { return s.second == b.attempt && s.first == b.task; });
    if (!there) {
      mark_dirty(h, b.gang);
      needs.store_hosts = true;
      continue;
    }
    b.phase = Phase::durable;
    needs.runs = true;
    if (!b.gang) {
      runnable_.push_back(h.id);
      continue;
    }
    // Safety 4: a gang starts once every one of its bookings stands.
    Job* j = job(b.task.job);
    if (!j || j->gang_attempt != b.attempt) continue;
    uint32_t standing = 0;
    for (const Host* other : holders(b.task.job)) {
      for (const Booking& k : other->bookings) {
        if (k.task.job == b.task.job && k.attempt == b.attempt && k.phase != Phase::planned) {
          ++standing;
        }
      }
    }
    j->gang_go = standing == j->spec().tasks;
    if (!j->gang_go) continue;
    for (const Host* other : holders(b.task.job)) runnable_.push_back(other->id);
  }
}

size_t Cluster::booking_count() const {
  size_t n = 0;
  for (const auto& [id, h] : hosts_) n += h->bookings.size();
  return n;
}

}  // namespace dunlinknot::cluster
