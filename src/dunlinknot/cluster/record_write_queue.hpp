// The order in which the records of machines are written to the key-value store.
#pragma once
#include <cstddef>
#include <deque>
#include <string>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// First come, first served, but machines with new allocations of services and gangs go first: many
// tasks depend on one of those. Each machine stands at most once in either queue; `Machine::urgent`
// and `Machine::write_queued` say whether it does. Machines are kept by id, since one may be
// removed while it waits.
class RecordWriteQueue {
 public:
  // The machine's record has to be written: sets `dirty` and queues it unless it waits already.
  void mark_dirty(Machine& machine, bool urgent);
  // Takes the next machine that is still there and still dirty; null when there is none.
  Machine* next(const MachineTable& machines);
  // Puts a machine that was taken out back to the front of the queue it belongs to.
  void requeue(Machine& machine);
  // An upper bound: machines that were removed or written meanwhile are counted until their turn.
  size_t size() const { return urgent_.size() + ordinary_.size(); }
  void clear();

 private:
  std::deque<std::string> urgent_;
  std::deque<std::string> ordinary_;
};

}  // namespace dunlinknot::cluster
