// Computes usage against the teams' limits and guarantees, in tasks and in resources.
#include "dunlinknot/scheduler/team_quotas.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

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
  victim_usage_.resize(used_.size());
}

uint32_t TeamQuotas::tasks_allowed(const Job& job) const {
  const auto team = static_cast<size_t>(job.team());
  return tasks_below_limit(cluster_.teams()[team], used_[team], job.spec().need);
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
