// Due times of jobs, the bounds on waiting, and the resulting queue order.
#include "dunlinknot/scheduler/job_queue.hpp"

#include <algorithm>

namespace dunlinknot::scheduler {

namespace {

// Bounds on waiting that hold for every queue position.
constexpr Seconds kMaxWaitForFirstTask{120};  // until the first task of a job starts
constexpr Seconds kMaxLateness{240};          // after the job's due time
// Assumed remaining run time of a job with completed tasks, as a share of its estimate.
constexpr double kRemainingRunShare = 0.5;

struct DueTime {
  double in_seconds = 0;  // seconds from now
  bool late = false;
};

double age_seconds(const CycleInputs& inputs, const Job& job) {
  return std::chrono::duration<double>(inputs.wall - job.submitted()).count();
}

// The due time by the nearest objective of the job's class that it can still meet.
DueTime due_time(const CycleInputs& inputs, const Job& job) {
  const JobSpec& spec = job.spec();
  if (!spec.deadline) {
    for (const auto& objective : inputs.platform.objectives) {
      if (objective.kind == "wait" && objective.job_class == spec.job_class)
        return {objective.time_limit.count() - waiting_seconds(inputs, job), false};
    }
    return {kDefaultDueTime.count() - waiting_seconds(inputs, job), false};
  }
  const double age = age_seconds(inputs, job);
  const double run_seconds =
      spec.estimate.count() * (job.done_count() > 0 ? kRemainingRunShare : 1.0);
  std::vector<double> deadline_factors{1.0};
  for (const auto& objective : inputs.platform.objectives) {
    if (objective.kind == "deadline" && objective.job_class == spec.job_class)
      deadline_factors.push_back(objective.deadline_factor);
  }
  std::sort(deadline_factors.begin(), deadline_factors.end());
  for (const double factor : deadline_factors) {
    const double seconds_left = spec.deadline->count() * factor - age;
    if (seconds_left >= run_seconds) return {seconds_left, false};
  }
  return {spec.deadline->count() - age, true};
}

// Seconds after which a job none of whose tasks has started is overdue. An objective for the start
// of the job's class lowers the bound to half of that objective, so that the job gets precedence
// well before the objective is missed. Objectives too short to add capacity do not lower it: the
// ordinary order meets them.
double max_wait_seconds(const CycleInputs& inputs, const JobSpec& spec) {
  double max_seconds = kMaxWaitForFirstTask.count();
  for (const auto& objective : inputs.platform.objectives) {
    if (objective.kind != "wait" || objective.job_class != spec.job_class ||
        objective.time_limit <= kTimeToNewCapacity)
      continue;
    max_seconds = std::min(max_seconds, objective.time_limit.count() / 2);
  }
  return max_seconds;
}

// A job is overdue when none of its tasks has started within the bound, or when it is late by more
// than the maximum lateness.
bool is_overdue(const CycleInputs& inputs, const Job& job) {
  const double waited_seconds = waiting_seconds(inputs, job);
  if (job.done_count() == 0 && job.live_count() == job.queued_tasks)
    return waited_seconds > max_wait_seconds(inputs, job.spec());
  if (job.spec().service) return false;
  const double due_seconds =
      job.spec().deadline ? job.spec().deadline->count() : kDefaultDueTime.count();
  return waited_seconds > due_seconds + kMaxLateness.count();
}

}  // namespace

std::vector<QueueEntry> queue_of_jobs(const CycleState& state) {
  const CycleInputs& inputs = state.inputs;
  std::vector<QueueEntry> queue;
  for (const auto& [id, job] : inputs.cluster.jobs()) {
    const bool waits =
        job->pending() + job->queued_tasks > 0 || replicas_leaving(inputs.cluster, *job) > 0;
    if (!waits || inputs.now < job->not_before || job->team() < 0) continue;
    const DueTime due = due_time(inputs, *job);
    queue.push_back({job.get(), state.guaranteed_jobs.contains(id), due.in_seconds, due.late,
                     is_overdue(inputs, *job)});
  }
  // Order: priority, then jobs covered by a guarantee, then the earliest due time. A job that can
  // no longer be on time waits behind those that can; otherwise, under overload, every job would
  // end slightly too late. Overdue jobs come first, so that no job waits forever.
  std::sort(queue.begin(), queue.end(), [](const QueueEntry& a, const QueueEntry& b) {
    const cluster::QueuePosition position_a = a.queue_position(), position_b = b.queue_position();
    if (position_a.before(position_b) || position_b.before(position_a))
      return position_a.before(position_b);
    return a.job->spec().id < b.job->spec().id;
  });
  return queue;
}

cluster::QueuePosition absolute_position(const QueueEntry& entry, Instant now) {
  cluster::QueuePosition position = entry.queue_position();
  position.due += to_seconds(now.time_since_epoch()).count();
  return position;
}

double waiting_seconds(const CycleInputs& inputs, const Job& job) {
  // A service may have run for a long time before it loses a replica; it waits only since then.
  if (job.spec().service && inputs.now > job.waiting_since)
    return to_seconds(inputs.now - job.waiting_since).count();
  return age_seconds(inputs, job);
}

uint32_t tasks_on(const Job& job, const Machine& machine) {
  const auto is_of_job = [&](const Allocation& allocation) {
    return allocation.task.job == job.spec().id;
  };
  return static_cast<uint32_t>(
      std::count_if(machine.allocations.begin(), machine.allocations.end(), is_of_job));
}

uint32_t replicas_leaving(const Cluster& cluster, const Job& job) {
  if (!job.spec().service) return 0;
  uint32_t leaving = 0;
  for (const Machine* machine : cluster.holders(job.spec().id)) {
    if (machine->interruption_at) leaving += tasks_on(job, *machine);
  }
  return leaving;
}

}  // namespace dunlinknot::scheduler
