// Bounded in-memory cache of terminal job states, with first-in-first-out eviction.
#include "dunlinknot/jobs/final_cache.hpp"

namespace dunlinknot::jobs {

bool FinalCache::put(const std::string& id, wire::FinalRecord record) {
  if (capacity_ == 0) return true;
  if (!records_.emplace(id, record).second) return false;
  oldest_first_.push_back(id);
  if (oldest_first_.size() > capacity_) {
    records_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  return true;
}

const wire::FinalRecord* FinalCache::find(const std::string& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

}  // namespace dunlinknot::jobs
