// Following the open jobs while leading.
#pragma once
#include <string>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/state_loader.hpp"

namespace dunlinknot::cluster {

// Watches the records of jobs: submissions add one, cancellations delete it. Each answer, with
// changes or without, proves up to when all cancellations are known here (safety 2).
class JobWatcher {
 public:
  JobWatcher(const StoreAccess& access, const JobRecords& jobs, const StateLoader& loader)
      : access_(access), jobs_(jobs), loader_(loader) {}

  // All jobs have been read, from `start` on.
  void begin(const ListingStart& start);
  // Runs until the term ends.
  Task<void> run(uint64_t term);
  // Another node reports that the job was cancelled; the watch will show it too.
  void apply_cancellation(const std::string& id) const;
  // Every change of the open jobs up to this revision has been carried out here.
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
