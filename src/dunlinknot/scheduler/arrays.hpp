// The stage that schedules arrays and services: on machines with room, on upcoming or newly
// requested machines, by preemption, and by queueing tasks on busy machines.
#pragma once
#include "dunlinknot/scheduler/job_nominations.hpp"
#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/machine_queueing.hpp"
#include "dunlinknot/scheduler/preemption.hpp"
#include "dunlinknot/scheduler/scale_out.hpp"

namespace dunlinknot::scheduler {

// Schedules the arrays and services of one cycle.
class ArrayScheduling {
 public:
  ArrayScheduling(CycleState& state, ScaleOutRequests& scale_out, PreemptionStage& preemption,
                  MachineQueueing& machine_queueing)
      : state_(state),
        scale_out_(scale_out),
        preemption_(preemption),
        machine_queueing_(machine_queueing) {}

  // Schedules one job; called in queue order. Adds the job to the plan's waiting jobs when none of
  // its tasks was placed.
  void schedule(const QueueEntry& entry);

 private:
  struct CapacityResult {
    WaitCause cause;       // what the job waits for
    uint32_t retried = 0;  // tasks placed on machines where tasks of the job had failed
  };
  // Requests machines, retries on failed machines or preempts for `unplaced` tasks.
  // `any_placed`: a task of the job was placed in this cycle.
  CapacityResult request_capacity(const QueueEntry& entry, uint32_t unplaced, bool any_placed,
                                  JobNominations& nominations, PlacementConstraints& constraints);
  // Reserves upcoming machines for the tasks, or requests new ones. `expected` are the constraints
  // with the job's tasks and nominations. A job that fails on every machine gets one machine at a
  // time, to show whether it still fails. Returns how many tasks that provides for.
  uint32_t provide_machines(const QueueEntry& entry, uint32_t unplaced,
                            PlacementConstraints expected);
  // Places the first tasks of a job that was held back for too long in room that is reserved for
  // jobs that are only expected, or on machines where its tasks failed. Returns the number placed.
  uint32_t place_held_back(const Job& job, uint32_t max_tasks, PlacementConstraints& constraints);
  // `placed`: the job's tasks placed in this cycle. Moves up to `max_tasks` queued tasks.
  void move_queued(const QueueEntry& entry, uint32_t placed, uint32_t max_tasks,
                   PlacementConstraints& constraints);
  // Places tasks for which no other machine has room or can be launched on machines where tasks of
  // the job failed, if the delay after the failure is over. Returns the number placed.
  uint32_t retry_on_failed_machines(const Job& job, uint32_t max_tasks,
                                    PlacementConstraints& constraints);
  // Reserves or requests room for the replicas on interrupted machines before they move.
  void prepare_move(const QueueEntry& entry);

  CycleState& state_;
  ScaleOutRequests& scale_out_;
  PreemptionStage& preemption_;
  MachineQueueing& machine_queueing_;
};

}  // namespace dunlinknot::scheduler
