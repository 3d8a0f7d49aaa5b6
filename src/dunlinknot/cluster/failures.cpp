// Failures: machines that do not hear the controllers, machines and jobs that fail their tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr size_t kMaxFailedOn = 32;
constexpr uint32_t kSuspicions = 3;
constexpr size_t kFewUnreachable = 2;

}  // namespace

// A report's arrival is no proof that answers get through. Runs that are sent again and again, and
// sessions that end while we answer, tell: such a machine would swallow work for ever.
void Cluster::suspect(Host& h, Instant now) {
  if (h.suspicions == 0 || now - h.last_suspicion > lease_ * 2) {
    h.suspicions = 0;
    h.first_suspicion = now;
  }
  h.last_suspicion = now;
  if (++h.suspicions < kSuspicions || now - h.first_suspicion < lease_ / 3 || h.unreachable) return;
  h.unreachable = true;
  spdlog::info("machine {}: its reports come, but our answers do not reach it", h.id);
}

std::vector<std::string> Cluster::unreachable_hosts() const {
  std::vector<std::string> out;
  size_t heard = 0;
  for (const auto& [id, h] : hosts_) {
    if (!h->heard || h->lost) continue;
    ++heard;
    if (h->unreachable) out.push_back(id);
  }
  if (out.size() > std::max<size_t>(kFewUnreachable, heard / 8)) out.clear();
  return out;
}

// Safety 6: a machine that fails what other machines complete is drained; a job that fails on
// every machine backs off.
void Cluster::on_error(Host& h, Job* j, Instant now) {
  ++h.error_streak;
  if (!j) return;
  if (j->failed_on.size() < kMaxFailedOn) j->failed_on.insert(h.id);
  h.error_jobs[j->spec().id] = true;
  if (j->failed_on.size() >= op_.failing_machines && j->done_count() == 0) {
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
  const bool others_complete_it = j->done_count() > 0;
  if (h.error_streak >= op_.faults_to_drain &&
      (blamed >= 2 || (blamed == 1 && others_complete_it))) {
    h.draining = true;
    h.drain_reason = "fails the tasks that it starts";
    spdlog::info("machine {} drained: {} errors in a row, {} jobs", h.id, h.error_streak, blamed);
  }
}

}  // namespace dunlinknot::cluster
