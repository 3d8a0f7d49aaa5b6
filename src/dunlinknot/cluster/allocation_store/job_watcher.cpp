// The watch loop, and relisting after the watch fell too far behind.
#include "dunlinknot/cluster/allocation_store/job_watcher.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace dunlinknot::cluster {

namespace {

// How long a watch request waits for changes. A response without changes also extends the leader's
// renewal window, so responses must be frequent.
constexpr Millis kWatchBlockTime{1000};

}  // namespace

void JobWatcher::begin(const ListingStart& start) {
  revision_ = start.revision;
  access_.handler.on_cancellations_applied(start.sent);
}

void JobWatcher::apply_cancellation(const std::string& id) const {
  access_.context.follow_up(access_.context.leader_state.with(
      [&](LeaderState& leader) { return jobs_.close_removed(leader, id); }));
}

Effects JobWatcher::apply(const kv::Change& change) const {
  if (change.deleted) {
    const std::string id(wire::after_prefix(change.key, wire::kJobPrefix));
    return access_.context.leader_state.with(
        [&](LeaderState& leader) { return jobs_.close_removed(leader, id); });
  }
  jobs_.apply({change.key, change.value, change.mod_revision, 0});
  Effects effects;
  effects.schedule = true;
  return effects;
}

Task<void> JobWatcher::run(uint64_t term) {
  LeaderContext& context = access_.context;
  while (context.in_term(term)) {
    const Instant sent = context.loop.now();
    const kv::WatchResult watch =
        co_await access_.store.watch(std::string(wire::kJobPrefix), revision_, kWatchBlockTime);
    if (!context.in_term(term)) co_return;
    if (watch.outcome != kv::Outcome::ok) {
      co_await context.loop.sleep(StoreAccess::kRetryDelay);
      continue;
    }
    if (watch.relist_required) {
      // The pause keeps the loop within the request rate if the next watch is answered the same.
      co_await context.loop.sleep(StoreAccess::kRetryDelay);
      if (!context.in_term(term)) co_return;
      const bool relisted = co_await relist(term);
      if (!relisted) co_return;
      continue;
    }
    Effects effects;
    for (const kv::Change& change : watch.changes) effects |= apply(change);
    revision_ = std::max(revision_, watch.revision);
    access_.handler.on_cancellations_applied(sent);
    context.follow_up(effects);
  }
}

// Lists all jobs again, because the changes since `revision_` are no longer available. Returns
// false if the term ended.
Task<bool> JobWatcher::relist(uint64_t term) {
  std::set<std::string> listed;
  const StateLoader::Visit visit = [&](const kv::KeyValue& item) {
    listed.insert(std::string(wire::after_prefix(item.key, wire::kJobPrefix)));
    jobs_.apply(item);
  };
  const auto start = co_await loader_.list(term, std::string(wire::kJobPrefix), visit);
  if (!start) co_return false;
  // Only this watch adds jobs, so all known jobs existed before the listing, and one that is not
  // listed has ended. How it ended is not read: such a read could fail, and a cancellation would
  // stay unknown.
  Effects effects = access_.context.leader_state.with([&](LeaderState& leader) {
    std::vector<std::string> removed;
    for (const auto& [id, job] : leader.cluster.jobs()) {
      if (!listed.contains(id)) removed.push_back(id);
    }
    Effects closed;
    for (const std::string& id : removed) closed |= jobs_.close_removed(leader, id);
    return closed;
  });
  effects.schedule = true;
  access_.context.follow_up(effects);
  begin(*start);
  co_return true;
}

}  // namespace dunlinknot::cluster
