// An allocation: the statement that a task may be running on a machine.
#pragma once
#include <cstdint>
#include <string>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// The progress of an allocation from the scheduling decision to the worker.
enum class AllocationPhase : uint8_t {
  planned,    // decided, but not yet in the key-value store: `run` must not be sent
  durable,    // in the key-value store: `run` may be sent
  sent,       // `run` was sent
  seen,       // the worker reported the task
  inherited,  // stored by a former leader; it is unknown whether that leader sent the `run`
};

// Why a task is being stopped; `none` if it is not being stopped.
enum class StopReason : uint8_t {
  none,
  preempted,     // its resources are needed by a task of higher priority
  interruption,  // the cloud is about to take the machine back
  cancelled,     // its job was cancelled or has ended
  orphan,        // a machine reported it without an allocation, and it cannot be adopted there
  gang_broken,   // another task of its gang ended
};

// The order in which queued tasks are started: highest tier first, then earliest due time.
struct QueuePosition {
  int tier = 0;
  double due = 0;  // seconds of this process's steady clock
  bool before(const QueuePosition& position) const {
    return tier != position.tier ? tier > position.tier : due < position.due;
  }
};

class Job;

// The grace period of a stop is the expected duration of saving a checkpoint plus this margin, so
// that a save that takes slightly longer is not interrupted.
constexpr Seconds kStopGraceMargin{1};

// Created before the task can start, and ended only when it is certain that the task is not on the
// machine or has left it. Some fields are copied from the job because an allocation may outlive its
// job.
struct Allocation {
  TaskRef task;
  uint64_t attempt = 0;

  // --- copied from the job
  int team = -1;  // index into settings::Platform::teams; negative: not configured there
  std::string team_name;
  Resources need;
  std::string image;
  Seconds estimate{0};
  bool gang = false;
  bool service = false;
  Priority priority = Priority::low;
  // The bytes that its job adds to the machine's record, excluding the job's tasks.
  size_t record_group_size = 0;

  // --- progress
  AllocationPhase phase = AllocationPhase::planned;
  uint64_t sent_incarnation = 0;  // incarnation of the worker that the `run` was sent to
  TaskState state = TaskState::fetching;
  Instant placed_at{};
  Instant running_since{};  // zero: never reported running

  // --- queueing on the machine: a queued allocation is in the machine's record, but its `run` is
  // not sent until other tasks there free enough resources. Until then it counts neither towards
  // the machine's used resources nor towards its team's limit.
  bool queued = false;
  QueuePosition queue_position;

  // --- stop
  StopReason stop = StopReason::none;
  Seconds grace{0};  // to save a checkpoint; zero: the task is killed immediately
  Instant stop_at{};

  // Copies the fields that are taken from the job.
  void copy_from(const Job& job);

  bool stopping() const { return stop != StopReason::none; }
  // Whether no `run` was sent for it in this term, so that it can be ended at any time.
  bool unsent() const {
    return phase == AllocationPhase::planned || phase == AllocationPhase::durable;
  }
};

}  // namespace dunlinknot::cluster
