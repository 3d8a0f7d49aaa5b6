// Where the tasks of one job may go: its machine types, its zone, spot machines or not, and how its
// tasks may be divided among zones. Every decision that puts a task on a machine, or plans to,
// asks here (safety 4).
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
// Whether the job may run on machines of this type in this zone, spot or not, as far as that does
// not depend on where its other tasks are.
bool pool_allowed(const JobSpec& spec, std::string_view type, std::string_view zone, bool spot);

// Counts the tasks that a job has, or is promised, in each zone and computes how many more it may
// have there. Only jobs with a rule about zones are counted; for all others `add` and `remove` do
// nothing. Refers to the job's description, which must outlive it.
class PlacementConstraints {
 public:
  explicit PlacementConstraints(const JobSpec& spec) : spec_(&spec) {}

  // Whether it matters where the job's other tasks are.
  bool has_zone_constraint() const { return spec_->one_zone || spec_->spread; }
  void add(std::string_view zone, uint32_t tasks);
  void remove(std::string_view zone, uint32_t tasks);
  // How many more tasks the job may have in this zone.
  uint32_t tasks_allowed(std::string_view zone) const;

 private:
  const JobSpec* spec_;
  std::map<std::string, uint32_t, std::less<>> tasks_by_zone_;  // none of them zero
};

// The most tasks that a job whose tasks are to be spread may have in one zone: half, rounded up.
uint32_t max_tasks_per_zone(const JobSpec& spec);

}  // namespace dunlinknot::cluster
