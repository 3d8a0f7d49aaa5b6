// The stage that queues tasks of arrays on busy machines. The queue on each machine holds some
// seconds of work: enough that one write of the machine's record covers many allocations, and that
// the next task starts as soon as one ends.
#pragma once
#include <map>

#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// The queueing of one cycle. To be constructed before any stage requests machines, since the queue
// span depends on the number of machines.
class MachineQueueing {
 public:
  explicit MachineQueueing(CycleState& state);

  // Seconds of work that may be queued on a machine. 0: the key-value store's write limit allows
  // one write per task, so nothing is queued and each free slot goes to the job that is due first.
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
