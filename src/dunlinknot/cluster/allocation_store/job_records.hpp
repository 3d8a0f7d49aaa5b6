// Applies the stored records of jobs to the leader's state.
#pragma once
#include <string>

#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// A job is open as long as its record exists. Used wherever these records are read: when loading,
// when watching, and by writers after a failed compare on such a record.
class JobRecords {
 public:
  explicit JobRecords(const StoreAccess& access) : access_(access) {}
  // Applies a new or changed record of an open job. A record that cannot be decoded is logged and
  // ignored.
  void apply(const kv::KeyValue& item) const;
  // Closes a job whose record was deleted because it was cancelled or is done. Must be called under
  // the leader state's lock.
  Effects close_removed(LeaderState& leader, const std::string& id) const;
  // Reads whether the job is still open, after a compare on its record failed or its transaction
  // had an unknown outcome. Leaves the job unchanged if the read fails.
  Task<void> reread(uint64_t term, std::string id) const;

 private:
  void close(const std::string& id, const kv::GetResult& end) const;

  const StoreAccess& access_;
};

}  // namespace dunlinknot::cluster
