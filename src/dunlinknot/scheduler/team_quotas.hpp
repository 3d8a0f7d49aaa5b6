// What teams use of their limits and guarantees in the course of a scheduling cycle.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/scheduler/cycle_inputs.hpp"

namespace dunlinknot::scheduler {

// Usage by team. It begins with what is allocated, and grows with each decision of the cycle.
class TeamQuotas {
 public:
  explicit TeamQuotas(const Cluster& cluster);

  // What the team uses now, victims that are still to leave included (safety 4).
  const Resources& used(int team) const { return used_[static_cast<size_t>(team)]; }
  // How many more tasks of the job its team's limit allows.
  uint32_t tasks_allowed(const Job& job) const;
  // Whether the team is clear of its limit, not just below it because some tasks ended a moment
  // ago.
  bool well_below_limit(const Job& job) const;
  // Counts further tasks of the job.
  void charge(const Job& job, uint32_t tasks) {
    used_[static_cast<size_t>(job.team())] += job.spec().need * tasks;
  }
  // Counts a victim of this cycle as given up, for over_guarantee() only.
  void count_victim(int team, const Resources& need) {
    victim_usage_[static_cast<size_t>(team)] += need;
  }
  // By team: what it uses beyond its guarantee, without what it gave up; never negative.
  std::vector<Resources> over_guarantee() const;
  size_t team_count() const { return used_.size(); }

 private:
  const Cluster& cluster_;
  std::vector<Resources> used_;
  std::vector<Resources> victim_usage_;
};

// The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::set<std::string> jobs_within_guarantee(const Cluster& cluster);

}  // namespace dunlinknot::scheduler
