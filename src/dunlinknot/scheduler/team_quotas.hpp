// Usage of the teams' limits and guarantees during a scheduling cycle.
#pragma once
#include <optional>
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
  // How many more tasks of the job its team's limit allows, beside what is reserved for a gang.
  uint32_t tasks_allowed(const Job& job) const;
  // Whether the team's limit will allow the whole gang once jobs of the team have ended. Services
  // do not end.
  bool allows_once_jobs_end(const Job& gang) const;
  // Reserves the team's limit for a gang that waits until jobs of the team end. From then on the
  // team may use only what remains of its limit when the gang can start, by the estimates of its
  // tasks. Has no effect if the limit can never allow the gang, or is reserved for another gang.
  void reserve_for_gang(const Job& gang, Instant now);
  // What the team may use in addition to its present usage, if its limit is reserved for a gang.
  const std::optional<Resources>& allowance(int team) const {
    return allowances_[static_cast<size_t>(team)];
  }
  // Whether the team is well below its limit, not just below it because some tasks ended recently.
  bool well_below_limit(const Job& job) const;
  // Adds tasks of the job to its team's usage.
  void charge(const Job& job, uint32_t tasks);
  // Subtracts a victim of this cycle from the team's usage, for over_guarantee() only.
  void count_victim(int team, const Resources& need) {
    victim_usage_[static_cast<size_t>(team)] += need;
  }
  // By team: the usage beyond its guarantee, without this cycle's victims; never negative.
  std::vector<Resources> over_guarantee() const;
  size_t team_count() const { return used_.size(); }

 private:
  // An amount that the team will have freed when jobs have ended.
  struct ExpectedEnd {
    double in_seconds = 0;
    Resources freed;
  };
  // The ends of the team's jobs, in order. The tasks of a gang end together.
  std::vector<ExpectedEnd> expected_ends(int team, Instant now) const;
  // By how much the gang exceeds the team's limit now; not positive where it does not.
  Resources excess_of(const Job& gang) const;
  Resources used_by_services(int team) const;

  const Cluster& cluster_;
  // By team:
  std::vector<Resources> used_;
  std::vector<Resources> placed_;  // by jobs, not services, in this cycle
  std::vector<std::optional<Resources>> allowances_;
  std::vector<Resources> victim_usage_;
};

// The ids of the jobs that fit into their team's guarantee together with the team's earlier
// unfinished jobs.
std::set<std::string> jobs_within_guarantee(const Cluster& cluster);

}  // namespace dunlinknot::scheduler
