// The limits that apply to all components of the allocation store.
#include "dunlinknot/cluster/allocation_store/store_access.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

// The share of the write burst that is reserved for users' requests.
constexpr double kUserReserveShare = 0.2;
// A transaction waits for at most this share of the write burst.
constexpr double kMaxBurstShare = 0.25;
// Writes that can be delayed are allowed if more than this share of the write burst is left.
constexpr double kSlackShare = 0.6;
constexpr Millis kMinPause{2};  // between checks of the write budget

}  // namespace

size_t StoreAccess::max_writes() const {
  return std::min(store.limits().txn_ops(), kMaxWrites);
}

size_t StoreAccess::max_compares() const {
  return std::min(store.limits().max_compares(), kMaxCompares);
}

bool StoreAccess::has_slack() const {
  return store.available_writes() >= store.write_burst() * kSlackShare;
}

// Without the reserve, the allocations of a large cluster would leave no write budget for
// submissions at this node.
Task<void> StoreAccess::await_budget(uint64_t term, double writes) const {
  const double burst = store.write_burst();
  const double want = std::min(writes, burst * kMaxBurstShare) + burst * kUserReserveShare;
  while (context.in_term(term) && store.available_writes() < want) {
    co_await context.loop.sleep(std::max<Nanos>(store.time_until_writes(want), kMinPause));
  }
}

bool StoreAccess::superseded(const kv::TransactionResult& result) const {
  if (!result.compare_failed(wire::kEpochKey)) return false;
  handler.on_epoch_superseded();
  return true;
}

}  // namespace dunlinknot::cluster
