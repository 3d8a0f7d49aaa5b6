// The machines on which tasks of one job failed, and how long the job avoids each of them.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot::cluster {

// Whether a job may use a machine, by the failures of its tasks there.
enum class FailureAdvice : uint8_t {
  usable,       // no failure that still counts
  last_resort,  // may be tried again, if no other machine has room or can be launched
  avoided,      // failed there a short time ago
};

// The delay after a failure until the machine may be tried again.
struct RetryDelays {
  Nanos initial{0};
  Nanos max{0};  // each failed retry on the machine doubles the delay up to this
};

// A failure counts until a task that started after it shows that the machine works, or until it is
// older than kRetention. Until then the job prefers other machines, but it is never excluded from a
// machine for longer than the delay. Guarded, like the job that owns it, by the leader state's
// lock.
class FailureMemory {
 public:
  static constexpr Nanos kRetention = std::chrono::minutes(5);
  // More machines are not stored, which bounds memory; the job does not avoid them.
  static constexpr size_t kMaxMachines = 32;

  bool empty() const { return by_machine_.empty(); }
  // The number of machines with a failure that is not older than kRetention as of the last call of
  // `record`.
  size_t machine_count() const { return by_machine_.size(); }

  // Records that a task of the job failed on the machine.
  void record(const std::string& machine, const RetryDelays& delays, Instant now);
  // Records that a task of the job was placed on the machine. A further one is placed there as a
  // last resort only after another delay.
  void note_placement(const std::string& machine, Instant works_since, Instant now);
  // `works_since`: Machine::works_since.
  FailureAdvice advice(const std::string& machine, Instant works_since, Instant now) const;

 private:
  struct Failure {
    Instant last{};
    Instant retry_at{};
    Nanos delay{0};
    bool retried = false;  // a task was placed there since the last failure
  };
  static bool still_counts(const Failure& failure, Instant works_since, Instant now);

  std::map<std::string, Failure> by_machine_;
};

}  // namespace dunlinknot::cluster
