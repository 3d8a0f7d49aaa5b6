// Watches the open jobs while this node is the leader.
#pragma once
#include <string>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/state_loader.hpp"

namespace dunlinknot::cluster {

// Watches the records of jobs: submissions add a record, cancellations delete it. Each response to
// the watch, with or without changes, proves that all cancellations up to the time of the request
// are known here (safety 2: the tasks of a cancelled job end within `cancel_s`).
class JobWatcher {
 public:
  JobWatcher(const StoreAccess& access, const JobRecords& jobs, const StateLoader& loader)
      : access_(access), jobs_(jobs), loader_(loader) {}

  // Starts from a complete listing of the jobs that began at `start`.
  void begin(const ListingStart& start);
  // Runs until the term ends.
  Task<void> run(uint64_t term);
  // Applies a cancellation that another node reported, before the watch delivers it.
  void apply_cancellation(const std::string& id) const;
  // All changes of the open jobs up to this revision have been applied to the leader's state.
  uint64_t revision() const { return revision_; }

 private:
  Effects apply(const kv::Change& change) const;
  Task<bool> relist(uint64_t term);

  const StoreAccess& access_;
  const JobRecords& jobs_;
  const StateLoader& loader_;
  uint64_t revision_ = 0;
};

}  // namespace dunlinknot::cluster
