// Deletes obsolete records from the key-value store.
#pragma once
#include <deque>
#include <vector>

#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// Collects obsolete records (progress of closed jobs, records of removed machines) and deletes them
// while the write budget has slack and this node may delete records. An obsolete record does no
// harm except that a new leader reads it unnecessarily.
class RecordCleaner {
 public:
  explicit RecordCleaner(const StoreAccess& access) : access_(access) {}
  void add(ObsoleteRecord record) { obsolete_.push_back(std::move(record)); }
  void clear() { obsolete_.clear(); }
  // Deletes a batch. Returns whether there may be more to delete immediately.
  Task<bool> delete_some(uint64_t term);

 private:
  struct Batch {
    std::vector<ObsoleteRecord> records;
    kv::Transaction txn;
  };
  void collect_obsolete();
  Batch next_batch(std::vector<kv::Compare> compares);
  Task<void> requeue(uint64_t term, Batch batch, kv::TransactionResult result);

  const StoreAccess& access_;
  std::deque<ObsoleteRecord> obsolete_;
};

}  // namespace dunlinknot::cluster
