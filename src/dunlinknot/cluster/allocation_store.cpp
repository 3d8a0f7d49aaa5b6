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
    kv::ListResult list = co_await store_.list(prefix, after, std::chrono::seconds(3));
    if (!context_.in_term(term)) co_return false;
    if (list.outcome != Outcome::ok) {
      co_await context_.loop.sleep(kRetry);
      if (!context_.in_term(term)) co_return false;
      continue;
    }
    if (first) reading = {list.revision, sent};
    first = false;
    for (const auto& item : list.items) visit(item);
    if (!list.more || list.items.empty()) co_return true;
    after = list.items.back().key;
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
  context_.leader_state.with([&](LeaderState& leader) {
    leader.cluster.load_job(std::move(*record), item.mod_revision, now);
  });
}

Task<bool> AllocationStore::load(uint64_t term) {
  const Visit job = [this](const kv::KeyValue& item) { apply_job_record(item); };
  Reading jobs, rest;
  if (!co_await list_all(term, std::string(wire::kJobPrefix), job, jobs)) co_return false;
  garbage_.clear();
  const Visit done = [this](const kv::KeyValue& item) {
    const auto key = wire::parse_done_key(item.key);
    if (!key) return;
    const bool open = context_.leader_state.with([&](LeaderState& leader) {
      if (!leader.cluster.job(key->first)) return false;
      leader.cluster.load_done(key->first, key->second, item.value, item.mod_revision);
      return true;
    });
    if (!open) garbage_.emplace_back(item.key, item.mod_revision);
  };
  if (!co_await list_all(term, std::string(wire::kDonePrefix), done, rest)) co_return false;
  const Visit machine = [this](const kv::KeyValue& item) {
    const std::string id(wire::after_prefix(item.key, wire::kMachinePrefix));
    const auto record = wire::read_machine_record(item.value);
    const Instant now = context_.loop.now();
    if (!record) {
      spdlog::error("the record {} cannot be read and is left alone", item.key);
      return;
    }
    context_.leader_state.with([&](LeaderState& leader) {
      leader.cluster.load_machine(id, *record, item.mod_revision, now);
    });
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
    context_.leader_state.with([&](LeaderState& leader) {
      if (Job* job = leader.cluster.job(id)) job->mod_revision = got.item.mod_revision;
    });
    co_return;
  }
  kv::GetResult final = co_await store_.get(wire::final_key(id), kCommitTime);
  if (!context_.in_term(term) || final.outcome != Outcome::ok) co_return;
  const auto record = final.found ? wire::read_final(final.item.value) : std::nullopt;
  const bool cancelled = !record || record->cancelled;
  Effects effects;
  context_.leader_state.with([&](LeaderState& leader) {
    effects = leader.cluster.close_job(id, cancelled, context_.loop.now());
    leader.nominations.job_closed(id);
  });
  if (!cancelled) hooks_.finished(id, record->tasks);
  context_.follow_up(effects);
}

Task<bool> AllocationStore::relist_jobs(uint64_t term) {
  std::set<std::string> listed;
  const Visit visit = [&](const kv::KeyValue& item) {
    listed.insert(std::string(wire::after_prefix(item.key, wire::kJobPrefix)));
    apply_job_record(item);
  };
  Reading reading;
  if (!co_await list_all(term, std::string(wire::kJobPrefix), visit, reading)) co_return false;
  // Only this watch makes jobs known, so all were there before the listing: one that is not in it
  // is over. Asking for each how it ended could fail, and its cancellation would never be heard of.
  Effects effects;
  context_.leader_state.with([&](LeaderState& leader) {
    std::vector<std::string> over;
    for (const auto& [id, job] : leader.cluster.jobs()) {
      if (!listed.contains(id)) over.push_back(id);
    }
    for (const auto& id : over) effects |= close_over(leader, id);
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
Effects AllocationStore::close_over(LeaderState& leader, const std::string& id) {
  const Job* job = leader.cluster.job(id);
  if (!job) return {};
  if (!job->all_done()) spdlog::info("job {} was cancelled", id);
  const Effects effects = leader.cluster.close_job(id, true, context_.loop.now());
  leader.nominations.job_closed(id);
  return effects;
}

void AllocationStore::cancelled(const std::string& id) {
  context_.follow_up(
      context_.leader_state.with([&](LeaderState& leader) { return close_over(leader, id); }));
}

Task<void> AllocationStore::watch_jobs(uint64_t term) {
  while (context_.in_term(term)) {
    const Instant sent = context_.loop.now();
    kv::WatchResult watch =
        co_await store_.watch(std::string(wire::kJobPrefix), jobs_revision_, kWatchBlock);
    if (!context_.in_term(term)) co_return;
    if (watch.outcome != Outcome::ok) {
      co_await context_.loop.sleep(kRetry);
      continue;
    }
    if (watch.too_old) {
      if (!co_await relist_jobs(term)) co_return;
      continue;
    }
    Effects effects;
    for (const auto& c : watch.changes) {
      const std::string id(wire::after_prefix(c.key, wire::kJobPrefix));
      if (c.deleted) {
        context_.leader_state.with([&](LeaderState& leader) { effects |= close_over(leader, id); });
      } else {
        kv::KeyValue item{c.key, c.value, c.mod_revision, 0};
        apply_job_record(item);
        effects.schedule = true;
      }
    }
    jobs_revision_ = std::max(jobs_revision_, watch.revision);
    hooks_.caught_up(sent);
    context_.follow_up(effects);
  }
}

}  // namespace dunlinknot::cluster
