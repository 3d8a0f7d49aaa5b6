// Loads a new leader's state from the key-value store.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"

namespace dunlinknot::cluster {

// The revision of a listing's first page and the time of its request. The items of the listing are
// at least this recent.
struct ListingStart {
  uint64_t revision = 0;
  Instant sent{};
};

// Lists the records at failover: open jobs, their progress, and machines with their allocations.
class StateLoader {
 public:
  StateLoader(const StoreAccess& access, const JobRecords& jobs, RecordCleaner& cleaner)
      : access_(access), jobs_(jobs), cleaner_(cleaner) {}

  // Reads all records that a new leader needs, and passes the obsolete ones to the cleaner. Returns
  // the start of the watch on the jobs; empty if the term ended meanwhile.
  Task<std::optional<ListingStart>> load(uint64_t term);

  using Visit = std::function<void(const kv::KeyValue&)>;
  // Calls `visit` for each key with the prefix, in order. Failed reads of a page are retried until
  // the term ends. Returns an empty result if the term ended.
  Task<std::optional<ListingStart>> list(uint64_t term, std::string prefix, Visit visit) const;

 private:
  void apply_progress(const kv::KeyValue& item);
  void apply_machine(const kv::KeyValue& item) const;

  const StoreAccess& access_;
  const JobRecords& jobs_;
  RecordCleaner& cleaner_;
};

}  // namespace dunlinknot::cluster
