#include "dunlinknot/cluster/allocation_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr Millis kWatchBlock{
    1000};  // each answer moves the horizon (safety 2), with news or without

}  // namespace

AllocationStore::AllocationStore(LeaderContext& context, kv::Client& store, Hooks hooks)
    : context_(context), store_(store), hooks_(std::move(hooks)) {}

kv::Compare AllocationStore::epoch_compare() const {
  return {std::string(wire::kEpochKey), context_.epoch_mod_revision};
}

Task<bool> AllocationStore::list_all(uint64_t term, std::string prefix, Visit visit,
                                     Reading& reading) {
  std::string after;
  bool first = true;
  for (;;) {
    const Instant sent = context_.loop.now();
    kv::ListResult r = co_await store_.list(prefix, after, std::chrono::seconds(3));
    if (!context_.in_term(term)) co_return false;
    if (r.outcome != Outcome::ok) {
      co_await context_.loop.sleep(kRetry);
      if (!context_.in_term(term)) co_return false;
      continue;
    }
    if (first) reading = {r.revision, sent};
    first = false;
    for (const auto& item : r.items) visit(item);
    if (!r.more || r.items.empty()) co_return true;
    after = r.items.back().key;
  }
}

void AllocationStore::apply_job_record(const kv::KeyValue& item) {
  auto record = wire::read_job_record(item.value);
  if (!record || item.key != wire::job_key(record->spec.id)) {
    spdlog::error("the record {} cannot be read and is left alone", item.key);
    return;
  }
  spdlog::debug("job {}: {} x {} of {}, estimate {:.0f} s", record->spec.id, record->spec.tasks,
                record->spec.job_class, record->spec.team, record->spec.estimate.count());
  const Instant now = context_.loop.now();
  context_.leader_state.with(
      [&](LeaderState& p) { p.cluster.load_job(std::move(*record), item.mod_revision, now); });
}

Task<bool> AllocationStore::load(uint64_t term) {
  const Visit job = [this](const kv::KeyValue& i) { apply_job_record(i); };
  Reading jobs, rest;
  if (!co_await list_all(term, std::string(wire::kJobPrefix), job, jobs)) co_return false;
  garbage_.clear();
  const Visit done = [this](const kv::KeyValue& i) {
    const auto key = wire::parse_done_key(i.key);
    if (!key) return;
    const bool open = context_.leader_state.with([&](LeaderState& p) {
      if (!p.cluster.job(key->first)) return false;
      p.cluster.load_done(key->first, key->second, i.value, i.mod_revision);
      return true;
    });
    if (!open) garbage_.emplace_back(i.key, i.mod_revision);
  };
  if (!co_await list_all(term, std::string(wire::kDonePrefix), done, rest)) co_return false;
  const Visit machine = [this](const kv::KeyValue& i) {
    const std::string id(wire::after_prefix(i.key, wire::kMachinePrefix));
    const auto record = wire::read_machine_record(i.value);
    const Instant now = context_.loop.now();
    if (!record) {
      spdlog::error("the record {} cannot be read and is left alone", i.key);
      return;
    }
    context_.leader_state.with(
        [&](LeaderState& p) { p.cluster.load_machine(id, *record, i.mod_revision, now); });
  };
  if (!co_await list_all(term, std::string(wire::kMachinePrefix), machine, rest)) co_return false;
  jobs_revision_ = jobs.revision;
  hooks_.caught_up(jobs.sent);
  co_return true;
}

// A guard on a job's record failed, or nobody knows: read what stands.
Task<void> AllocationStore::recheck_job(uint64_t term, std::string id) {
  kv::GetResult got = co_await store_.get(wire::job_key(id), kCommitTime);
  if (!context_.in_term(term) || got.outcome != Outcome::ok) co_return;
  if (got.found) {
    // Only the watch makes a job known: this answer may be older than its end.
    context_.leader_state.with([&](LeaderState& p) {
      if (Job* j = p.cluster.job(id)) j->mod_revision = got.item.mod_revision;
    });
    co_return;
  }
  kv::GetResult final = co_await store_.get(wire::final_key(id), kCommitTime);
  if (!context_.in_term(term) || final.outcome != Outcome::ok) co_return;
  const auto record = final.found ? wire::read_final(final.item.value) : std::nullopt;
  const bool cancelled = !record || record->cancelled;
  Effects effects;
  context_.leader_state.with([&](LeaderState& p) {
    effects = p.cluster.close_job(id, cancelled, context_.loop.now());
    p.nominations.job_closed(id);
  });
  if (!cancelled) hooks_.finished(id, record->tasks);
  context_.follow_up(effects);
}

Task<bool> AllocationStore::relist_jobs(uint64_t term) {
  std::set<std::string> listed;
  const Visit visit = [&](const kv::KeyValue& i) {
    listed.insert(std::string(wire::after_prefix(i.key, wire::kJobPrefix)));
    apply_job_record(i);
  };
  Reading reading;
  if (!co_await list_all(term, std::string(wire::kJobPrefix), visit, reading)) co_return false;
  // Only this watch makes jobs known, so all were there before the listing: one that is not in it
  // is over. Asking for each how it ended could fail, and its cancellation would never be heard of.
  Effects effects;
  context_.leader_state.with([&](LeaderState& p) {
    std::vector<std::string> over;
    for (const auto& [id, j] : p.cluster.jobs()) {
      if (!listed.contains(id)) over.push_back(id);
    }
    for (const auto& id : over) effects |= close_over(p, id);
  });
  effects.schedule = true;
  context_.follow_up(effects);
  jobs_revision_ = reading.revision;
  hooks_.caught_up(reading.sent);
  co_return true;
}

// The job's record is gone: cancelled, or done. Ours are closed when their transaction is answered;
// whoever comes first, the tasks of a finished job are all done, and stopping what is left of it
// does no harm.
Effects AllocationStore::close_over(LeaderState& p, const std::string& id) {
  const Job* j = p.cluster.job(id);
  if (!j) return {};
  if (!j->all_done()) spdlog::info("job {} was cancelled", id);
  const Effects effects = p.cluster.close_job(id, true, context_.loop.now());
  p.nominations.job_closed(id);
  return effects;
}

void AllocationStore::cancelled(const std::string& id) {
  context_.follow_up(context_.leader_state.with([&](LeaderState& p) { return close_over(p, id); }));
}

Task<void> AllocationStore::watch_jobs(uint64_t term) {
  while (context_.in_term(term)) {
    const Instant sent = context_.loop.now();
    kv::WatchResult w =
        co_await store_.watch(std::string(wire::kJobPrefix), jobs_revision_, kWatchBlock);
    if (!context_.in_term(term)) co_return;
    if (w.outcome != Outcome::ok) {
      co_await context_.loop.sleep(kRetry);
      continue;
    }
    if (w.too_old) {
      if (!co_await relist_jobs(term)) co_return;
      continue;
    }
    Effects effects;
    for (const auto& c : w.changes) {
      const std::string id(wire::after_prefix(c.key, wire::kJobPrefix));
      if (c.deleted) {
        context_.leader_state.with([&](LeaderState& p) { effects |= close_over(p, id); });
      } else {
        kv::KeyValue item{c.key, c.value, c.mod_revision, 0};
        apply_job_record(item);
        effects.schedule = true;
      }
    }
    jobs_revision_ = std::max(jobs_revision_, w.revision);
    hooks_.caught_up(sent);
    context_.follow_up(effects);
  }
}

}  // namespace dunlinknot::cluster
