// The table of open jobs, machines and allocations.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/cluster/effects.hpp"
#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/job_holders.hpp"
#include "dunlinknot/cluster/machine.hpp"
#include "dunlinknot/cluster/placement_constraints.hpp"
#include "dunlinknot/cluster/replica_restarts.hpp"
#include "dunlinknot/cluster/stop_calls.hpp"
#include "dunlinknot/cluster/team_usage.hpp"

namespace dunlinknot::cluster {

// How the end of one task affects the rest of its gang.
enum class GangEffect : uint8_t {
  breaks,    // the other tasks are stopped, so that the next attempt can start soon
  survives,  // the other tasks exit by themselves, or the caller is ending them
};

// The only place where allocations are added and ended, so that all derived counts (used resources
// of the machine, usage of the team, live tasks of the job, the index by job) are consistent with
// the allocations. Not synchronized: owned by `Cluster` and guarded by the leader state's lock.
class AllocationTable {
 public:
  explicit AllocationTable(const settings::Platform& platform) : usage_(platform.teams) {}
  void clear();

  JobTable& jobs() { return jobs_; }
  const JobTable& jobs() const { return jobs_; }
  // Null if the job is not open.
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  MachineTable& machines() { return machines_; }
  const MachineTable& machines() const { return machines_; }
  Machine* machine(const std::string& id);
  // The machines that hold allocations of a job, open or closed, in no particular order.
  const std::vector<Machine*>& holders(const std::string& job) const { return holders_.of(job); }
  TeamUsageTable& usage() { return usage_; }
  const TeamUsageTable& usage() const { return usage_; }
  const ReplicaRestarts& replica_restarts() const { return replica_restarts_; }
  PendingStopCalls& stop_calls() { return stop_calls_; }

  // --- adding. Updates all counts.
  Allocation& add(Machine& machine, Allocation allocation);
  // Adds the existing allocations of a job that has just been opened, such as an orphan's, to the
  // job's counts, so that those tasks are not placed again.
  void count_earlier_allocations(Job& job);
  // The constraints on placing further tasks of the job, given all its allocations.
  PlacementConstraints constraints_of(const Job& job) const;
  // The same, given only the allocations whose tasks may already be running.
  PlacementConstraints constraints_of_sent(const Job& job) const;

  // --- ending. If a gang breaks, these functions may end further allocations, also on the same
  // machine. Loops over allocations by index must therefore run backwards and check the index in
  // each iteration.
  Effects end(Machine& machine, size_t index, Instant now, GangEffect gang = GangEffect::breaks);
  Effects end_all(Machine& machine, Instant now);
  // Ends the machine's allocations that satisfy the predicate.
  template <class Predicate>
  Effects end_on_machine(Machine& machine, Instant now, Predicate&& which) {
    Effects effects;
    for (size_t i = machine.allocations.size(); i-- > 0;) {
      if (i < machine.allocations.size() && which(machine.allocations[i]))
        effects |= end(machine, i, now);
    }
    return effects;
  }
  // Ends the allocations of a job for which no `run` was sent and which satisfy the predicate.
  template <class Predicate>
  Effects end_unsent(const std::string& job, Instant now, Predicate&& which) {
    Effects effects;
    for (Machine* machine : std::vector(holders(job))) {
      effects |= end_on_machine(*machine, now, [&](const Allocation& allocation) {
        return allocation.task.job == job && allocation.unsent() && which(*machine, allocation);
      });
    }
    return effects;
  }
  // Ends the unsent allocations of a job that its constraints do not allow in addition to an
  // orphan, that is, a task that is running without an allocation.
  Effects end_conflicts_with_orphan(const Job& job, const TaskRef& orphan, Instant now);
  // Ends or stops all remaining allocations of one attempt of a gang.
  void break_gang(const std::string& job, uint64_t attempt, Instant now, Effects& effects);

  // --- stopping: the allocation is kept until its machine reports that the task has ended. The
  // grace period of a stop is never extended: a later stop with an equal or longer one is ignored.
  void stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
            Instant now);
  // Stops all tasks of a gang because one of its machines is about to be interrupted.
  void stop_gang(const std::string& job, uint64_t attempt, Seconds grace, Instant now);

  // --- tasks queued on machines
  // Dequeues as many of the tasks queued on the machine as fit into its free resources.
  // `reserved_per_gpu`: what tasks without accelerators leave for each free accelerator.
  void start_queued(Machine& machine, const Resources& reserved_per_gpu, Instant now);
  // Ends the allocation of one of the job's queued tasks, on the machine with the most queued
  // tasks. Returns false if the job has none.
  bool withdraw_queued(const std::string& job, Instant now);

 private:
  template <class Predicate>
  PlacementConstraints count_allocations(const Job& job, Predicate&& which) const;
  static void count_for_job(Job& job, const Allocation& allocation);
  void uncount(Machine& machine, const Allocation& allocation, Instant now);

  JobTable jobs_;
  MachineTable machines_;
  JobHolders holders_;
  TeamUsageTable usage_;
  PendingStopCalls stop_calls_;
  ReplicaRestarts replica_restarts_;
};

}  // namespace dunlinknot::cluster
