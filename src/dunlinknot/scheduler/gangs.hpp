// The stage that schedules gangs: placement at once, machines to wait for or to launch, or room
// reserved where work is to end.
#pragma once
#include <optional>
#include <set>

#include "dunlinknot/scheduler/gang_reservation.hpp"
#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/scale_out.hpp"

namespace dunlinknot::scheduler {

// Schedules the gangs of one cycle.
class GangScheduling {
 public:
  GangScheduling(CycleState& state, ScaleOutRequests& scale_out)
      : state_(state), scale_out_(scale_out), reservations_(state) {}

  // Before anything else is placed: places the gangs that wait for longer than any order may ask
  // of them, or reserves their room and what their teams' limits lack. Work ahead of them in the
  // queue, and single tasks that always are, would else take each place as it comes free.
  void schedule_overdue(const std::vector<QueueEntry>& queue);

  // Called in queue order. Returns what it waits for, or nothing when it was placed.
  std::optional<WaitCause> schedule(const QueueEntry& entry);

  // Whether serve_overdue() placed the job.
  bool placed_as_overdue(const Job& job) const { return placed_overdue_.contains(&job); }

 private:
  // Whether room was reserved.
  bool place_or_reserve(const Job& job);

  CycleState& state_;
  ScaleOutRequests& scale_out_;
  GangReservations reservations_;
  std::set<const Job*> placed_overdue_;
};

}  // namespace dunlinknot::scheduler
