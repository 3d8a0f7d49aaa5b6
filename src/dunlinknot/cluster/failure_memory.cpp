// Recording failures, and the exponential delay of retries on the same machine.
#include "dunlinknot/cluster/failure_memory.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

bool FailureMemory::still_counts(const Failure& failure, Instant works_since, Instant now) {
  return works_since <= failure.last && now - failure.last <= kRetention;
}

void FailureMemory::record(const std::string& machine, const RetryDelays& delays, Instant now) {
  std::erase_if(by_machine_,
                [&](const auto& entry) { return now - entry.second.last > kRetention; });
  auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) {
    if (by_machine_.size() >= kMaxMachines) return;
    it = by_machine_.emplace(machine, Failure{}).first;
  }
  Failure& failure = it->second;
  // Tasks that were started together fail together: only a failed retry doubles the delay.
  if (failure.delay == Nanos(0)) {
    failure.delay = delays.initial;
  } else if (failure.retried) {
    failure.delay = std::min(failure.delay * 2, delays.max);
  }
  failure.retried = false;
  failure.last = now;
  failure.retry_at = now + failure.delay;
}

void FailureMemory::note_placement(const std::string& machine, Instant works_since, Instant now) {
  const auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) return;
  if (!still_counts(it->second, works_since, now)) {
    by_machine_.erase(it);
    return;
  }
  it->second.retried = true;
  it->second.retry_at = now + it->second.delay;
}

FailureAdvice FailureMemory::advice(const std::string& machine, Instant works_since,
                                    Instant now) const {
  const auto it = by_machine_.find(machine);
  if (it == by_machine_.end() || !still_counts(it->second, works_since, now))
    return FailureAdvice::usable;
  return now < it->second.retry_at ? FailureAdvice::avoided : FailureAdvice::last_resort;
}

}  // namespace dunlinknot::cluster
