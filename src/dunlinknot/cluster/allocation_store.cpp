// Loading the leader's records, and the loop that writes and cleans up the records of machines.
#include "dunlinknot/cluster/allocation_store.hpp"

namespace dunlinknot::cluster {

namespace {

// How often records that only lost entries are rewritten and obsolete ones are deleted, if the
// write budget has slack.
constexpr auto kCleanupInterval = std::chrono::seconds(4);

}  // namespace

AllocationStore::AllocationStore(LeaderContext& context, kv::Client& store,
                                 AllocationStoreHandler& handler)
    : access_{context, store, handler},
      jobs_(access_),
      cleaner_(access_),
      loader_(access_, jobs_, cleaner_),
      watcher_(access_, jobs_, loader_),
      machine_writer_(access_, jobs_, cleaner_),
      progress_writer_(access_, jobs_) {}

Task<bool> AllocationStore::load(uint64_t term) {
  const auto start = co_await loader_.load(term);
  if (!start) co_return false;
  watcher_.begin(*start);
  co_return true;
}

Task<void> AllocationStore::store_machines(uint64_t term) {
  LeaderContext& context = access_.context;
  Instant next_cleanup = context.loop.now() + kCleanupInterval;
  while (context.in_term(term)) {
    (void)co_await context.store_machines.wait_until(next_cleanup);
    const bool cleanup = context.loop.now() >= next_cleanup;
    if (cleanup) next_cleanup = context.loop.now() + kCleanupInterval;
    for (bool more = true; more && context.in_term(term);) {
      more = co_await machine_writer_.write_some(term, cleanup);
    }
    if (!cleanup) continue;
    for (bool more = true; more && context.in_term(term);) {
      more = co_await cleaner_.delete_some(term);
    }
  }
}

}  // namespace dunlinknot::cluster
