// Reservation of room for gangs that wait while no machine can be launched for them. Gangs do not
// preempt; instead, room that other tasks leave is kept for them. Otherwise single tasks would take
// that room piece by piece, and the larger a gang, the longer it would wait.
#pragma once
#include <limits>
#include <set>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The gang reservations of one cycle.
class GangReservations {
 public:
  explicit GangReservations(CycleState& state) : state_(state) {}

  // Reserves room for all of the gang's tasks on the machines that will have enough of it first, by
  // the estimates of the tasks running there. Returns false, and reserves nothing, when that takes
  // longer than `max_seconds` or the allowed machines do not suffice. Returns true if the gang
  // already has a reservation.
  bool reserve(const Job& job, Borrowing borrowing,
               double max_seconds = std::numeric_limits<double>::max());

  // Whether the machines that are up or upcoming have room for the whole gang once all jobs there
  // have ended. Services do not end.
  bool fits_once_jobs_end(const Job& job) const;

 private:
  CycleState& state_;
  std::set<const Job*> reserved_;
};

}  // namespace dunlinknot::scheduler
