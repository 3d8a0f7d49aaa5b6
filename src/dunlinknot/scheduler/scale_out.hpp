// The stage that asks for machines: the cheapest offers for what has no room.
#pragma once
#include <string>

#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The requests of one cycle. Each requested machine is a candidate from then on, so that later jobs
// use what it has left.
class ScaleOutRequests {
 public:
  explicit ScaleOutRequests(CycleState& state) : state_(state) {}

  // Whether any machine may be launched for the job, in zones where it may have further tasks.
  bool possible(const JobSpec& spec, const PlacementConstraints& constraints) const;

  // Requests machines for `open` tasks of an array; returns how many tasks that provides for.
  // `expected`: what the job has, is promised, or is counted on to get.
  uint32_t request_for_array(const QueueEntry& entry, uint32_t unplaced,
                             const PlacementConstraints& expected);

  // Requests what the gang lacks, where that costs least, and takes the room for it. False when
  // there is nothing to launch.
  bool request_for_gang(const QueueEntry& entry, Borrowing borrowing);

 private:
  bool machine_limit_reached() const;
  CandidateMachine& request_machine(const Offer& offer, const std::string& job);

  CycleState& state_;
  size_t requested_ = 0;  // machines, in this cycle
};

}  // namespace dunlinknot::scheduler
