// The stage that requests machines: the cheapest offers for tasks that have no room.
#pragma once
#include <string>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The machine requests of one cycle. Each requested machine becomes a candidate, so that later jobs
// can use its remaining room.
class ScaleOutRequests {
 public:
  explicit ScaleOutRequests(CycleState& state) : state_(state) {}

  // Whether any machine may be launched for the job, in zones where it may have further tasks.
  bool possible(const Job& job, const PlacementConstraints& constraints) const;

  // Requests machines for `unplaced` tasks of an array or service; returns how many tasks that
  // provides for. `expected` counts the job's tasks, nominations and reserved slots on upcoming
  // machines.
  uint32_t request_for_array(const QueueEntry& entry, uint32_t unplaced,
                             const PlacementConstraints& expected);

  // Requests the machines that the gang lacks, from the cheapest offer, and takes the room for the
  // gang. Returns false when no machine can be launched.
  bool request_for_gang(const QueueEntry& entry, Borrowing borrowing);

 private:
  bool machine_limit_reached() const;
  CandidateMachine& request_machine(const Offer& offer, const std::string& job);

  CycleState& state_;
  size_t requested_ = 0;  // machines requested in this cycle
};

}  // namespace dunlinknot::scheduler
