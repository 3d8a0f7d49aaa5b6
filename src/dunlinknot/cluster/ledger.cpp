#include "dunlinknot/cluster/ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr Millis kWatchBlock{
    1000};  // each answer moves the horizon (safety 2), with news or without

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
