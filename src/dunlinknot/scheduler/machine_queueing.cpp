// Decides how much work is queued on a machine and which tasks are queued there.
#include "dunlinknot/scheduler/machine_queueing.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::scheduler {

namespace {

constexpr double kQueuedWriteShare = 0.5;  // of the key-value store's write limit, for queued tasks
constexpr double kMaxQueueSpanSeconds = 20;       // work queued on one machine
constexpr uint32_t kMaxQueuedTasksPerSlot = 4;    // queued tasks per task that fits there at once
constexpr uint32_t kMaxSlotsPerMachine = 10'000;  // higher counts are not distinguished

// The shortest span, in seconds, for which the limit on record writes suffices; 0 if that is less
// than one heartbeat interval.
double queue_span(const CycleState& state) {
  const settings::Platform& platform = state.inputs.platform;
  const double write_rps = platform.lowest_store_write_rps();
  const double span =
      static_cast<double>(state.candidates.all().size()) / (write_rps * kQueuedWriteShare);
  return span < platform.heartbeat_interval.count() ? 0 : std::min(span, kMaxQueueSpanSeconds);
}

double run_seconds(const JobSpec& spec) {
  return std::max(1.0, spec.estimate.count());
}

// The maximum number of the job's tasks queued on one machine of the pool; 0: none fits there.
uint32_t max_queued(const JobSpec& spec, const InstancePool& pool, double span) {
  const uint32_t slots =
      preemption::tasks_that_fit_in(pool.type->size, spec.need, kMaxSlotsPerMachine);
  if (slots == 0) return 0;
  return std::clamp(static_cast<uint32_t>(std::ceil(slots * span / run_seconds(spec))), 1u,
                    slots * kMaxQueuedTasksPerSlot);
}

// Whether a task that needs `need` fits once the jobs that run on the machine have ended. Replicas
// of services do not end.
bool fits_once_jobs_end(const Machine& machine, const Resources& need) {
  Resources room = machine.size;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.service) room -= allocation.need;
  }
  return need.fits_in(room);
}

// The number of tasks queued on the machine that would start before one at this position: those
// queued in this cycle, and earlier ones with a better position.
uint32_t queued_before(const CandidateMachine& candidate, const cluster::QueuePosition& position) {
  uint32_t before = candidate.queued_tasks - candidate.machine->queued_tasks;
  if (candidate.machine->queued_tasks == 0) return before;
  for (const Allocation& allocation : candidate.machine->allocations) {
    if (allocation.queued && !position.before(allocation.queue_position)) ++before;
  }
  return before;
}

}  // namespace

MachineQueueing::MachineQueueing(CycleState& state) : state_(state), span_(queue_span(state)) {}

// A team at its limit can start a task only when one of its own ends: limits the queued tasks to
// those that can start within the span.
uint32_t MachineQueueing::limit_by_turnover(const Job& job, uint32_t tasks) {
  const JobSpec& spec = job.spec();
  const Resources& used = state_.quotas.used(job.team());
  const double running = std::max(spec.need.cpus > 0 ? used.cpus / spec.need.cpus : 0,
                                  spec.need.gpus > 0 ? used.gpus / spec.need.gpus : 0);
  const auto max_tasks = static_cast<uint32_t>(std::ceil(running * span_ / run_seconds(spec)));
  uint32_t& queued_for_team = queued_at_limit_[job.team()];
  queued_for_team += job.queued_tasks;
  tasks = std::min(tasks, max_tasks > queued_for_team ? max_tasks - queued_for_team : 0);
  queued_for_team += tasks;
  return tasks;
}

void MachineQueueing::queue(const QueueEntry& entry, uint32_t tasks) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  if (tasks == 0 || span_ <= 0 || job.failing || spec.service) return;
  // A queued task of a job with a zone constraint could block the job's other tasks, or be blocked
  // by them.
  if (PlacementConstraints(spec).has_zone_constraint()) return;
  const cluster::QueuePosition position = absolute_position(entry, state_.inputs.now);
  if (state_.quotas.tasks_allowed(job) == 0) tasks = limit_by_turnover(job, tasks);
  for (auto& [offer, pool] : state_.candidates.pools()) {
    if (tasks == 0) return;
    if (!pool.type || !offer_allowed(spec, offer)) continue;
    const uint32_t max_tasks = max_queued(spec, pool, span_);
    if (max_tasks == 0) continue;
    for (CandidateMachine* candidate : pool.ready) {
      if (tasks == 0) return;
      if (candidate->reserved.has_owner() || candidate->queued_tasks >= max_tasks * 2 ||
          !candidate->machine->has_image(spec.image))
        continue;
      const uint32_t before = queued_before(*candidate, position);
      // The queue is refilled when it is half empty, not task by task.
      if (before * 2 > max_tasks || is_last_resort(state_, job, *candidate) ||
          !may_use(state_, job, *candidate) || !fits_once_jobs_end(*candidate->machine, spec.need))
        continue;
      const uint32_t queued = std::min(
          {tasks, max_tasks - before, tasks_allowed_by_record(state_.cluster(), job, *candidate)});
      candidate->queued_tasks += queued;
      tasks -= queued;
      reserve_record_space(state_.cluster(), job, *candidate, queued);
      state_.plan.queued.push_back({spec.id, candidate->machine->id, queued, position});
    }
  }
}

}  // namespace dunlinknot::scheduler
