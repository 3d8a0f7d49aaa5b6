// The leader's view of the cluster: open jobs, machines, and what is allocated where.
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

// A record in the key-value store that is to be deleted, as long as it was not changed since.
struct DeadRecord {
  std::string key;
  uint64_t mod_revision = 0;
};

// The facade through which the leader's parts read and change the cluster's state. It does no I/O
// and takes no lock: it is part of `LeaderState`, so every call is made under that lock, and what
// has to follow is returned as `Effects` (see `LeaderContext::follow_up`).
//
// An allocation is made before its task can start, and ends only when it is certain that the task
// is not on the machine (any more). Limits, zones and room are counted over allocations, never over
// what workers happen to report; see AllocationTable.
class Cluster {
 public:
  // Both settings must outlive the cluster.
  Cluster(const settings::Platform& platform, const settings::Operator& operator_settings);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // --- Taking over (AllocationStore). A new leader forgets everything, then loads the records.
  void begin_term(uint64_t epoch, Instant now);
  // Also called for each job that is submitted later. Updates the mod revision of a known job.
  void load_job(wire::JobRecord record, uint64_t mod_revision, Instant now);
  void load_done(const std::string& job, uint32_t chunk, wire::View value, uint64_t mod_revision);
  void load_machine(const std::string& id, const wire::MachineRecord& record, uint64_t mod_revision,
                    Instant now);
  uint64_t epoch() const { return epoch_; }
  Instant term_since() const { return term_since_; }
  // Attempts never repeat, neither within a term nor across terms.
  uint64_t next_attempt();

  // --- Jobs
  // Null when the job is not open.
  Job* job(const std::string& id) { return allocations_.job(id); }
  const Job* job(const std::string& id) const { return allocations_.job(id); }
  const JobTable& jobs() const { return allocations_.jobs(); }
  // The job is over: cancelled by its user (its tasks are stopped), or done (nothing is left).
  Effects close_job(const std::string& id, bool cancelled, Instant now);
  const std::vector<settings::Team>& teams() const { return platform_.teams; }
  // `team`: an index into `teams()`.
  const TeamUsage& usage(int team) const { return allocations_.usage().of(team); }
  // What a task with one accelerator takes besides, as seen recently; zero before the first.
  const Resources& resources_per_gpu() const { return forecasts_.resources_per_gpu(); }
  // By class of jobs.
  const std::map<std::string, DemandForecast>& forecasts() const { return forecasts_.by_class(); }

  // --- Machines (autoscaler)
  void set_catalog(std::vector<MachineType> types);
  const std::vector<MachineType>& catalog() const { return catalog_; }
  // Null when the catalog has no such type.
  const MachineType* type(std::string_view name) const;
  MachineTable& machines() { return allocations_.machines(); }
  const MachineTable& machines() const { return allocations_.machines(); }
  // Null when it is not registered.
  Machine* find_machine(const std::string& id) { return allocations_.machine(id); }
  // The machine with this id, made if it was not known.
  Machine& register_machine(const std::string& id, std::string_view type, std::string_view zone,
                            bool spot, Instant now);
  // The machine is to be returned, and gets no more work. Nothing need be known of it yet.
  void mark_terminating(const std::string& id);
  // The cloud confirmed that the machine is gone, or its lease is over and it is not listed.
  Effects remove_machine(const std::string& id, Instant now);
  // Of late: its heartbeats that are still under way are not believed.
  bool was_removed(const std::string& id) const { return removed_.contains(id); }
  // Machines that our responses do not reach; none when so many that our responses must be late.
  std::vector<std::string> unreachable_machines() const;
  // When the lease of this machine's worker is certainly over, as far as is known now.
  Instant lease_expiry(const Machine& machine) const;
  // Ends the allocations of workers whose lease is certainly over.
  Effects expire_leases(Instant now);
  // Called periodically: undoes what cannot start, stops what is about to be interrupted,
  // and ends back-offs that are over.
  Effects tick(Instant now);

  // --- Workers (workers::HeartbeatHandler). `may_start`: whether this leader may send a `run` now.
  HeartbeatResponse handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                     Effects& effects);
  // The same in two steps, for a response that is held back a moment for a `run`.
  HeartbeatResponse apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                    Effects& effects);
  HeartbeatResponse commands_for(const Heartbeat& heartbeat, Instant now, bool may_start);
  // A status that came as the answer to a direct call.
  Effects apply_direct_status(const Heartbeat& heartbeat, Instant now);
  // Ids of the machines that became able to be sent a `run` since this was last called.
  std::vector<std::string> drain_runnable() { return std::exchange(runnable_, {}); }
  // Whether the last scheduling cycle left work that waits for a place.
  void set_has_pending_work(bool waits) { work_waits_ = waits; }
  std::vector<StopCall> drain_stop_calls();

  // --- Decisions (scheduler, preemption)
  // The constraints on further tasks of the job, given all its allocations.
  PlacementConstraints constraints_of(const Job& job) const {
    return allocations_.constraints_of(job);
  }
  // Null when the job's constraints do not allow the task there: it is pending again. Whoever plans
  // an allocation has asked `constraints_of` before, so that is a fault of the plan: it is logged
  // and counted.
  Allocation* allocate(Machine& machine, Job& job, uint32_t index, uint64_t attempt, Instant now);
  // The same, but the task starts only when there is room (see Allocation::queued).
  Allocation* queue_on(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                       QueuePosition queue_position, Instant now);
  uint64_t refused_allocations() const { return refused_allocations_; }
  // Undoes one of the job's queued tasks, so that it can go elsewhere.
  bool withdraw_queued(const std::string& job, Instant now);
  // What queued tasks must leave free, on machines and of teams' limits; replaces what was held.
  void set_reserved(const std::map<std::string, Resources>& by_machine,
                    std::vector<Resources> by_team);
  // See AllocationTable::stop.
  void stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
            Instant now);
  // Gives an allocation up for another: undone at once if its `run` was never sent, else stopped.
  Effects preempt(Machine& machine, const TaskRef& task, uint64_t attempt, Instant now);
  // Undoes the allocations of a job, or on a machine, that are not durable yet.
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
  // Allocations are planned up to this size in bytes; the rest of a record is left to orphans.
  size_t record_limit() const { return record_limit_; }
  void mark_dirty(Machine& machine) { write_queue_.mark_dirty(machine, false); }
  Machine* next_dirty_machine() { return write_queue_.next(machines()); }
  void requeue_dirty_machine(Machine& machine) { write_queue_.requeue(machine); }
  size_t dirty_machine_count() const { return write_queue_.size(); }
  // The machine's record is known to be as given: its allocations are durable.
  void machine_stored(Machine& machine, const wire::MachineRecord& as_written,
                      uint64_t mod_revision, Effects& effects);
  // Records of machines and jobs that are gone, to be deleted.
  std::vector<DeadRecord> drain_dead_records() { return std::exchange(dead_records_, {}); }

 private:
  // Index of the team in `teams()`, or -1.
  int team_index(std::string_view name) const;
  void apply_catalog(Machine& machine) const;
  Instant lease_counted_from(const Machine& machine) const;

  bool may_allocate(const Machine& machine, Job& job, uint32_t index);
  Allocation* add_allocation(Machine& machine, const Job& job, Allocation allocation);
  void note_stored(Machine& machine, const wire::MachineRecord& as_written, uint64_t mod_revision);
  void allow_run(const Machine& machine, const Allocation& allocation);
  uint32_t count_durable(const std::string& job, uint64_t attempt) const;

  const settings::Platform& platform_;
  const Nanos former_leader_window_;  // a former leader may renew leases for so long
  const Nanos lease_;
  const uint32_t storable_in_chunk_;
  const size_t record_limit_;

  uint64_t epoch_ = 0;
  uint64_t attempts_ = 0;  // numbered in this term
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
  std::set<std::string> terminating_;       // ids; by the decision of a former leader
  std::map<std::string, Instant> removed_;  // ids of machines removed of late, and when
  std::vector<DeadRecord> dead_records_;
  std::vector<std::string> runnable_;    // ids
  std::vector<Machine*> held_machines_;  // those with room held, to find it again
  bool work_waits_ = false;
  uint64_t refused_allocations_ = 0;
};

}  // namespace dunlinknot::cluster
