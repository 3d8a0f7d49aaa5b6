// The leader's state of the cluster: open jobs, machines and allocations.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dunlinknot/cluster/allocation_table.hpp"
#include "dunlinknot/cluster/demand_forecasts.hpp"
#include "dunlinknot/cluster/failure_detector.hpp"
#include "dunlinknot/cluster/heartbeat_reconciler.hpp"
#include "dunlinknot/cluster/heartbeat_response.hpp"
#include "dunlinknot/cluster/interruptions.hpp"
#include "dunlinknot/cluster/machine_record.hpp"
#include "dunlinknot/cluster/record_write_queue.hpp"
#include "dunlinknot/cluster/replica_backoff.hpp"
#include "dunlinknot/cluster/worker_commands.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

// An obsolete record in the key-value store. It is deleted only if its mod revision has not
// changed.
struct ObsoleteRecord {
  std::string key;
  uint64_t mod_revision = 0;
};

// The facade through which the components of the leader read and change the cluster's state. It
// does no I/O and takes no lock: it is part of `LeaderState`, every call is made under that lock,
// and the required follow-up work is returned as `Effects` (see `LeaderContext::follow_up`).
//
// An allocation is created before its task can start, and ends only when it is certain that the
// task is not on the machine or has left it. Team limits, zone constraints and used resources are
// computed from allocations, never from what workers report; see AllocationTable.
class Cluster {
 public:
  // Both settings must outlive the cluster.
  Cluster(const settings::Platform& platform, const settings::Operator& operator_settings);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // --- Failover (AllocationStore). A new leader clears its state, then loads the records.
  void begin_term(uint64_t epoch, Instant now);
  // Also called for each job submitted later. For a known job, only updates its mod revision.
  void load_job(wire::JobRecord record, uint64_t mod_revision, Instant now);
  void load_progress(const std::string& job, uint32_t chunk, wire::View value,
                     uint64_t mod_revision);
  void load_machine(const std::string& id, const wire::MachineRecord& record, uint64_t mod_revision,
                    Instant now);
  uint64_t epoch() const { return epoch_; }
  Instant term_since() const { return term_since_; }
  // A new attempt number, unique within the term and across terms.
  uint64_t next_attempt();

  // --- Jobs
  // Null if the job is not open.
  Job* job(const std::string& id) { return allocations_.job(id); }
  const Job* job(const std::string& id) const { return allocations_.job(id); }
  const JobTable& jobs() const { return allocations_.jobs(); }
  // Closes a job that was cancelled by its user (its tasks are stopped) or is done (all tasks have
  // ended).
  Effects close_job(const std::string& id, bool cancelled, Instant now);
  const std::vector<settings::Team>& teams() const { return platform_.teams; }
  // `team`: an index into `teams()`.
  const TeamUsage& usage(int team) const { return allocations_.usage().of(team); }
  // CPUs and memory needed per accelerator by recent jobs; zero before the first such job.
  const Resources& resources_per_gpu() const { return forecasts_.resources_per_gpu(); }
  // Whether further jobs that need accelerators are expected.
  bool accelerators_expected(WallTime now) const { return forecasts_.accelerators_expected(now); }
  // By job class.
  const std::map<std::string, DemandForecast>& forecasts() const { return forecasts_.by_class(); }

  // --- Machines (autoscaler)
  void set_catalog(std::vector<MachineType> types);
  const std::vector<MachineType>& catalog() const { return catalog_; }
  // Null if the catalog has no such machine type.
  const MachineType* type(std::string_view name) const;
  MachineTable& machines() { return allocations_.machines(); }
  const MachineTable& machines() const { return allocations_.machines(); }
  // Null if the machine is not registered.
  Machine* find_machine(const std::string& id) { return allocations_.machine(id); }
  // Returns the machine with this id. Registers it if it is unknown.
  Machine& register_machine(const std::string& id, std::string_view type, std::string_view zone,
                            bool spot, Instant now);
  // The machine will be returned to the cloud and gets no more work. It need not be registered yet.
  void mark_terminating(const std::string& id);
  // Removes a machine whose deletion the cloud confirmed, or whose worker's lease has expired and
  // which the cloud no longer lists.
  Effects remove_machine(const std::string& id, Instant now);
  // Whether the machine was removed recently. Heartbeats of it that arrive afterwards are rejected.
  bool was_removed(const std::string& id) const { return removed_.contains(id); }
  // Ids of the machines that our responses do not reach. Empty if there are so many that late
  // responses of this leader are the more likely cause.
  std::vector<std::string> unreachable_machines() const;
  // The time at which the lease of this machine's worker will have expired with certainty, unless
  // it is renewed.
  Instant lease_expiry(const Machine& machine) const;
  // Ends the allocations of workers whose lease has expired with certainty.
  Effects expire_leases(Instant now);
  // Called periodically: ends allocations whose tasks cannot start, stops tasks that are about to
  // be interrupted, and releases replicas whose backoff delay has passed.
  Effects tick(Instant now);

  // --- Workers (workers::HeartbeatHandler). `may_start`: whether this leader may send a `run` now.
  // Applies a heartbeat and returns the response with its commands.
  HeartbeatResponse handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                     Effects& effects);
  // The same in two steps, for a response that is delayed because a `run` is likely to follow soon.
  HeartbeatResponse apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                    Effects& effects);
  HeartbeatResponse commands_for(const Heartbeat& heartbeat, Instant now, bool may_start);
  // Applies the status in the response to a direct call.
  Effects apply_direct_status(const Heartbeat& heartbeat, Instant now);
  // Ids of the machines for which a `run` became sendable since the last call.
  std::vector<std::string> drain_runnable() { return std::exchange(runnable_, {}); }
  // Whether the last scheduling cycle left pending tasks.
  void set_has_pending_work(bool pending) { has_pending_work_ = pending; }
  std::vector<StopCall> drain_stop_calls();

  // --- Decisions (scheduler, preemption)
  // The constraints on placing further tasks of the job, given all its allocations.
  PlacementConstraints constraints_of(const Job& job) const {
    return allocations_.constraints_of(job);
  }
  // Adds a planned allocation. Returns null if the job's constraints do not allow the task on the
  // machine; the task is then pending again. Callers check `constraints_of` when planning, so a
  // violation is a bug in the plan: it is logged and counted.
  Allocation* allocate(Machine& machine, Job& job, uint32_t index, uint64_t attempt, Instant now);
  // The same, but the task starts only when the machine has enough free resources (see
  // Allocation::queued).
  Allocation* queue_on(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                       QueuePosition queue_position, Instant now);
  uint64_t refused_allocations() const { return refused_allocations_; }
  // Ends the allocation of one of the job's queued tasks, so that it can be placed elsewhere.
  // Returns false if the job has none.
  bool withdraw_queued(const std::string& job, Instant now);
  // Sets the resources that queued tasks must leave free on machines and, if they need no
  // accelerators, for each free accelerator, and the teams' allowances (see
  // TeamUsageTable::set_allowances); replaces the previous ones.
  void set_reserved(const std::map<std::string, Resources>& by_machine,
                    std::vector<std::optional<Resources>> allowances,
                    const Resources& per_gpu = {});
  // See AllocationTable::stop.
  void stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
            Instant now);
  // Preempts a task: ends its allocation immediately if no `run` was sent for it, else stops the
  // task.
  Effects preempt(Machine& machine, const TaskRef& task, uint64_t attempt, Instant now);
  // Ends the allocations of a job, or on a machine, that are not durable yet.
  Effects drop_planned_for_job(const std::string& job, Instant now);
  Effects drop_planned(Machine& machine, Instant now);
  // The machines that hold allocations of a job, open or closed, in no particular order.
  const std::vector<Machine*>& holders(const std::string& job) const {
    return allocations_.holders(job);
  }
  size_t allocation_count() const;
  const ReplicaRestarts& replica_restarts() const { return allocations_.replica_restarts(); }

  // --- Records of machines in the key-value store (AllocationStore); see RecordWriteQueue and
  // machine_record.hpp.
  using RecordCost = cluster::RecordCost;
  wire::MachineRecord record_of(const Machine& machine) const { return machine_record(machine); }
  size_t record_size(const Machine& machine) const { return machine_record_size(machine); }
  RecordCost record_cost(const Job& job) const { return machine_record_cost(job, epoch_); }
  // Allocations are planned only up to this size of a machine's record, in bytes. The rest of the
  // maximum size is reserved for orphans.
  size_t record_limit() const { return record_limit_; }
  void mark_dirty(Machine& machine) { write_queue_.mark_dirty(machine, false); }
  Machine* next_dirty_machine() { return write_queue_.next(machines()); }
  void requeue_dirty_machine(Machine& machine) { write_queue_.requeue(machine); }
  size_t dirty_machine_count() const { return write_queue_.size(); }
  // Applies a record that is known to be stored: the allocations in it are durable.
  void machine_stored(Machine& machine, const wire::MachineRecord& as_written,
                      uint64_t mod_revision, Effects& effects);
  // Obsolete records of removed machines and closed jobs, to be deleted.
  std::vector<ObsoleteRecord> drain_obsolete_records() {
    return std::exchange(obsolete_records_, {});
  }

 private:
  // Index of the team in `teams()`, or -1 if there is no such team.
  int team_index(std::string_view name) const;
  void apply_catalog(Machine& machine) const;
  Instant latest_possible_renewal(const Machine& machine) const;

  bool may_allocate(const Machine& machine, Job& job, uint32_t index);
  Allocation* add_allocation(Machine& machine, Job& job, Allocation allocation);
  void note_stored(Machine& machine, const wire::MachineRecord& as_written, uint64_t mod_revision);
  void allow_run(const Machine& machine, const Allocation& allocation);
  uint32_t count_durable(const std::string& job, uint64_t attempt) const;

  const settings::Platform& platform_;
  const Nanos former_leader_renewal_window_;  // how long a former leader may still renew leases
  const Nanos lease_;
  const uint32_t storable_in_chunk_;
  const size_t record_limit_;

  uint64_t epoch_ = 0;
  uint64_t attempts_ = 0;  // number of attempts created in this term
  Instant term_since_{};

  AllocationTable allocations_;
  DemandForecasts forecasts_;
  RecordWriteQueue write_queue_;
  ReplicaBackoff replica_backoff_;
  FailureDetector failure_detector_;
  HeartbeatReconciler reconciler_;
  WorkerCommands worker_commands_;
  Interruptions interruptions_;

  std::vector<MachineType> catalog_;
  // Ids of machines to be returned, including those that a former leader decided to return.
  std::set<std::string> terminating_;
  std::map<std::string, Instant> removed_;  // ids of recently removed machines, and when
  std::vector<ObsoleteRecord> obsolete_records_;
  std::vector<std::string> runnable_;        // ids
  std::vector<Machine*> reserved_machines_;  // machines with reserved resources
  Resources reserved_per_gpu_;               // see reserved_for_accelerators
  bool has_pending_work_ = false;
  uint64_t refused_allocations_ = 0;
};

}  // namespace dunlinknot::cluster
