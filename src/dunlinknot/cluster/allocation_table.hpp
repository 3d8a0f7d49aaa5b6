// The open jobs, the machines, and the allocations that connect them.
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

// What the end of one task means for the rest of its gang.
enum class GangEffect : uint8_t {
  breaks,    // the others are stopped, so that the next attempt can start soon
  survives,  // the others end on their own account, or are being ended by the caller
};

// Every allocation is added and ended here, and nowhere else, so that the counts which follow from
// it (room on the machine, usage of the team, live tasks of the job, the index by job) always agree
// with the allocations. Not synchronized: owned by `Cluster`, behind the leader state's lock.
class AllocationTable {
 public:
  explicit AllocationTable(const settings::Platform& platform) : usage_(platform.teams) {}
  void clear();

  JobTable& jobs() { return jobs_; }
  const JobTable& jobs() const { return jobs_; }
  // Null when the job is not open.
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

  // --- adding
  Allocation& add(Machine& machine, Allocation allocation);
  // Counts for a job that has just been opened the allocations that were known before it, such as
  // an orphan's: those tasks must not be placed again.
  void count_earlier_allocations(Job& job);
  // The constraints on further tasks of the job, given all its allocations.
  PlacementConstraints constraints_of(const Job& job) const;
  // The same, given only those whose tasks may run already.
  PlacementConstraints constraints_of_sent(const Job& job) const;

  // --- ending. These may end further allocations, also on the same machine, when a gang breaks:
  // whoever walks allocations by index walks backwards and checks the index each time.
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
  // Ends the allocations of a job whose `run` was not sent and which satisfy the predicate.
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
  // Undoes what must not start beside an orphan: a task that runs although it has no allocation.
  Effects make_way_for_orphan(const Job& job, const TaskRef& orphan, Instant now);
  // Ends or stops all that is left of one attempt of a gang.
  void break_gang(const std::string& job, uint64_t attempt, Instant now, Effects& effects);

  // --- stopping: the allocation stays until its machine reports that the task is gone.
  // A stop never becomes milder than it was announced: a later one with more grace is ignored.
  void stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
            Instant now);
  // Stops all of a gang for the interruption of one of its machines.
  void stop_gang(const std::string& job, uint64_t attempt, Seconds grace, Instant now);

  // --- tasks queued on machines
  // Lets tasks that are queued on the machine start, as far as there is room. `spare_per_gpu`: what
  // tasks without accelerators have to leave for each accelerator that is free.
  void start_queued(Machine& machine, const Resources& spare_per_gpu, Instant now);
  // Undoes one of the job's queued tasks, where most are queued. Returns whether there was one.
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
