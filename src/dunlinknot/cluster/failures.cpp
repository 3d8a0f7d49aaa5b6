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
void Cluster::add_suspicion(Machine& h, Instant now) {
  if (h.suspicions == 0 || now - h.last_suspicion > lease_ * 2) {
    h.suspicions = 0;
    h.first_suspicion = now;
  }
  h.last_suspicion = now;
  if (++h.suspicions < kSuspicions || now - h.first_suspicion < lease_ / 3 || h.unreachable) return;
  h.unreachable = true;
  spdlog::info("machine {}: its heartbeats arrive, but our responses do not reach it", h.id);
}

// A incarnation that outlives a lease since the last sign shows that our answers renew it. Found by
// random scenarios: machines that had been deaf for a while got no `run` that they could obey, were
// too many to be deleted, and the only job that fitted them waited for good.
void Cluster::clear_suspicion(Machine& h, Instant now) const {
  if (!h.unreachable || now - std::max(h.incarnation_since, h.last_suspicion) < lease_) return;
  h.suspicions = 0;
  h.unreachable = false;
  spdlog::info("machine {}: our responses reach it again", h.id);
}

std::vector<std::string> Cluster::unreachable_machines() const {
  std::vector<std::string> out;
  size_t reporting = 0;
  for (const auto& [id, h] : machines_) {
    if (!h->has_heartbeat || h->lost) continue;
    ++reporting;
    if (h->unreachable) out.push_back(id);
  }
  if (out.size() > std::max<size_t>(kFewUnreachable, reporting / 8)) out.clear();
  return out;
}

// A replica runs again at once, elsewhere where its machine failed it. One that ends again and
// again soon after its start waits longer each time.
void Cluster::back_off_replica(Job& j, uint32_t index, bool soon, Instant now) {
  const uint32_t ends = j.note_replica_end(index, soon);
  if (ends <= kFreeRetries) return;
  const uint32_t doublings = std::min(ends - kFreeRetries - 1, kMostDoublings);
  const Nanos pause =
      std::min(to_nanos(op_.backoff_first) * (1 << doublings), to_nanos(op_.backoff_most));
  j.back_off(index, now + pause);
  backing_off_jobs_.insert(j.spec().id);
  spdlog::info("{} ended soon after its start {} times in a row: backing off {:.0f} s",
               TaskRef{j.spec().id, index}.text(), ends, to_seconds(pause).count());
}

// The end of a replica's allocation while its service is open: it has to run again.
void Cluster::count_restart(const Allocation& b, const Machine& h) {
  if (b.unsent()) return;
  uint64_t& count = b.stop == StopReason::preempted ? replica_restarts_.preempted
                    : b.stopping()                  ? replica_restarts_.moved
                    : h.lost || h.terminating       ? replica_restarts_.machine_lost
                                                    : replica_restarts_.ended;
  ++count;
}

// Safety 6: a machine that fails what other machines complete is drained; a job that fails on
// every machine backs off.
void Cluster::on_error(Machine& h, Job* j, Instant now) {
  ++h.error_streak;
  if (!j) return;
  if (j->failed_on.size() < kMaxFailedOn) j->failed_on.insert(h.id);
  h.error_jobs[j->spec().id] = true;
  if (j->failed_on.size() >= op_.failing_machines && j->done_count() == 0 && !j->proven) {
    if (!j->failing) spdlog::info("job {} fails on every machine: backing off", j->spec().id);
    j->failing = true;
    j->backoff = j->backoff == Nanos(0) ? to_nanos(op_.backoff_first)
                                        : std::min(j->backoff * 2, to_nanos(op_.backoff_most));
    j->not_before = now + j->backoff;
  }
  if (h.draining) return;
  size_t blamed = 0;
  for (const auto& [id, unused] : h.error_jobs) {
    const Job* other = job(id);
    if (!other || !other->failing) ++blamed;
  }
  const bool others_complete_it = j->done_count() > 0 || j->proven;
  if (h.error_streak >= op_.faults_to_drain &&
      (blamed >= 2 || (blamed == 1 && others_complete_it))) {
    h.draining = true;
    h.drain_reason = "fails the tasks that it starts";
    spdlog::info("machine {} drained: {} errors in a row, {} jobs", h.id, h.error_streak, blamed);
  }
}

}  // namespace dunlinknot::cluster
