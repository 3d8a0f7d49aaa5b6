// The stops that workers are told of by direct calls.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/cluster/heartbeat_response.hpp"
#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Remembers which machines have stops that were not sent yet. The calls only make stops faster: a
// stop that gets lost is repeated in every response to the worker's heartbeats.
class PendingStopCalls {
 public:
  void add(const Machine& machine);
  bool any() const { return !machines_.empty(); }
  // One call for each machine with all its stops, in the order in which the machines were added.
  // Machines that cannot be called are left out and forgotten.
  std::vector<StopCall> drain(const MachineTable& machines);
  void clear() { machines_.clear(); }

 private:
  std::vector<std::string> machines_;  // ids, each once
};

}  // namespace dunlinknot::cluster
