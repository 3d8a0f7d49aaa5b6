// Failures: machines that do not hear the controllers, machines and jobs that fail their tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMaxFailedOn = 32;
constexpr uint32_t kSuspicions = 3;
constexpr size_t kFewUnreachable = 2;
constexpr uint32_t kFreeRetries = 1;  // ends of a replica that are followed at once
constexpr uint32_t kMostDoublings = 16;

}  // namespace

// A heartbeat's arrival is no proof that answers get through. Runs that are sent again and again,
// and incarnations that end while we answer, tell: such a machine would swallow work for ever.
void Cluster::add_suspicion(Machine& machine, Instant now) {
  if (machine.suspicions == 0 || now - machine.last_suspicion > lease_ * 2) {
    machine.suspicions = 0;
    machine.first_suspicion = now;
  }
  machine.last_suspicion = now;
  if (++machine.suspicions < kSuspicions || now - machine.first_suspicion < lease_ / 3 ||
      machine.unreachable)
    return;
  machine.unreachable = true;
  spdlog::info("machine {}: its heartbeats arrive, but our responses do not reach it", machine.id);
}

// A incarnation that outlives a lease since the last sign shows that our answers renew it. Found by
// random scenarios: machines that had been deaf for a while got no `run` that they could obey, were
// too many to be deleted, and the only job that fitted them waited for good.
void Cluster::clear_suspicion(Machine& machine, Instant now) const {
  if (!machine.unreachable ||
      now - std::max(machine.incarnation_since, machine.last_suspicion) < lease_)
    return;
  machine.suspicions = 0;
  machine.unreachable = false;
  spdlog::info("machine {}: our responses reach it again", machine.id);
}

std::vector<std::string> Cluster::unreachable_machines() const {
  std::vector<std::string> out;
  size_t reporting = 0;
  for (const auto& [id, machine] : machines_) {
    if (!machine->has_heartbeat || machine->lost) continue;
    ++reporting;
    if (machine->unreachable) out.push_back(id);
  }
  if (out.size() > std::max<size_t>(kFewUnreachable, reporting / 8)) out.clear();
  return out;
}

// A replica runs again at once, elsewhere where its machine failed it. One that ends again and
// again soon after its start waits longer each time.
void Cluster::back_off_replica(Job& job, uint32_t index, bool soon, Instant now) {
  const uint32_t ends = job.note_replica_end(index, soon);
  if (ends <= kFreeRetries) return;
  const uint32_t doublings = std::min(ends - kFreeRetries - 1, kMostDoublings);
  const Nanos pause =
      std::min(to_nanos(op_.backoff_first) * (1 << doublings), to_nanos(op_.backoff_most));
  job.back_off(index, now + pause);
  backing_off_jobs_.insert(job.spec().id);
  spdlog::info("{} ended soon after its start {} times in a row: backing off {:.0f} s",
               TaskRef{job.spec().id, index}.text(), ends, to_seconds(pause).count());
}

// The end of a replica's allocation while its service is open: it has to run again.
void Cluster::count_restart(const Allocation& allocation, const Machine& machine) {
  if (allocation.unsent()) return;
  uint64_t& count = allocation.stop == StopReason::preempted ? replica_restarts_.preempted
                    : allocation.stopping()                  ? replica_restarts_.moved
                    : machine.lost || machine.terminating    ? replica_restarts_.machine_lost
                                                             : replica_restarts_.ended;
  ++count;
}

// Safety 6: a machine that fails what other machines complete is drained; a job that fails on
// every machine backs off.
void Cluster::on_error(Machine& machine, Job* open_job, Instant now) {
  ++machine.error_streak;
  if (!open_job) return;
  if (open_job->failed_on.size() < kMaxFailedOn) open_job->failed_on.insert(machine.id);
  machine.error_jobs[open_job->spec().id] = true;
  if (open_job->failed_on.size() >= op_.failing_machines && open_job->done_count() == 0 &&
      !open_job->proven) {
    if (!open_job->failing)
      spdlog::info("job {} fails on every machine: backing off", open_job->spec().id);
    open_job->failing = true;
    open_job->backoff = open_job->backoff == Nanos(0)
                            ? to_nanos(op_.backoff_first)
                            : std::min(open_job->backoff * 2, to_nanos(op_.backoff_most));
    open_job->not_before = now + open_job->backoff;
  }
  if (machine.draining) return;
  size_t blamed = 0;
  for (const auto& [id, unused] : machine.error_jobs) {
    const Job* other = job(id);
    if (!other || !other->failing) ++blamed;
  }
  const bool others_complete_it = open_job->done_count() > 0 || open_job->proven;
  if (machine.error_streak >= op_.faults_to_drain &&
      (blamed >= 2 || (blamed == 1 && others_complete_it))) {
    machine.draining = true;
    machine.drain_reason = "fails the tasks that it starts";
    spdlog::info("machine {} drained: {} errors in a row, {} jobs", machine.id,
                 machine.error_streak, blamed);
  }
}

}  // namespace dunlinknot::cluster
