// The stage that schedules gangs: placement at once, on upcoming or newly requested machines, or a
// reservation of room where running tasks are expected to end.
#pragma once
#include <memory>
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

  // Called before the other jobs are scheduled. Places overdue gangs (see QueueEntry::overdue), or
  // reserves room and quota for them. Otherwise jobs ahead of them in the queue, and single tasks,
  // would take each slot that becomes free.
  void schedule_overdue(const std::vector<QueueEntry>& queue);

  // Schedules one gang; called in queue order. Returns what it waits for, or nothing when it was
  // placed.
  std::optional<WaitCause> schedule(const QueueEntry& entry);

  // Whether schedule_overdue() placed the job.
  bool placed_as_overdue(const Job& job) const { return placed_overdue_.contains(&job); }

 private:
  // Reserves the limit of the gang's team if the gang can start when jobs of the team have ended.
  void reserve_quota(const Job& job);
  // schedule() for a gang whose team's limit allows all of its tasks.
  std::optional<WaitCause> schedule_within_limit(const QueueEntry& entry);
  // Lets a gang that was held back use room that is reserved for jobs that are only expected; null
  // for other gangs.
  std::unique_ptr<ReservationWaiver> waive_if_held_back(const Job& job);
  // Returns whether room was reserved; false also when the gang was placed.
  bool place_or_reserve(const Job& job);

  CycleState& state_;
  ScaleOutRequests& scale_out_;
  GangReservations reservations_;
  std::set<const Job*> placed_overdue_;
};

}  // namespace dunlinknot::scheduler
