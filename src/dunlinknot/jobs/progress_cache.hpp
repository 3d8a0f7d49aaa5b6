// The task counts of open jobs that users see, as last received from the leader.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::jobs {

// Task counts of one open job.
struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;
};

// For display only: the counts may be several seconds old.
class ProgressCache {
 public:
  // Replaces all counts by those of a leader. Ignores counts of an earlier epoch.
  void replace(wire::peer::Progress progress);
  // Zero counts if the leader did not send the job.
  JobCounts counts(const std::string& id) const;

 private:
  uint64_t epoch_ = 0;
  std::unordered_map<std::string, JobCounts> jobs_;
};

}  // namespace dunlinknot::jobs
