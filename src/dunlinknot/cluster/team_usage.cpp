// Accounting of team usage and the check of team limits.
#include "dunlinknot/cluster/team_usage.hpp"

namespace dunlinknot::cluster {

void TeamUsageTable::clear() {
  usage_.assign(teams_.size(), TeamUsage{});
  allowances_.clear();
}

void TeamUsageTable::add(int team, const Resources& need) {
  if (team < 0) return;
  const auto index = static_cast<size_t>(team);
  usage_[index].used += need;
  if (index < allowances_.size() && allowances_[index]) *allowances_[index] -= need;
}

void TeamUsageTable::remove(int team, const Resources& need) {
  if (team >= 0) usage_[static_cast<size_t>(team)].used -= need;
}

bool TeamUsageTable::allows(int team, const Resources& need) const {
  if (team < 0) return true;
  const auto index = static_cast<size_t>(team);
  const Resources used = usage_[index].used + need;
  if (index < allowances_.size() && allowances_[index]) {
    const Resources& allowance = *allowances_[index];
    const auto exceeds = [](double allowed, double needed) {
      return needed > 0 && needed > allowed + Resources::kTolerance;
    };
    if (exceeds(allowance.cpus, need.cpus) || exceeds(allowance.gpus, need.gpus)) return false;
  }
  const auto over = [](double max, double in_use, double needed) {
    return max > 0 && needed > 0 && in_use > max + Resources::kTolerance;
  };
  const settings::Team& limit = teams_[index];
  return !over(limit.cpus_max, used.cpus, need.cpus) && !over(limit.gpus_max, used.gpus, need.gpus);
}

}  // namespace dunlinknot::cluster
