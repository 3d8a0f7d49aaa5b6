// An allocation: the claim "this task may be on that machine".
#pragma once
#include <cstdint>
#include <string>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// How far an allocation has got on its way to the worker.
enum class AllocationPhase : uint8_t {
  planned,    // decided, but not in the key-value store: must not start
  durable,    // in the key-value store: `run` may be sent
  sent,       // `run` was sent
  seen,       // the worker reported the task
  inherited,  // stored by a former leader, which may or may not have sent the `run`
};

// Why a task is being stopped; `none` while it is not.
enum class StopReason : uint8_t {
  none,
  preempted,     // its room is needed by a task of higher priority
  interruption,  // the cloud is about to take the machine back
  cancelled,     // its job was cancelled or is over
  orphan,        // it was reported by a machine where it has no allocation and may not stay
  gang_broken,   // another task of its gang ended
};

// The order in which tasks that wait for room are served: higher tier first, then earliest due.
struct QueuePosition {
  int tier = 0;
  double due = 0;  // seconds of this process's steady clock
  bool before(const QueuePosition& position) const {
    return tier != position.tier ? tier > position.tier : due < position.due;
  }
};

class Job;

// Added to the time that saving a checkpoint takes when it is given as the grace of a stop, so that
// a save that takes a little longer is not cut off.
constexpr Seconds kStopGraceSlack{1};

// Made before the task can start, ended only once it is certain that the task is not on the machine
// (any more). The fields copied from the job are there because an allocation may outlive its job.
struct Allocation {
  TaskRef task;
  uint64_t attempt = 0;

  // --- copied from the job
  int team = -1;  // index into settings::Platform::teams; negative: not a team of this platform
  std::string team_name;
  Resources need;
  std::string image;
  Seconds estimate{0};
  bool gang = false;
  bool service = false;
  Priority priority = Priority::low;
  size_t record_group_size = 0;  // bytes its job adds to the machine's record, beside the tasks

  // --- progress
  AllocationPhase phase = AllocationPhase::planned;
  uint64_t sent_incarnation = 0;  // of the worker whose heartbeat was answered with the `run`
  TaskState state = TaskState::fetching;
  Instant placed_at{};
  Instant running_since{};  // zero: not seen running

  // --- queued on the machine: in its record, but its `run` is held back until other tasks there
  // leave enough room. Until then it counts neither as used room nor against its team's limit.
  bool queued = false;
  QueuePosition queue_position;

  // --- stop
  StopReason stop = StopReason::none;
  Seconds grace{0};  // for saving a checkpoint; zero: killed at once
  Instant stop_at{};

  // Sets the fields that come from the job.
  void copy_from(const Job& job);

  bool stopping() const { return stop != StopReason::none; }
  // Its `run` was never sent in this term, so it may be undone at any time.
  bool unsent() const {
    return phase == AllocationPhase::planned || phase == AllocationPhase::durable;
  }
};

}  // namespace dunlinknot::cluster
