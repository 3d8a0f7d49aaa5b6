// Determines from heartbeats which machines are unreachable, which are faulty, and which jobs fail
// on every machine.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/machine.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::cluster {

// The results and the observations behind them are stored in `Machine` and `Job`; the detector
// itself is stateless. Called by `Cluster` under the leader state's lock.
class FailureDetector {
 public:
  // `lease`: an upper bound of how long a worker keeps running its tasks without a response.
  FailureDetector(const settings::Operator& operator_settings, Nanos lease)
      : op_(operator_settings), lease_(lease) {}

  // --- reachability. The arrival of a heartbeat does not prove that responses reach the machine:
  // one that receives no responses would be allocated tasks indefinitely without running any of
  // them. For each complete heartbeat exactly one of these functions is called.

  // The heartbeat reports a task that only a response of this leader can have started.
  void on_run_executed(Machine& machine) const;
  // The heartbeat shows that a response was lost: a task for which `run` was sent is missing, or
  // the lease expired although it was renewed in time.
  void on_response_lost(Machine& machine, Instant now) const;
  // The heartbeat shows neither.
  void on_heartbeat(Machine& machine, Instant now) const;
  // The ids of the unreachable machines. Empty if there are so many that late responses of this
  // leader are the more likely cause.
  static std::vector<std::string> unreachable(const MachineTable& machines);

  // --- failing tasks

  // A task exited with an error. `job` is null if the job is no longer open.
  void on_task_error(Machine& machine, Job* job, const JobTable& jobs, Instant now) const;
  // Ends the drain of a machine that replicas of services keep up, after the maximum backoff: such
  // a machine never becomes empty, so that it is not replaced, and may work again. One more error
  // drains it again. Returns whether the machine gets work again.
  bool end_drain_if_due(Machine& machine, Instant now) const;
  // A task completed on the machine, which shows that the machine works.
  static void on_task_completed(Machine& machine);
  // A task that started at this time completed, or has run long enough not to fail at its start.
  static void on_sound_start(Machine& machine, Instant started);

 private:
  void back_off_if_failing(Job& job, Instant now) const;
  void drain_if_faulty(Machine& machine, const Job& job, const JobTable& jobs, Instant now) const;

  const settings::Operator& op_;
  Nanos lease_;
};

}  // namespace dunlinknot::cluster
