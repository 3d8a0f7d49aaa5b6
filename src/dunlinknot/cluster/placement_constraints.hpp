// The placement constraints of a job: allowed machine types, zone, spot machines, and the
// distribution of its tasks over zones. Every decision that places a task, or plans to, must check
// them (safety 4: zones and constraints are counted over allocations).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// Whether the job may run on machines of this type.
bool type_allowed(const JobSpec& spec, std::string_view type);
// Whether the job may run on machines of this type in this zone, spot or not, regardless of where
// its other tasks are.
bool pool_allowed(const JobSpec& spec, std::string_view type, std::string_view zone, bool spot);

// Counts the tasks that a job has, or is planned to have, in each zone, and computes how many more
// it may have there. Tasks are counted only for jobs with a zone constraint; for all others `add`
// and `remove` do nothing. `spec` must outlive this object.
class PlacementConstraints {
 public:
  explicit PlacementConstraints(const JobSpec& spec) : spec_(&spec) {}

  // Whether the zones allowed for a task depend on the job's other tasks.
  bool has_zone_constraint() const { return spec_->one_zone || spec_->spread; }
  void add(std::string_view zone, uint32_t tasks);
  void remove(std::string_view zone, uint32_t tasks);
  // How many more tasks the job may have in this zone.
  uint32_t tasks_allowed(std::string_view zone) const;

 private:
  const JobSpec* spec_;
  std::map<std::string, uint32_t, std::less<>> tasks_by_zone_;  // without zero counts
};

// The maximum number of tasks per zone for a job with the spread constraint: half of its tasks,
// rounded up.
uint32_t max_tasks_per_zone(const JobSpec& spec);

}  // namespace dunlinknot::cluster
