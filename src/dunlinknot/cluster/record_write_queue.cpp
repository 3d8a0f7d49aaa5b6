// The urgent and the ordinary queue of machines whose records have to be written.
#include "dunlinknot/cluster/record_write_queue.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

void RecordWriteQueue::mark_dirty(Machine& machine, bool urgent) {
  machine.dirty = true;
  if (machine.urgent || (machine.write_queued && !urgent)) return;
  // A machine in the ordinary queue may become urgent. Its entry there is kept, because removing it
  // would require a linear search. When it reaches the front, the machine is usually clean, and
  // `next` skips it.
  (urgent ? machine.urgent : machine.write_queued) = true;
  (urgent ? urgent_ : ordinary_).push_back(machine.id);
}

Machine* RecordWriteQueue::next(const MachineTable& machines) {
  while (size() > 0) {
    const bool urgent = !urgent_.empty();
    std::deque<std::string>& queue = urgent ? urgent_ : ordinary_;
    const std::string id = std::move(queue.front());
    queue.pop_front();
    const auto it = machines.find(id);
    if (it == machines.end()) continue;
    Machine& machine = *it->second;
    (urgent ? machine.urgent : machine.write_queued) = false;
    if (machine.dirty) return &machine;
  }
  return nullptr;
}

void RecordWriteQueue::requeue(Machine& machine) {
  const auto is_urgent = [](const Allocation& allocation) {
    return allocation.phase == AllocationPhase::planned && (allocation.gang || allocation.service);
  };
  const bool urgent =
      std::any_of(machine.allocations.begin(), machine.allocations.end(), is_urgent);
  bool& is_queued = urgent ? machine.urgent : machine.write_queued;
  if (is_queued) return;
  is_queued = true;
  (urgent ? urgent_ : ordinary_).push_front(machine.id);
}

void RecordWriteQueue::clear() {
  urgent_.clear();
  ordinary_.clear();
}

}  // namespace dunlinknot::cluster
