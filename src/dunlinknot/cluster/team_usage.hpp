// What each team uses of the cluster, and the check of its limit.
#pragma once
#include <cstddef>
#include <vector>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// Allocations that are not queued, whether their tasks run yet or not.
struct TeamUsage {
  Resources used;
};

// By the index of the team in settings::Platform::teams. Negative indices, of teams that this
// platform does not know, have no limit and are not counted.
class TeamUsageTable {
 public:
  explicit TeamUsageTable(const std::vector<settings::Team>& teams)
      : teams_(teams), usage_(teams.size()) {}

  void clear();
  const TeamUsage& of(int team) const { return usage_[static_cast<size_t>(team)]; }
  void add(int team, const Resources& need);
  void remove(int team, const Resources& need);
  // Replaces what is kept of the teams' limits for gangs that wait; may be shorter than the teams.
  void reserve(std::vector<Resources> by_team) { reserved_ = std::move(by_team); }
  // Whether the team may use so much more, given its limit and what is reserved of it.
  bool allows(int team, const Resources& need) const;

 private:
  const std::vector<settings::Team>& teams_;
  std::vector<TeamUsage> usage_;
  std::vector<Resources> reserved_;
};

}  // namespace dunlinknot::cluster
