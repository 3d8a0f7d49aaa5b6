// Checks of machine types and pools, and the counts of tasks per zone.
#include "dunlinknot/cluster/placement_constraints.hpp"

#include <algorithm>
#include <limits>

namespace dunlinknot::cluster {

bool type_allowed(const JobSpec& spec, std::string_view type) {
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

bool pool_allowed(const JobSpec& spec, std::string_view type, std::string_view zone, bool spot) {
  return type_allowed(spec, type) && (!spec.zone || *spec.zone == zone) && (!spot || spec.spot);
}

uint32_t max_tasks_per_zone(const JobSpec& spec) {
  return (spec.tasks + 1) / 2;
}

void PlacementConstraints::add(std::string_view zone, uint32_t tasks) {
  if (!has_zone_constraint() || tasks == 0) return;
  const auto it = tasks_by_zone_.find(zone);
  if (it == tasks_by_zone_.end()) {
    tasks_by_zone_.emplace(zone, tasks);
  } else {
    it->second += tasks;
  }
}

void PlacementConstraints::remove(std::string_view zone, uint32_t tasks) {
  const auto it = tasks_by_zone_.find(zone);
  if (it == tasks_by_zone_.end()) return;
  it->second -= std::min(it->second, tasks);
  if (it->second == 0) tasks_by_zone_.erase(it);
}

uint32_t PlacementConstraints::tasks_allowed(std::string_view zone) const {
  const auto entry = tasks_by_zone_.find(zone);
  const bool any_here = entry != tasks_by_zone_.end();
  const bool any_elsewhere = tasks_by_zone_.size() > (any_here ? 1 : 0);
  if (spec_->one_zone && any_elsewhere) return 0;
  if (!spec_->spread) return std::numeric_limits<uint32_t>::max();
  const uint32_t max_tasks = max_tasks_per_zone(*spec_);
  const uint32_t used = any_here ? entry->second : 0;
  return used < max_tasks ? max_tasks - used : 0;
}

}  // namespace dunlinknot::cluster
