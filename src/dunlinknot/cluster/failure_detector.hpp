// Decides from the workers' heartbeats which machines are unreachable, which are faulty, and which
// jobs fail wherever they run.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/machine.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::cluster {

// The verdicts and the evidence for them are kept in `Machine` and `Job`; the detector itself has
// no state. Called by `Cluster` under the leader state's lock.
class FailureDetector {
 public:
  // `lease`: an upper bound of how long a worker runs its tasks without a response.
  FailureDetector(const settings::Operator& operator_settings, Nanos lease)
      : op_(operator_settings), lease_(lease) {}

  // --- reachability. A heartbeat's arrival does not prove that responses get through: a machine
  // that receives none would be given work for ever without running any of it. Each heartbeat is
  // reported by exactly one of these.

  // It reports a task that only a response of this leader can have started.
  void on_run_obeyed(Machine& machine) const;
  // It shows that a response was lost: a `run` is missing, or the lease ran out nevertheless.
  void on_response_lost(Machine& machine, Instant now) const;
  // It shows neither.
  void on_heartbeat(Machine& machine, Instant now) const;
  // The unreachable machines, by id; none when they are so many that it must be this leader's
  // responses which are late.
  static std::vector<std::string> unreachable(const MachineTable& machines);

  // --- failing tasks

  // A task exited with an error. `job` is null when it is not open any more.
  void on_task_error(Machine& machine, Job* job, const JobTable& jobs, Instant now) const;
  // A task was completed there: the machine is sound.
  static void on_task_completed(Machine& machine);

 private:
  void back_off_if_failing(Job& job, Instant now) const;
  void drain_if_faulty(Machine& machine, const Job& job, const JobTable& jobs) const;

  const settings::Operator& op_;
  Nanos lease_;
};

}  // namespace dunlinknot::cluster
