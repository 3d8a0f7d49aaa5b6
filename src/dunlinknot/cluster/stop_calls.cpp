// Collecting pending stops and converting them into calls.
#include "dunlinknot/cluster/stop_calls.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

void PendingStopCalls::add(const Machine& machine) {
  if (std::find(machines_.begin(), machines_.end(), machine.id) == machines_.end())
    machines_.push_back(machine.id);
}

std::vector<StopCall> PendingStopCalls::drain(const MachineTable& machines) {
  std::vector<StopCall> calls;
  for (const std::string& id : machines_) {
    const auto it = machines.find(id);
    if (it == machines.end()) continue;
    const Machine& machine = *it->second;
    if (machine.address.empty() || !machine.has_heartbeat || machine.lost) continue;
    StopCall call{machine.id, machine.address, machine.incarnation, {}};
    for (const Allocation& allocation : machine.allocations) {
      if (!allocation.stopping() || allocation.unsent()) continue;
      call.commands.push_back(
          {Command::Op::stop, allocation.task, allocation.attempt, allocation.grace});
    }
    if (!call.commands.empty()) calls.push_back(std::move(call));
  }
  machines_.clear();
  return calls;
}

}  // namespace dunlinknot::cluster
