// Deleting records that nothing refers to any more.
#pragma once
#include <deque>
#include <vector>

#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// Collects the dead records (progress of closed jobs, machines that were removed) and deletes them
// when the budget has slack and this node may do so. A dead record does no harm: a new leader only
// reads more than it needs.
class RecordCleaner {
 public:
  explicit RecordCleaner(const StoreAccess& access) : access_(access) {}
  void add(DeadRecord record) { dead_.push_back(std::move(record)); }
  void clear() { dead_.clear(); }
  // Deletes a batch. Returns whether there may be more to delete at once.
  Task<bool> delete_some(uint64_t term);

 private:
  struct Batch {
    std::vector<DeadRecord> records;
    kv::Transaction txn;
  };
  void collect_dead();
  Batch next_batch(std::vector<kv::Compare> compares);
  Task<void> requeue(uint64_t term, Batch batch, kv::TransactionResult result);

  const StoreAccess& access_;
  std::deque<DeadRecord> dead_;
};

}  // namespace dunlinknot::cluster
