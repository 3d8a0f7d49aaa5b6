// The resources that each team uses, and the check of its limit.
#pragma once
#include <cstddef>
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
  // Replaces the resources reserved within team limits for pending gangs, by team index. Teams
  // beyond the end of the vector have no reservation.
  void reserve(std::vector<Resources> by_team) { reserved_ = std::move(by_team); }
  // Whether the team may use `need` in addition, given its limit, its usage and its reservation.
  bool allows(int team, const Resources& need) const;

 private:
  const std::vector<settings::Team>& teams_;
  std::vector<TeamUsage> usage_;
  std::vector<Resources> reserved_;
};

}  // namespace dunlinknot::cluster
