// Stores the most recent task counts of open jobs received from the leader.
#include "dunlinknot/jobs/progress_cache.hpp"

#include <utility>

namespace dunlinknot::jobs {

void ProgressCache::replace(wire::peer::Progress progress) {
  if (progress.epoch < epoch_) return;
  epoch_ = progress.epoch;
  jobs_.clear();
  for (auto& entry : progress.entries) jobs_[std::move(entry.id)] = {entry.done, entry.running};
}

JobCounts ProgressCache::counts(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? JobCounts{} : it->second;
}

}  // namespace dunlinknot::jobs
