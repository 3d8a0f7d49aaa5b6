// One scheduling cycle: the stages, in their order. Internal to the scheduler; plan() runs one.
#pragma once
#include "dunlinknot/scheduler/arrays.hpp"
#include "dunlinknot/scheduler/gangs.hpp"

namespace dunlinknot::scheduler {

// Each stage works on the candidates as the stages before it left them and adds to the plan;
// nothing here changes the cluster. Lives for one call of run().
class SchedulingCycle {
 public:
  explicit SchedulingCycle(const CycleInputs& inputs);
  SchedulingCycle(const SchedulingCycle&) = delete;
  SchedulingCycle& operator=(const SchedulingCycle&) = delete;

  // To be called once.
  Plan run();

 private:
  void schedule(const QueueEntry& entry);
  void record_reserved_room();

  CycleState state_;
  ScaleOutRequests scale_out_;
  PreemptionStage preemption_;
  MachineQueueing machine_queueing_;
  GangScheduling gangs_;
  ArrayScheduling arrays_;
};

}  // namespace dunlinknot::scheduler
