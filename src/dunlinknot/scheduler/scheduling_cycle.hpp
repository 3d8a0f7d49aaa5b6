// One scheduling cycle, which runs the stages in order. Internal to the scheduler; plan() runs one.
#pragma once
#include "dunlinknot/scheduler/arrays.hpp"
#include "dunlinknot/scheduler/gangs.hpp"

namespace dunlinknot::scheduler {

// Each stage uses the candidates as earlier stages left them and adds to the plan; the cluster is
// not changed. One instance serves a single call of run().
class SchedulingCycle {
 public:
  explicit SchedulingCycle(const CycleInputs& inputs);
  SchedulingCycle(const SchedulingCycle&) = delete;
  SchedulingCycle& operator=(const SchedulingCycle&) = delete;

  // Runs all stages and returns the plan. Must be called only once.
  Plan run();

 private:
  void schedule(const QueueEntry& entry);
  void record_reserved_room();
  void record_allowances();

  CycleState state_;
  ScaleOutRequests scale_out_;
  PreemptionStage preemption_;
  MachineQueueing machine_queueing_;
  GangScheduling gangs_;
  ArrayScheduling arrays_;
};

}  // namespace dunlinknot::scheduler
