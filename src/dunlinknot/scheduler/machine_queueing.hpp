// The stage that queues tasks of arrays on busy machines. Some seconds of work wait on each: enough
// that one write of a machine's record covers many allocations, and that a task that ends is
// followed by the next at once.
#pragma once
#include <map>

#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The queueing of one cycle. To be made before any stage requests machines, since the seconds of
// work that may wait depend on how many machines there are.
class MachineQueueing {
 public:
  explicit MachineQueueing(CycleState& state);

  // Seconds of work that may wait on a machine; 0: the key-value store's writes suffice for one
  // task at a time, and every freed place goes to whatever is due first.
  double span() const { return span_; }

  // Queues up to `tasks` tasks of the job on machines that have its image.
  void queue(const QueueEntry& entry, uint32_t tasks);

 private:
  uint32_t limit_by_turnover(const Job& job, uint32_t tasks);

  CycleState& state_;
  double span_ = 0;
  std::map<int, uint32_t> queued_at_limit_;  // by team: tasks queued while it is at its limit
};

}  // namespace dunlinknot::scheduler
