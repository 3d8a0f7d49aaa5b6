// The order in which jobs are considered: due times, and the bound on waiting.
#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

namespace {

constexpr Seconds kMostWait{120};  // for the first task of a job
constexpr Seconds kMostLate{240};  // beyond its due time

}  // namespace

SchedulingCycle::Due SchedulingCycle::due(const Job& job) const {
  const JobSpec& spec = job.spec();
  const double age = std::chrono::duration<double>(wall_ - job.submitted()).count();
  if (!spec.deadline) {
    for (const auto& o : platform_.objectives) {
      if (o.kind == "wait" && o.job_class == spec.job_class)
        return {o.within.count() - waited(job), false};
    }
    return {kNoDeadline.count() - waited(job), false};
  }
  const double run = spec.estimate.count() * (job.done_count() > 0 ? 0.5 : 1.0);
  std::vector<double> times{1.0};
  for (const auto& o : platform_.objectives) {
    if (o.kind == "deadline" && o.job_class == spec.job_class) times.push_back(o.times);
  }
  std::sort(times.begin(), times.end());
  for (const double t : times) {
    const double left = spec.deadline->count() * t - age;
    if (left >= run) return {left, false};
  }
  return {spec.deadline->count() - age, true};
}

double SchedulingCycle::most_wait(const JobSpec& spec) const {
  double most = kMostWait.count();
  for (const auto& o : platform_.objectives) {
    if (o.kind != "wait" || o.job_class != spec.job_class || o.within <= kRoomTakes) continue;
    most = std::min(most, o.within.count() / 2);
  }
  return most;
}

bool SchedulingCycle::overdue(const Job& job) const {
  const double age = waited(job);
  if (job.done_count() == 0 && job.live_count() == job.queued_tasks)
    return age > most_wait(job.spec());
  if (job.spec().service) return false;
  const double due = job.spec().deadline ? job.spec().deadline->count() : kNoDeadline.count();
  return age > due + kMostLate.count();
}

std::vector<SchedulingCycle::Waiting> SchedulingCycle::queue() const {
  std::vector<Waiting> q;
  for (const auto& [id, job] : cluster_.jobs()) {
    const bool waits = job->pending() + job->queued_tasks > 0 || replicas_leaving(*job) > 0;
    if (!waits || now_ < job->not_before || job->team() < 0) continue;
    const Due due_time = due(*job);
    q.push_back({job.get(), guaranteed_.contains(id), due_time.in, due_time.late, overdue(*job)});
  }
  // Priority first, then what a guarantee covers, then what is due first. What is late whatever
  // happens waits behind what can still be in time: else, when more comes than can be done, every
  // job is brought to its end a little too late. But no job waits for ever: what is overdue goes
  // before all else.
  std::sort(q.begin(), q.end(), [](const Waiting& x, const Waiting& y) {
    const cluster::QueuePosition position = x.queue_position(), b = y.queue_position();
    if (position.before(b) || b.before(position)) return position.before(b);
    return x.job->spec().id < y.job->spec().id;
  });
  return q;
}

std::set<std::string> within_guarantee(const Cluster& cluster) {
  std::vector<std::vector<const Job*>> by_team(cluster.teams().size());
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->team() >= 0) by_team[static_cast<size_t>(job->team())].push_back(job.get());
  }
  std::set<std::string> out;
  for (size_t t = 0; t < by_team.size(); ++t) {
    const auto& team = cluster.teams()[t];
    auto& jobs = by_team[t];
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return std::pair(a->submitted(), a->spec().id) < std::pair(b->submitted(), b->spec().id);
    });
    Resources sum;
    for (const Job* job : jobs) {
      const Resources all = job->spec().need * job->unfinished();
      sum += all;
      const auto dim = [](double guarantee, double total, double mine, bool& uses) {
        if (mine <= 0 || guarantee <= 0) return true;
        uses = true;
        return total <= guarantee + Resources::kSlack;
      };
      bool uses = false;
      const bool fits =
          dim(team.cpus, sum.cpus, all.cpus, uses) & dim(team.gpus, sum.gpus, all.gpus, uses);
      if (fits && uses) out.insert(job->spec().id);
    }
  }
  return out;
}

}  // namespace dunlinknot::scheduler
