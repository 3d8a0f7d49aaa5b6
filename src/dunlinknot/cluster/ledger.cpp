#include "dunlinknot/cluster/ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr auto kCommitTime = Millis(1200);
constexpr auto kRetry = Millis(120);
constexpr Millis kWatchBlock{
    1000};  // each answer moves the horizon (safety 2), with news or without
constexpr auto kTrailing = std::chrono::seconds(4);
constexpr size_t kTxnBytes = 40 * 1024;
constexpr double kApiReserve = 0.2;     // of the write budget's burst, left to the users' requests
constexpr double kSlackLevel = 0.6;     // of the burst: what can wait is written above this
constexpr double kPartialShare = 0.15;  // of the write budget, for the progress of open jobs
constexpr Seconds kPartialPause{1};

}  // namespace

Ledger::Ledger(Domain& domain, state::Client& state, Hooks hooks)
    : domain_(domain), state_(state), hooks_(std::move(hooks)) {}

state::Guard Ledger::epoch_guard() const {
  return {std::string(wire::kEpochKey), domain_.epoch_stamp};
}

Task<bool> Ledger::list_all(uint64_t reign, std::string prefix, Visit visit, Reading& reading) {
  std::string after;
  bool first = true;
  for (;;) {
    const Instant sent = domain_.loop.now();
    state::ListResult r = co_await state_.list(prefix, after, std::chrono::seconds(3));
    if (!domain_.in_reign(reign)) co_return false;
    if (r.outcome != Outcome::ok) {
      co_await domain_.loop.sleep(kRetry);
      if (!domain_.in_reign(reign)) co_return false;
      continue;
    }
    if (first) reading = {r.revision, sent};
    first = false;
    for (const auto& item : r.items) visit(item);
    if (!r.more || r.items.empty()) co_return true;
    after = r.items.back().key;
  }
}

void Ledger::take_job(const state::Item& item) {
  auto record = wire::read_job_record(item.value);
  if (!record || item.key != wire::job_key(record->spec.id)) {
    spdlog::error("the record {} cannot be read and is left alone", item.key);
    return;
  }
  spdlog::debug("job {}: {} x {} of {}, estimate {:.0f} s", record->spec.id, record->spec.tasks,
                record->spec.job_class, record->spec.team, record->spec.estimate.count());
  const Instant now = domain_.loop.now();
  domain_.picture.with(
      [&](Picture& p) { p.cluster.load_job(std::move(*record), item.stamp, now); });
}

Task<bool> Ledger::load(uint64_t reign) {
  const Visit job = [this](const state::Item& i) { take_job(i); };
  Reading jobs, rest;
  if (!co_await list_all(reign, std::string(wire::kJobPrefix), job, jobs)) co_return false;
  garbage_.clear();
  const Visit done = [this](const state::Item& i) {
    const auto key = wire::parse_done_key(i.key);
    if (!key) return;
    const bool open = domain_.picture.with([&](Picture& p) {
      if (!p.cluster.job(key->first)) return false;
      p.cluster.load_done(key->first, key->second, i.value, i.stamp);
      return true;
    });
    if (!open) garbage_.emplace_back(i.key, i.stamp);
  };
  if (!co_await list_all(reign, std::string(wire::kDonePrefix), done, rest)) co_return false;
  const Visit host = [this](const state::Item& i) {
    const std::string id(wire::after_prefix(i.key, wire::kHostPrefix));
    const auto record = wire::read_host(i.value);
    const Instant now = domain_.loop.now();
    if (!record) {
      spdlog::error("the record {} cannot be read and is left alone", i.key);
      return;
    }
    domain_.picture.with([&](Picture& p) { p.cluster.load_host(id, *record, i.stamp, now); });
  };
  if (!co_await list_all(reign, std::string(wire::kHostPrefix), host, rest)) co_return false;
  jobs_revision_ = jobs.revision;
  hooks_.caught_up(jobs.sent);
  co_return true;
}

// ---- bookings

Task<void> Ledger::store_hosts(uint64_t reign) {
  Instant next_trailing = domain_.loop.now() + kTrailing;
  while (domain_.in_reign(reign)) {
    (void)co_await domain_.store_hosts.wait_until(next_trailing);
    const bool trailing = domain_.loop.now() >= next_trailing;
    if (trailing) next_trailing = domain_.loop.now() + kTrailing;
    for (bool more = true; more && domain_.in_reign(reign);)
      more = co_await store_some_hosts(reign, trailing);
    if (trailing) {
      for (bool more = true; more && domain_.in_reign(reign);)
        more = co_await delete_some_records(reign);
    }
  }
}

// Machines whose record may have been changed by a transaction with an unknown outcome.
Task<void> Ledger::refresh_hosts(uint64_t reign) {
  stamps_unknown_ = false;
  std::vector<std::string> ids = domain_.picture.with([](Picture& p) {
    std::vector<std::string> out;
    for (const auto& [id, h] : p.cluster.hosts()) {
      if (!h->stamp_known) out.push_back(id);
    }
    return out;
  });
  for (const auto& id : ids) {
    state::GetResult got = co_await state_.get(wire::host_key(id), kCommitTime);
    if (!domain_.in_reign(reign)) co_return;
    if (got.outcome != Outcome::ok) {
      stamps_unknown_ = true;
      continue;
    }
    Needs needs;
    domain_.picture.with([&](Picture& p) {
      Host* h = p.cluster.host(id);
      if (!h) return;
      // What the record says is what is durable, whichever attempt wrote it.
      const auto record = got.found ? wire::read_host(got.item.value) : std::nullopt;
      p.cluster.host_stored(*h, record.value_or(wire::HostRecord{}), got.found ? got.item.stamp : 0,
                            needs);
    });
    domain_.follow_up(needs);
  }
}

// The ledger keeps to what is left of the state service's budget, with a reserve for the users'
// requests at this node: else the bookings of a large cluster crowd submissions out.
Task<void> Ledger::await_budget(uint64_t reign, double writes) {
  const double burst = state_.write_burst();
  const double want = std::min(writes, burst / 4) + burst * kApiReserve;
  while (domain_.in_reign(reign) && state_.write_level() < want) {
    co_await domain_.loop.sleep(std::max<Nanos>(state_.writes_in(want), Millis(2)));
  }
}

// Returns whether there may be more to do at once.
Task<bool> Ledger::store_some_hosts(uint64_t reign, bool trailing) {
  if (stamps_unknown_) {
    co_await refresh_hosts(reign);
    if (!domain_.in_reign(reign)) co_return false;
  }
  const size_t max_ops = std::min<size_t>(domain_.platform.txn_ops, 16);
  const size_t waiting =
      domain_.picture.with([](Picture& p) { return p.cluster.dirty_hosts().size(); });
  if (waiting == 0 && !trailing) co_return false;
  // Records that only shrank are rewritten with what is left over: an entry too many costs a new
  // leader a moment, a booking that waits costs a machine.
  if (waiting == 0 && state_.write_level() < state_.write_burst() * kSlackLevel) co_return false;
  co_await await_budget(reign, static_cast<double>(std::min(waiting, max_ops)));
  if (!domain_.in_reign(reign)) co_return false;
  std::vector<HostWrite> batch;
  std::set<std::string> jobs;
  state::Txn txn;
  txn.guards.push_back(epoch_guard());
  domain_.picture.with([&](Picture& p) {
    size_t bytes = 0;
    const auto full = [&] { return batch.size() >= max_ops || bytes > kTxnBytes; };
    const auto add = [&](Host& h) {
      HostWrite w{h.id, h.stamp, p.cluster.record_of(h)};
      std::string value;
      if (!w.record.groups.empty()) value = wire::write_host(w.record);
      if (value.empty() && w.stamp == 0) {
        h.dirty = h.trailing = false;
        return true;
      }
      // Safety 3: a booking is refused when its job was cancelled or is over.
      std::set<std::string> fresh;
      for (const Booking& b : h.bookings) {
        if (b.phase == Phase::planned && p.cluster.job(b.task.job)) fresh.insert(b.task.job);
      }
      if (txn.guards.size() + 1 + fresh.size() + jobs.size() > max_ops * 4) return false;
      jobs.insert(fresh.begin(), fresh.end());
      bytes += value.size() * 2;
      txn.guards.push_back({wire::host_key(h.id), w.stamp});
      txn.writes.push_back({wire::host_key(h.id), std::move(value), 0});
      h.storing = true;
      batch.push_back(std::move(w));
      return true;
    };
    auto& queue = p.cluster.dirty_hosts();
    for (size_t left = queue.size(); left > 0 && !full(); --left) {
      const std::string id = std::move(queue.front());
      queue.pop_front();
      Host* h = p.cluster.host(id);
      if (!h) continue;
      h->queued = false;
      if (!h->dirty) continue;
      if (!h->stamp_known || h->storing || !add(*h)) p.cluster.mark_dirty(*h);
    }
    if (trailing && queue.empty()) {
      for (auto& [id, h] : p.cluster.hosts()) {
        if (full()) break;
        if (h->trailing && !h->dirty && h->stamp_known && !h->storing && !add(*h)) break;
      }
    }
    for (const auto& id : jobs) {
      txn.guards.push_back({wire::job_key(id), p.cluster.job(id)->stamp});
    }
  });
  if (batch.empty()) co_return false;
  state::TxnResult r = co_await state_.commit(std::move(txn), kCommitTime);
  if (!domain_.in_reign(reign)) co_return false;
  Needs needs;
  std::vector<std::string> recheck;
  domain_.picture.with([&](Picture& p) {
    for (const auto& w : batch) {
      Host* h = p.cluster.host(w.id);
      if (!h) {
        if (r.applied && !w.record.groups.empty()) {
          garbage_.emplace_back(wire::host_key(w.id), r.revision);
        }
        continue;
      }
      h->storing = false;
      if (r.applied) {
        p.cluster.host_stored(*h, w.record, w.record.groups.empty() ? 0 : r.revision, needs);
      } else if (r.outcome == Outcome::unknown || r.guard_failed(wire::host_key(w.id))) {
        h->stamp_known = false;
        stamps_unknown_ = true;
      }
      if (!r.applied && h->dirty) p.cluster.mark_dirty(*h);
    }
    for (const auto& id : jobs) {
      if (r.guard_failed(wire::job_key(id))) {
        needs |= p.cluster.drop_unsent(id, domain_.loop.now());
        recheck.push_back(id);
      }
    }
  });
  if (r.guard_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  domain_.follow_up(needs);
  for (auto& id : recheck) co_await recheck_job(reign, id);
  if (r.outcome != Outcome::ok) co_await domain_.loop.sleep(kRetry);
  co_return true;
}

Task<bool> Ledger::delete_some_records(uint64_t reign) {
  auto dead = domain_.picture.with([](Picture& p) { return p.cluster.take_dead_records(); });
  for (auto& d : dead) garbage_.push_back(std::move(d));
  if (garbage_.empty() || state_.write_level() < state_.write_burst() * kSlackLevel)
    co_return false;
  state::Txn txn;
  txn.guards.push_back(epoch_guard());
  std::vector<std::pair<std::string, uint64_t>> batch;
  while (!garbage_.empty() && batch.size() < std::min<size_t>(domain_.platform.txn_ops, 12)) {
    batch.push_back(garbage_.front());
    garbage_.pop_front();
    txn.guards.push_back({batch.back().first, batch.back().second});
    txn.writes.push_back({batch.back().first, "", 0});
  }
  state::TxnResult r = co_await state_.commit(std::move(txn), kCommitTime);
  if (!domain_.in_reign(reign)) co_return false;
  if (r.guard_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  if (r.applied) co_return !garbage_.empty();
  for (auto& [key, stamp] : batch) {
    if (!r.guard_failed(key)) {
      garbage_.emplace_back(key, stamp);
      continue;
    }
    // Gone already, or written by a transaction whose answer we never had.
    state::GetResult got = co_await state_.get(key, kCommitTime);
    if (!domain_.in_reign(reign)) co_return false;
    if (got.outcome == Outcome::ok && got.found) garbage_.emplace_back(key, got.item.stamp);
  }
  co_return false;
}

// ---- completions

Task<void> Ledger::store_done(uint64_t reign) {
  while (domain_.in_reign(reign)) {
    (void)co_await domain_.store_done.wait_until(
        std::max(next_partial_, domain_.loop.now() + std::chrono::seconds(1)));
    for (bool more = true; more && domain_.in_reign(reign);) more = co_await store_some_done(reign);
  }
}

Task<bool> Ledger::store_some_done(uint64_t reign) {
  struct Chunk {
    std::string job;
    uint32_t chunk;
    std::vector<bool> bits;
  };
  struct Finished {
    std::string job;
    uint32_t tasks;
  };
  const size_t max_ops = std::min<size_t>(domain_.platform.txn_ops, 16);
  std::vector<Chunk> chunks;
  std::vector<Finished> finished;
  std::set<std::string> jobs;
  state::Txn txn;
  txn.guards.push_back(epoch_guard());
  // A job's end is told at once. How far an open job is need not be: until it is written down the
  // workers keep what they completed. On a large cluster one write a task would eat the budget.
  const bool partial = domain_.loop.now() >= next_partial_;
  domain_.picture.with([&](Picture& p) {
    for (const auto& [id, j] : p.cluster.jobs()) {
      if (txn.writes.size() + 2 > max_ops) break;
      if (j->all_done()) {
        jobs.insert(id);
        txn.guards.push_back({wire::job_key(id), j->stamp});
        txn.guards.push_back({wire::final_key(id), 0});
        txn.writes.push_back({wire::final_key(id), wire::write_final({false, j->spec().tasks}), 0});
        txn.writes.push_back({wire::job_key(id), "", 0});
        finished.push_back({id, j->spec().tasks});
      } else if (partial && !j->dirty_chunks().empty()) {
        jobs.insert(id);
        txn.guards.push_back({wire::job_key(id), j->stamp});
        for (const uint32_t n : j->dirty_chunks()) {
          if (txn.writes.size() >= max_ops) break;
          const auto it = j->chunk_stamps.find(n);
          txn.guards.push_back(
              {wire::done_key(id, n), it == j->chunk_stamps.end() ? 0 : it->second});
          txn.writes.push_back(
              {wire::done_key(id, n), wire::write_done_chunk(j->done_bits(), n), 0});
          chunks.push_back({id, n, j->done_bits()});
        }
      }
    }
  });
  if (txn.writes.empty()) {
    if (partial && partial_writes_ > 0) {
      const double rate = state_.write_burst() * kPartialShare;
      const Seconds pause = std::max(kPartialPause, Seconds(partial_writes_ / rate));
      next_partial_ = domain_.loop.now() + to_nanos(pause);
      partial_writes_ = 0;
    }
    co_return false;
  }
  partial_writes_ += static_cast<double>(chunks.size());
  if (finished.empty()) co_await await_budget(reign, static_cast<double>(txn.writes.size()));
  if (!domain_.in_reign(reign)) co_return false;
  state::TxnResult r = co_await state_.commit(std::move(txn), kCommitTime);
  if (!domain_.in_reign(reign)) co_return false;
  if (r.guard_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  if (r.applied) {
    Needs needs;
    domain_.picture.with([&](Picture& p) {
      for (const auto& c : chunks) {
        if (Job* j = p.cluster.job(c.job)) j->chunk_stored(c.chunk, c.bits, r.revision);
      }
      for (const auto& f : finished) {
        needs |= p.cluster.close_job(f.job, false, domain_.loop.now());
        p.nominations.job_closed(f.job);
      }
    });
    for (const auto& f : finished) hooks_.finished(f.job, f.tasks);
    domain_.follow_up(needs);
    co_return true;
  }
  if (r.outcome == Outcome::refused) {
    co_await domain_.loop.sleep(kRetry);
    co_return true;
  }
  // Unknown, or a stamp was not what we thought: read back what stands, then go on from there.
  for (const auto& c : chunks) {
    if (r.outcome == Outcome::ok && !r.guard_failed(wire::done_key(c.job, c.chunk))) continue;
    state::GetResult got = co_await state_.get(wire::done_key(c.job, c.chunk), kCommitTime);
    if (!domain_.in_reign(reign)) co_return false;
    if (got.outcome != Outcome::ok) continue;
    domain_.picture.with([&](Picture& p) {
      Job* j = p.cluster.job(c.job);
      if (!j) return;
      if (got.found) {
        std::vector<bool> bits(j->spec().tasks);
        if (wire::read_done_chunk(got.item.value, c.chunk, bits)) {
          j->load_chunk(c.chunk, bits, got.item.stamp);
          j->chunk_stored(c.chunk, bits, got.item.stamp);
        }
      } else {
        j->chunk_stamps.erase(c.chunk);
      }
    });
  }
  for (const auto& id : jobs) {
    if (r.outcome == Outcome::unknown || r.guard_failed(wire::job_key(id)) ||
        r.guard_failed(wire::final_key(id))) {
      co_await recheck_job(reign, id);
      if (!domain_.in_reign(reign)) co_return false;
    }
  }
  co_await domain_.loop.sleep(Millis(30));
  co_return true;
}

// ---- jobs

// A guard on a job's record failed, or nobody knows: read what stands.
Task<void> Ledger::recheck_job(uint64_t reign, std::string id) {
  state::GetResult got = co_await state_.get(wire::job_key(id), kCommitTime);
  if (!domain_.in_reign(reign) || got.outcome != Outcome::ok) co_return;
  if (got.found) {
    // Only the watch makes a job known: this answer may be older than its end.
    domain_.picture.with([&](Picture& p) {
      if (Job* j = p.cluster.job(id)) j->stamp = got.item.stamp;
    });
    co_return;
  }
  state::GetResult final = co_await state_.get(wire::final_key(id), kCommitTime);
  if (!domain_.in_reign(reign) || final.outcome != Outcome::ok) co_return;
  const auto record = final.found ? wire::read_final(final.item.value) : std::nullopt;
  const bool cancelled = !record || record->cancelled;
  Needs needs;
  domain_.picture.with([&](Picture& p) {
    needs = p.cluster.close_job(id, cancelled, domain_.loop.now());
    p.nominations.job_closed(id);
  });
  if (!cancelled) hooks_.finished(id, record->tasks);
  domain_.follow_up(needs);
}

Task<bool> Ledger::relist_jobs(uint64_t reign) {
  std::set<std::string> listed;
  const Visit visit = [&](const state::Item& i) {
    listed.insert(std::string(wire::after_prefix(i.key, wire::kJobPrefix)));
    take_job(i);
  };
  Reading reading;
  if (!co_await list_all(reign, std::string(wire::kJobPrefix), visit, reading)) co_return false;
  // Only this watch makes jobs known, so all were there before the listing: one that is not in it
  // is over. Asking for each how it ended could fail, and its cancellation would never be heard of.
  Needs needs;
  domain_.picture.with([&](Picture& p) {
    std::vector<std::string> over;
    for (const auto& [id, j] : p.cluster.jobs()) {
      if (!listed.contains(id)) over.push_back(id);
    }
    for (const auto& id : over) needs |= close_over(p, id);
  });
  needs.schedule = true;
  domain_.follow_up(needs);
  jobs_revision_ = reading.revision;
  hooks_.caught_up(reading.sent);
  co_return true;
}

// The job's record is gone: cancelled, or done. Ours are closed when their transaction is answered;
// whoever comes first, the tasks of a finished job are all done, and stopping what is left of it
// does no harm.
Needs Ledger::close_over(Picture& p, const std::string& id) {
  const Job* j = p.cluster.job(id);
  if (!j) return {};
  if (!j->all_done()) spdlog::info("job {} was cancelled", id);
  const Needs needs = p.cluster.close_job(id, true, domain_.loop.now());
  p.nominations.job_closed(id);
  return needs;
}

void Ledger::cancelled(const std::string& id) {
  domain_.follow_up(domain_.picture.with([&](Picture& p) { return close_over(p, id); }));
}

Task<void> Ledger::watch_jobs(uint64_t reign) {
  while (domain_.in_reign(reign)) {
    const Instant sent = domain_.loop.now();
    state::WatchResult w =
        co_await state_.watch(std::string(wire::kJobPrefix), jobs_revision_, kWatchBlock);
    if (!domain_.in_reign(reign)) co_return;
    if (w.outcome != Outcome::ok) {
      co_await domain_.loop.sleep(kRetry);
      continue;
    }
    if (w.too_old) {
      if (!co_await relist_jobs(reign)) co_return;
      continue;
    }
    Needs needs;
    for (const auto& c : w.changes) {
      const std::string id(wire::after_prefix(c.key, wire::kJobPrefix));
      if (c.deleted) {
        domain_.picture.with([&](Picture& p) { needs |= close_over(p, id); });
      } else {
        state::Item item{c.key, c.value, c.stamp, 0};
        take_job(item);
        needs.schedule = true;
      }
    }
    jobs_revision_ = std::max(jobs_revision_, w.revision);
    hooks_.caught_up(sent);
    domain_.follow_up(needs);
  }
}

}  // namespace dunlinknot::cluster
