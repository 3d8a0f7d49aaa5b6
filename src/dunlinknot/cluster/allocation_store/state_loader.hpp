// Reading a new leader's state from the key-value store.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"

namespace dunlinknot::cluster {

// Of a listing's first page: what the listing shows is at least this new.
struct ListingStart {
  uint64_t revision = 0;
  Instant sent{};
};

// Lists records at failover: open jobs, their progress, and what is allocated on the machines.
class StateLoader {
 public:
  StateLoader(const StoreAccess& access, const JobRecords& jobs, RecordCleaner& cleaner)
      : access_(access), jobs_(jobs), cleaner_(cleaner) {}

  // Reads everything a new leader needs, and finds the dead records. Returns where the watch on the
  // jobs begins; empty when the term ended meanwhile.
  Task<std::optional<ListingStart>> load(uint64_t term);

  using Visit = std::function<void(const kv::KeyValue&)>;
  // Calls `visit` for each key under a prefix, in order. A page without an answer is asked for
  // again until the term ends; then the result is empty.
  Task<std::optional<ListingStart>> list(uint64_t term, std::string prefix, Visit visit) const;

 private:
  void apply_progress(const kv::KeyValue& item);
  void apply_machine(const kv::KeyValue& item) const;

  const StoreAccess& access_;
  const JobRecords& jobs_;
  RecordCleaner& cleaner_;
};

}  // namespace dunlinknot::cluster
