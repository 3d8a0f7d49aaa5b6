// Usage of the teams' limits and guarantees during a scheduling cycle.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/scheduler/cycle_inputs.hpp"

namespace dunlinknot::scheduler {

// Usage by team: initially what is allocated, increased by each decision of the cycle.
class TeamQuotas {
 public:
  explicit TeamQuotas(const Cluster& cluster);

  // The team's current usage, which includes victims until they have ended (safety 4: team
  // limits are counted over allocations).
  const Resources& used(int team) const { return used_[static_cast<size_t>(team)]; }
  // How many more tasks of the job its team's limit allows.
  uint32_t tasks_allowed(const Job& job) const;
  // Whether the team is well below its limit, not just below it because some tasks ended recently.
  bool well_below_limit(const Job& job) const;
  // Adds tasks of the job to its team's usage.
  void charge(const Job& job, uint32_t tasks) {
    used_[static_cast<size_t>(job.team())] += job.spec().need * tasks;
  }
  // Subtracts a victim of this cycle from the team's usage, for over_guarantee() only.
  void count_victim(int team, const Resources& need) {
    victim_usage_[static_cast<size_t>(team)] += need;
  }
  // By team: the usage beyond its guarantee, without this cycle's victims; never negative.
  std::vector<Resources> over_guarantee() const;
  size_t team_count() const { return used_.size(); }

 private:
  const Cluster& cluster_;
  std::vector<Resources> used_;
  std::vector<Resources> victim_usage_;
};

// The ids of the jobs that fit into their team's guarantee together with the team's earlier
// unfinished jobs.
std::set<std::string> jobs_within_guarantee(const Cluster& cluster);

}  // namespace dunlinknot::scheduler
