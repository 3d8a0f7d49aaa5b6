// Applying the stored records of jobs to the leader's state.
#pragma once
#include <string>

#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// A job is open as long as its record exists. Used by whatever reads these records: loading,
// watching, and the writers whose compare on one failed.
class JobRecords {
 public:
  explicit JobRecords(const StoreAccess& access) : access_(access) {}
  // An open job's record, new or changed. One that cannot be read is logged and left alone.
  void apply(const kv::KeyValue& item) const;
  // The job's record was deleted: the job was cancelled, or is done. Runs under the lock.
  Effects close_removed(LeaderState& leader, const std::string& id) const;
  // Reads whether the job is still open, after a compare on its record failed or its transaction
  // had an unknown outcome. Leaves the job as it was when there is no answer.
  Task<void> reread(uint64_t term, std::string id) const;

 private:
  void close(const std::string& id, const kv::GetResult& end) const;

  const StoreAccess& access_;
};

}  // namespace dunlinknot::cluster
