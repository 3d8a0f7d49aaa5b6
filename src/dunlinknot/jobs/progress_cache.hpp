// The counts of open jobs that users see, as the leader last sent them.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::jobs {

// Tasks of one open job.
struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;
};

// For display only: the counts may be seconds old.
class ProgressCache {
 public:
  // Takes a leader's counts in place of all earlier ones; ignores those of an earlier epoch.
  void replace(wire::peer::Progress progress);
  // Zeros when the leader did not send the job.
  JobCounts counts(const std::string& id) const;

 private:
  uint64_t epoch_ = 0;
  std::unordered_map<std::string, JobCounts> jobs_;
};

}  // namespace dunlinknot::jobs
