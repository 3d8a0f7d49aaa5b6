// The resources that each team uses, and the check of its limit.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// The resources of all allocations that are not queued, whether or not their tasks are already
// running.
struct TeamUsage {
  Resources used;
};

// Indexed like settings::Platform::teams. A negative index stands for a team that is not configured
// there, which has no limit and is not counted.
class TeamUsageTable {
 public:
  explicit TeamUsageTable(const std::vector<settings::Team>& teams)
      : teams_(teams), usage_(teams.size()) {}

  void clear();
  const TeamUsage& of(int team) const { return usage_[static_cast<size_t>(team)]; }
  void add(int team, const Resources& need);
  void remove(int team, const Resources& need);
  // Replaces the allowances, by team index: what a team whose limit is reserved for a waiting gang
  // may use in addition, whatever becomes free. Resources added later are subtracted. The usage of
  // other teams and of teams beyond the end of the vector is bounded by the limit only.
  void set_allowances(std::vector<std::optional<Resources>> by_team) {
    allowances_ = std::move(by_team);
  }
  // Whether the team may use `need` in addition, given its limit, its usage and its allowance.
  bool allows(int team, const Resources& need) const;

 private:
  const std::vector<settings::Team>& teams_;
  std::vector<TeamUsage> usage_;
  std::vector<std::optional<Resources>> allowances_;
};

}  // namespace dunlinknot::cluster
