// The limits that all parts of the allocation store keep to.
#include "dunlinknot/cluster/allocation_store/store_access.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMostWrites = 16;      // of a transaction, also where the store allows more
constexpr double kUserReserve = 0.2;    // of the write budget's burst, left to the users' requests
constexpr double kLargestShare = 0.25;  // of the burst, that a transaction waits for at most
constexpr double kSlackLevel = 0.6;     // of the burst: what can wait is written above this
constexpr Millis kLeastPause{2};        // while waiting for the budget

}  // namespace

size_t StoreAccess::max_writes() const {
  return std::min(store.limits().txn_ops(), kMostWrites);
}

bool StoreAccess::has_slack() const {
  return store.available_writes() >= store.write_burst() * kSlackLevel;
}

// Without the reserve the allocations of a large cluster crowd the submissions at this node out.
Task<void> StoreAccess::await_budget(uint64_t term, double writes) const {
  const double burst = store.write_burst();
  const double want = std::min(writes, burst * kLargestShare) + burst * kUserReserve;
  while (context.in_term(term) && store.available_writes() < want) {
    co_await context.loop.sleep(std::max<Nanos>(store.time_until_writes(want), kLeastPause));
  }
}

bool StoreAccess::superseded(const kv::TransactionResult& result) const {
  if (!result.compare_failed(wire::kEpochKey)) return false;
  handler.on_epoch_superseded();
  return true;
}

}  // namespace dunlinknot::cluster
