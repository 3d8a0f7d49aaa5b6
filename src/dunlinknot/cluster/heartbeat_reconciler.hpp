// Reconciles the allocations of a machine with the status that its worker reports.
#pragma once
#include <cstdint>

#include "dunlinknot/cluster/allocation_table.hpp"
#include "dunlinknot/cluster/failure_detector.hpp"
#include "dunlinknot/cluster/record_write_queue.hpp"
#include "dunlinknot/cluster/replica_backoff.hpp"

namespace dunlinknot::cluster {

// A status of a worker that is newer than all statuses applied before.
struct ReceivedStatus {
  const Heartbeat& heartbeat;
  Instant now;
  uint64_t epoch = 0;  // of this leader; its fencing token
  // Whether the status is a heartbeat, which lists all tasks on the machine: a task that it does
  // not list is not there. The response to a direct call does not prove this.
  bool complete = false;
};

// Updates the allocations according to the statuses and passes failures and lost responses to the
// failure detector. Stateless; called by `Cluster` under the leader state's lock.
class HeartbeatReconciler {
 public:
  // `lease`: an upper bound of how long a worker keeps running its tasks without a response.
  HeartbeatReconciler(AllocationTable& allocations, RecordWriteQueue& write_queue,
                      ReplicaBackoff& replica_backoff, const FailureDetector& failure_detector,
                      Nanos lease)
      : allocations_(allocations),
        write_queue_(write_queue),
        replica_backoff_(replica_backoff),
        failure_detector_(failure_detector),
        lease_(lease) {}

  // Applies the status to the machine, its allocations and their jobs.
  void apply(Machine& machine, const ReceivedStatus& status, Effects& effects);

 private:
  void apply_machine_state(Machine& machine, const ReceivedStatus& status, Effects& effects) const;
  Effects end_allocations_before(Machine& machine, uint64_t incarnation, Instant now);
  bool end_unlisted(Machine& machine, const ReceivedStatus& status, Effects& effects);

  // The job of the task; null if the job is not open or has no task with this index.
  Job* job_of(const TaskRef& task);
  bool apply_task(Machine& machine, const TaskStatus& task, Instant now, Effects& effects);
  void apply_state_change(const Machine& machine, Allocation& allocation, Job* job, TaskState state,
                          Instant now) const;
  static void note_stable_replica(const Machine& machine, const Allocation& allocation, Job* job);
  Allocation& allocate_orphan(Machine& machine, const TaskStatus& task, const Job* job, Instant now,
                              Effects& effects);
  bool may_adopt(const Machine& machine, const Job& job, uint32_t index) const;

  Effects apply_exit(Machine& machine, const TaskStatus& task, Instant now);
  static bool complete_task(Job& job, uint32_t index);
  static void note_refusal(const Machine& machine, const TaskStatus& task, Job* job, Instant now);

  AllocationTable& allocations_;
  RecordWriteQueue& write_queue_;
  ReplicaBackoff& replica_backoff_;
  const FailureDetector& failure_detector_;
  Nanos lease_;
};

}  // namespace dunlinknot::cluster
