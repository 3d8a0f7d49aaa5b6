// The order in which the records of machines are written to the key-value store.
#pragma once
#include <cstddef>
#include <deque>
#include <string>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Two FIFO queues. Machines with new allocations of services and gangs are in the urgent queue,
// which is served first, because many tasks depend on one such allocation. Each queue contains a
// machine at most once; `Machine::urgent` and `Machine::write_queued` show whether it does.
// Machines are stored by id because they may be removed while queued.
class RecordWriteQueue {
 public:
  // Marks the machine's record as to be written, and queues the machine unless it is already queued
  // with at least this urgency.
  void mark_dirty(Machine& machine, bool urgent);
  // Removes and returns the next machine that still exists and is still dirty; null if there is
  // none.
  Machine* next(const MachineTable& machines);
  // Puts a machine returned by `next` back to the front of the queue it belongs to.
  void requeue(Machine& machine);
  // An upper bound of the waiting machines: those removed or written meanwhile are counted until
  // `next` skips them.
  size_t size() const { return urgent_.size() + ordinary_.size(); }
  void clear();

 private:
  std::deque<std::string> urgent_;
  std::deque<std::string> ordinary_;
};

}  // namespace dunlinknot::cluster
