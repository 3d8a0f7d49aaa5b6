// Room reserved for gangs that wait while nothing can be launched for them. Gangs do not preempt:
// the room that others leave is kept for them. Else single tasks take it piece by piece, and the
// larger the gang the longer it waits.
#pragma once
#include <limits>
#include <set>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The reservations for gangs of one cycle.
class GangReservations {
 public:
  explicit GangReservations(CycleState& state) : state_(state) {}

  // Reserves room for all of the gang's tasks where there will be enough of it first, by the
  // estimates of the tasks that run there. False, and nothing is reserved, when that takes longer
  // than `most_seconds` or the allowed machines do not suffice. True if it has its room already.
  bool reserve(const Job& job, Borrowing borrowing,
               double max_seconds = std::numeric_limits<double>::max());

 private:
  CycleState& state_;
  std::set<const Job*> reserved_;
};

}  // namespace dunlinknot::scheduler
