// Computes usage against the teams' limits and guarantees, in tasks and in resources.
#include "dunlinknot/scheduler/team_quotas.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "dunlinknot/preemption/fit.hpp"
#include "dunlinknot/scheduler/task_ends.hpp"

namespace dunlinknot::scheduler {

namespace {

// Usage is multiplied by this factor before a team counts as well below its limit.
constexpr double kUsageMarginFactor = 1.05;

uint32_t tasks_below_limit(const settings::Team& team, const Resources& used,
                           const Resources& need) {
  double tasks = std::numeric_limits<uint32_t>::max();
  const auto limit = [&](double max, double in_use, double per_task) {
    if (max <= 0 || per_task <= 0) return;  // 0: no limit
    tasks = std::min(tasks, std::floor((max - in_use + Resources::kTolerance) / per_task));
  };
  limit(team.cpus_max, used.cpus, need.cpus);
  limit(team.gpus_max, used.gpus, need.gpus);
  return tasks <= 0 ? 0 : static_cast<uint32_t>(tasks);
}

// Stands for the excess over a limit that does not exist.
constexpr double kUnlimited = -std::numeric_limits<double>::max() / 4;

// Whether so many resources are freed that an excess over a team's limit ends.
bool is_covered(const Resources& excess, const Resources& freed) {
  return excess.cpus <= freed.cpus + Resources::kTolerance &&
         excess.gpus <= freed.gpus + Resources::kTolerance;
}

// How many tasks fit into an allowance.
uint32_t tasks_within(const Resources& allowance, const Resources& need) {
  // Teams have no limit on memory.
  const Resources room{std::max(0.0, allowance.cpus), std::max(0.0, allowance.gpus),
                       std::numeric_limits<double>::max()};
  return preemption::tasks_that_fit_in(room, need, std::numeric_limits<uint32_t>::max());
}

// Whether the guarantee covers `job`, the last of the jobs that need `sum` in total: `sum` must be
// within the guarantee for each resource that the job needs and that is guaranteed, and there must
// be at least one such resource.
bool covered_by_guarantee(const settings::Team& guarantee, const Resources& sum,
                          const Resources& job) {
  bool uses_guarantee = false;
  const auto within = [&](double guaranteed, double total, double needed) {
    if (needed <= 0 || guaranteed <= 0) return true;
    uses_guarantee = true;
    return total <= guaranteed + Resources::kTolerance;
  };
  const bool cpus_within = within(guarantee.cpus, sum.cpus, job.cpus);
  const bool gpus_within = within(guarantee.gpus, sum.gpus, job.gpus);
  return cpus_within && gpus_within && uses_guarantee;
}

}  // namespace

TeamQuotas::TeamQuotas(const Cluster& cluster) : cluster_(cluster) {
  for (size_t team = 0; team < cluster.teams().size(); ++team) {
    used_.push_back(cluster.usage(static_cast<int>(team)).used);
  }
  placed_.resize(used_.size());
  allowances_.resize(used_.size());
  victim_usage_.resize(used_.size());
}

uint32_t TeamQuotas::tasks_allowed(const Job& job) const {
  const auto team = static_cast<size_t>(job.team());
  const Resources& need = job.spec().need;
  const uint32_t tasks = tasks_below_limit(cluster_.teams()[team], used_[team], need);
  return allowances_[team] ? std::min(tasks, tasks_within(*allowances_[team], need)) : tasks;
}

void TeamQuotas::charge(const Job& job, uint32_t tasks) {
  const auto team = static_cast<size_t>(job.team());
  const Resources needed = job.spec().need * tasks;
  used_[team] += needed;
  if (!job.spec().service) placed_[team] += needed;
  if (allowances_[team]) *allowances_[team] -= needed;
}

Resources TeamQuotas::excess_of(const Job& gang) const {
  const auto team = static_cast<size_t>(gang.team());
  const settings::Team& limit = cluster_.teams()[team];
  const Resources sum = used_[team] + gang.spec().need * gang.spec().tasks;
  Resources excess = sum - Resources{limit.cpus_max, limit.gpus_max, sum.memory_gb};
  // 0: no limit
  if (limit.cpus_max <= 0 || gang.spec().need.cpus <= 0) excess.cpus = kUnlimited;
  if (limit.gpus_max <= 0 || gang.spec().need.gpus <= 0) excess.gpus = kUnlimited;
  return excess;
}

Resources TeamQuotas::used_by_services(int team) const {
  Resources used;
  for (const auto& [id, machine] : cluster_.machines()) {
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.team == team && allocation.service) used += allocation.need;
    }
  }
  return used;
}

bool TeamQuotas::allows_once_jobs_end(const Job& gang) const {
  const Resources excess = excess_of(gang);
  if (is_covered(excess, {})) return true;
  const auto team = static_cast<size_t>(gang.team());
  return is_covered(excess, used_[team] - used_by_services(gang.team()));
}

std::vector<TeamQuotas::ExpectedEnd> TeamQuotas::expected_ends(int team, Instant now) const {
  std::vector<ExpectedEnd> ends;
  std::map<std::string, ExpectedEnd> gangs;
  for (const auto& [id, machine] : cluster_.machines()) {
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.team != team || allocation.queued || allocation.service) continue;
      const double in_seconds = seconds_until_end(allocation, now);
      if (!allocation.gang) {
        ends.push_back({in_seconds, allocation.need});
        continue;
      }
      ExpectedEnd& gang = gangs[allocation.task.job];
      gang.in_seconds = std::max(gang.in_seconds, in_seconds);
      gang.freed += allocation.need;
    }
  }
  for (const auto& [id, gang] : gangs) ends.push_back(gang);
  std::stable_sort(ends.begin(), ends.end(), [](const ExpectedEnd& a, const ExpectedEnd& b) {
    return a.in_seconds < b.in_seconds;
  });
  // The tasks that were placed in this cycle end last.
  ends.push_back({std::numeric_limits<double>::max(), placed_[static_cast<size_t>(team)]});
  return ends;
}

void TeamQuotas::reserve_for_gang(const Job& gang, Instant now) {
  const auto team = static_cast<size_t>(gang.team());
  if (allowances_[team]) return;
  const Resources excess = excess_of(gang);
  Resources freed;
  for (const ExpectedEnd& end : expected_ends(gang.team(), now)) {
    freed += end.freed;
    if (!is_covered(excess, freed)) continue;
    allowances_[team] = freed - excess;
    return;
  }
}

bool TeamQuotas::well_below_limit(const Job& job) const {
  const auto team = static_cast<size_t>(job.team());
  return tasks_below_limit(cluster_.teams()[team], used_[team] * kUsageMarginFactor,
                           job.spec().need) > 0;
}

std::vector<Resources> TeamQuotas::over_guarantee() const {
  std::vector<Resources> over_guarantee;
  for (size_t team = 0; team < used_.size(); ++team) {
    const settings::Team& guarantee = cluster_.teams()[team];
    Resources over = used_[team] - victim_usage_[team];
    over.cpus = std::max(0.0, over.cpus - guarantee.cpus);
    over.gpus = std::max(0.0, over.gpus - guarantee.gpus);
    over_guarantee.push_back(over);
  }
  return over_guarantee;
}

std::set<std::string> jobs_within_guarantee(const Cluster& cluster) {
  std::vector<std::vector<const Job*>> jobs_by_team(cluster.teams().size());
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->team() >= 0) jobs_by_team[static_cast<size_t>(job->team())].push_back(job.get());
  }
  std::set<std::string> guaranteed;
  for (size_t team = 0; team < jobs_by_team.size(); ++team) {
    auto& jobs = jobs_by_team[team];
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      if (a->submitted() != b->submitted()) return a->submitted() < b->submitted();
      return a->spec().id < b->spec().id;
    });
    Resources sum;
    for (const Job* job : jobs) {
      const Resources needed = job->spec().need * job->unfinished();
      sum += needed;
      if (covered_by_guarantee(cluster.teams()[team], sum, needed))
        guaranteed.insert(job->spec().id);
    }
  }
  return guaranteed;
}

}  // namespace dunlinknot::scheduler
