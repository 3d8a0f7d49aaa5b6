// Suspicions against machines, draining of faulty machines, and backoff of jobs that fail on every
// machine.
#include "dunlinknot/cluster/failure_detector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

constexpr uint32_t kSuspicionThreshold = 3;  // lost responses until a machine is unreachable
constexpr size_t kMinUnreachableLimit = 2;   // lower bound of the limit, for small clusters
constexpr size_t kUnreachableDivisor = 8;    // the limit is 1/8 of the machines with a lease

}  // namespace

void FailureDetector::on_run_executed(Machine& machine) const {
  machine.lost_responses.suspicions = 0;
  machine.unreachable = false;
}

void FailureDetector::on_response_lost(Machine& machine, Instant now) const {
  if (machine.lost_responses.suspicions == 0 || now - machine.lost_responses.last > lease_ * 2) {
    machine.lost_responses.suspicions = 0;
    machine.lost_responses.first = now;
  }
  machine.lost_responses.last = now;
  if (++machine.lost_responses.suspicions < kSuspicionThreshold ||
      now - machine.lost_responses.first < lease_ / 3 || machine.unreachable)
    return;
  machine.unreachable = true;
  spdlog::info(
      "machine {}: marked as unreachable: its heartbeats arrive, but our responses do not reach it",
      machine.id);
}

// If an incarnation lasts longer than a lease since the last suspicion, our responses must have
// renewed that lease. Without this rule (found by random scenario tests), machines that had been
// unreachable for a while never became reachable: they were sent no `run` that they could execute,
// there were too many of them to be deleted, and the only job that fitted them waited forever.
void FailureDetector::on_heartbeat(Machine& machine, Instant now) const {
  if (!machine.unreachable ||
      now - std::max(machine.incarnation_since, machine.lost_responses.last) < lease_)
    return;
  machine.lost_responses.suspicions = 0;
  machine.unreachable = false;
  spdlog::info("machine {}: reachable again: our responses renewed its lease", machine.id);
}

std::vector<std::string> FailureDetector::unreachable(const MachineTable& machines) {
  std::vector<std::string> found;
  size_t reporting = 0;
  for (const auto& [id, machine] : machines) {
    if (!machine->has_heartbeat || machine->lost) continue;
    ++reporting;
    if (machine->unreachable) found.push_back(id);
  }
  if (found.size() > std::max(kMinUnreachableLimit, reporting / kUnreachableDivisor)) found.clear();
  return found;
}

void FailureDetector::on_task_completed(Machine& machine) {
  machine.task_errors = {};
}

void FailureDetector::on_sound_start(Machine& machine, Instant started) {
  machine.works_since = std::max(machine.works_since, started);
}

// Safety 6: a failure is attributed to the machine when other machines complete the task, and to
// the job when it fails on all of them. The machine is drained, the job backs off.
void FailureDetector::on_task_error(Machine& machine, Job* job, const JobTable& jobs,
                                    Instant now) const {
  ++machine.task_errors.consecutive;
  if (!job) return;
  job->failures.record(machine.id, {to_nanos(op_.initial_backoff), to_nanos(op_.max_backoff)}, now);
  machine.task_errors.jobs.insert(job->spec().id);
  back_off_if_failing(*job, now);
  drain_if_faulty(machine, *job, jobs, now);
}

void FailureDetector::back_off_if_failing(Job& job, Instant now) const {
  if (job.failures.machine_count() < op_.failing_machines || job.done_count() > 0 ||
      job.has_stable_replica)
    return;
  // Tasks that were started together fail together: only a later failure doubles the delay.
  if (job.failing && now < job.not_before) return;
  if (!job.failing)
    spdlog::info("job {} fails on every machine: delaying its next start", job.spec().id);
  job.failing = true;
  job.backoff = job.backoff == Nanos(0) ? to_nanos(op_.initial_backoff)
                                        : std::min(job.backoff * 2, to_nanos(op_.max_backoff));
  job.not_before = now + job.backoff;
}

// Errors of jobs that fail on every machine are not attributed to the machine. Errors of one job
// are attributed to it if the job is known to succeed elsewhere, errors of two jobs in any case.
void FailureDetector::drain_if_faulty(Machine& machine, const Job& job, const JobTable& jobs,
                                      Instant now) const {
  if (machine.draining) return;
  size_t attributed_jobs = 0;
  for (const std::string& id : machine.task_errors.jobs) {
    const auto it = jobs.find(id);
    if (it == jobs.end() || !it->second->failing) ++attributed_jobs;
  }
  const bool completed_elsewhere = job.done_count() > 0 || job.has_stable_replica;
  if (machine.task_errors.consecutive < op_.faults_to_drain) return;
  if (attributed_jobs < 2 && !(attributed_jobs == 1 && completed_elsewhere)) return;
  machine.draining = true;
  machine.drained_at = now;
  machine.drain_reason = "fails the tasks that it starts";
  spdlog::info(
      "machine {} drained: {} consecutive task errors, attributed to it because of {} jobs",
      machine.id, machine.task_errors.consecutive, attributed_jobs);
}

bool FailureDetector::end_drain_if_due(Machine& machine, Instant now) const {
  if (!machine.draining || now - machine.drained_at < to_nanos(op_.max_backoff)) return false;
  const bool kept_up = std::any_of(
      machine.allocations.begin(), machine.allocations.end(),
      [](const Allocation& allocation) { return allocation.service && !allocation.stopping(); });
  if (!kept_up) return false;
  machine.draining = false;
  machine.task_errors.consecutive = op_.faults_to_drain - 1;
  spdlog::info("machine {}: tried again, because services keep it up since it was drained",
               machine.id);
  return true;
}

}  // namespace dunlinknot::cluster
