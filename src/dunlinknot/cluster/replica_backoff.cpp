// Exponential backoff of replicas.
#include "dunlinknot/cluster/replica_backoff.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

// The number of early exits in a row after which a replica restarts without a delay.
constexpr uint32_t kImmediateRestarts = 1;
constexpr uint32_t kMaxDoublings = 16;  // keeps the shift in range; `max_backoff` limits the delay

}  // namespace

void ReplicaBackoff::on_replica_end(Job& job, uint32_t index, bool early, Instant now) {
  const uint32_t early_exits = job.note_replica_end(index, early);
  if (early_exits <= kImmediateRestarts) return;
  const uint32_t doublings = std::min(early_exits - kImmediateRestarts - 1, kMaxDoublings);
  const Nanos delay =
      std::min(to_nanos(op_.initial_backoff) * (1 << doublings), to_nanos(op_.max_backoff));
  job.back_off(index, now + delay);
  jobs_.insert(job.spec().id);
  spdlog::info(
      "replica {} exited soon after its start {} times in a row: delaying its restart by {:.0f} s",
      TaskRef{job.spec().id, index}.text(), early_exits, to_seconds(delay).count());
}

bool ReplicaBackoff::release_due(const JobTable& jobs, Instant now) {
  bool released = false;
  std::erase_if(jobs_, [&](const std::string& id) {
    const auto it = jobs.find(id);
    if (it == jobs.end()) return true;
    released |= it->second->release_backed_off(now);
    return !it->second->any_backed_off();
  });
  return released;
}

}  // namespace dunlinknot::cluster
