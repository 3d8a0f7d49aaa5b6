// Stops that are sent to workers by direct calls.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/cluster/heartbeat_response.hpp"
#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Tracks which machines have stops that were not sent yet. Direct calls only reduce the delay: a
// stop is also contained in every response to the worker's heartbeats, so a lost call does no harm.
class PendingStopCalls {
 public:
  void add(const Machine& machine);
  bool any() const { return !machines_.empty(); }
  // Returns one call per machine with all its stops, in the order in which the machines were added,
  // and clears the list. Machines that cannot be called are omitted.
  std::vector<StopCall> drain(const MachineTable& machines);
  void clear() { machines_.clear(); }

 private:
  std::vector<std::string> machines_;  // ids without duplicates
};

}  // namespace dunlinknot::cluster
