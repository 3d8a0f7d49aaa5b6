// The leader's view of the cluster: open jobs, machines, and what is allocated where.
// Everything that comes from outside passes through here; nothing here does I/O.
//
// An allocation is the claim "this task may be on that machine". It is made before the task can
// start and ends only when it is certain that the task is not there (any more). Limits, zones and
// room are counted over allocations, never over what happens to be reported.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/placement_constraints.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

enum class Phase : uint8_t {
  planned,    // decided, not yet written down: may not start
  durable,    // stands in the key-value store: `run` may go out
  sent,       // `run` went out
  seen,       // the worker reported it
  inherited,  // written down by a former leader, which may or may not have sent the `run`
};

enum class StopReason : uint8_t { none, preempted, interruption, cancelled, orphan, gang_broken };

// Why replicas of services had to run again, since the leader's term began.
struct ReplicaRestarts {
  uint64_t machine_lost = 0;  // silent beyond its lease, or deleted
  uint64_t moved = 0;         // stopped because its machine is interrupted, or to keep a rule
  uint64_t preempted = 0;
  uint64_t ended = 0;  // by itself: failed, or reported as completed
};

// Where a task stands among those that wait: the higher tier first, then what is due first.
struct QueuePosition {
  int tier = 0;
  double due = 0;  // seconds of this process's steady clock
  bool before(const QueuePosition& position) const {
    return tier != position.tier ? tier > position.tier : due < position.due;
  }
};

struct Allocation {
  TaskRef task;
  uint64_t attempt = 0;
  int team = -1;
  std::string team_name;
  Resources need;
  std::string image;
  Seconds estimate{0};
  bool gang = false;
  bool service = false;
  Priority priority = Priority::low;
  size_t record_group_size = 0;  // what its job adds to the machine's record, beside the tasks
  Phase phase = Phase::planned;
  uint64_t sent_incarnation = 0;  // of the heartbeat that was answered with the `run`
  TaskState state = TaskState::fetching;
  Instant placed_at{};
  Instant running_since{};  // zero: not seen running
  // Stands in the record, but waits on the machine for room that other tasks there will leave: its
  // `run` has not gone out. It takes no room and none of its team's limit until then.
  bool queued = false;
  QueuePosition queue_position;
  StopReason stop = StopReason::none;
  Seconds grace{0};
  Instant stop_at{};
  bool stopping() const { return stop != StopReason::none; }
  // Its `run` was never sent under us: it may be undone at any time.
  bool unsent() const { return phase == Phase::planned || phase == Phase::durable; }
};

struct CachedImage {
  std::string name;
  double gb = 0;
};

struct Machine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;

  // What its worker told.
  bool has_heartbeat = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool fenced = false;  // a heartbeat bore our fencing token: older fencing tokens are refused
                        // there from then on
  bool lost = false;    // silent beyond its lease; back only with a later incarnation
  Instant last_heartbeat{};
  Instant last_answered{};
  Instant incarnation_since{};  // when its worker's incarnation was first heard of
  uint64_t heartbeat_incarnation = 0,
           heartbeat_sequence = 0;  // of its last heartbeat; direct heartbeats may be newer

  // Signs that its heartbeats reach us and our answers do not reach it.
  uint32_t suspicions = 0;
  Instant first_suspicion{};
  Instant last_suspicion{};
  bool unreachable = false;
  std::optional<Instant> interruption_at;

  // What the cloud told.
  Instant known_since{};
  bool listed = false;
  bool listed_running = false;
  bool listed_failed = false;
  bool terminating = false;

  bool draining = false;
  std::string drain_reason;
  uint32_t error_streak = 0;  // errors since its last completed task
  std::map<std::string, bool> error_jobs;
  Instant idle_since{};

  std::vector<Allocation> allocations;
  Resources used;
  Resources
      held;  // promised to others: holds of nominations, headroom; queued tasks leave it alone
  uint32_t queued_tasks = 0;
  std::vector<CachedImage> images;  // most recently used last; a guess from what was started there

  // Its record in the key-value store.
  uint64_t mod_revision = 0;
  bool mod_revision_known = true;
  bool dirty = false;         // allocations were added
  bool write_queued = false;  // in the queue of records to be written
  bool urgent = false;        // in the queue of those that are written first
  bool trailing = false;      // allocations ended: rewritten when there is time
  bool storing = false;
  std::vector<std::pair<TaskRef, uint64_t>> stored;

  Resources free() const { return size - used; }
  bool has_image(std::string_view image) const;
  Allocation* find(const TaskRef& task, uint64_t attempt);
};

// A class of jobs that is expected to start within a time: how it looked and came in of late.
struct DemandForecast {
  JobSpec sample;
  Seconds within{0};
  std::vector<std::pair<WallTime, uint32_t>> arrivals;  // submitted, tasks; the recent ones
  std::map<std::string, WallTime> images;               // last submission with each
};

struct TeamUsage {
  Resources used;
};

// What an event made necessary; the caller wakes the parts concerned.
struct Effects {
  bool schedule = false;
  bool store_machines = false;
  bool store_done = false;
  bool stops = false;  // stop calls should go out at once
  bool runs = false;   // some machine may be sent a `run`
  void operator|=(const Effects& effects) {
    schedule |= effects.schedule, store_machines |= effects.store_machines,
        store_done |= effects.store_done;
    stops |= effects.stops, runs |= effects.runs;
  }
};

struct HeartbeatResponse {
  enum class Kind { accept, stale, superseded } kind = Kind::accept;
  std::vector<Command> commands;
  bool read = false;      // newer than all that was known: it may be answered with orders
  bool run_soon = false;  // a `run` for the machine is likely within moments
};

struct StopCall {
  std::string machine;
  std::string address;
  uint64_t incarnation = 0;
  std::vector<Command> commands;
};

class Cluster {
 public:
  Cluster(const settings::Platform& platform, const settings::Operator& operator_settings);

  // --- take-over
  void begin_term(uint64_t epoch, Instant now);
  void load_job(wire::JobRecord record, uint64_t mod_revision, Instant now);
  void load_done(const std::string& job, uint32_t chunk, wire::View value, uint64_t mod_revision);
  void load_machine(const std::string& id, const wire::MachineRecord& record, uint64_t mod_revision,
                    Instant now);
  uint64_t epoch() const { return epoch_; }
  Instant term_since() const { return term_since_; }
  uint64_t next_attempt();

  // --- jobs
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  const std::map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  // The job is over: cancelled by its user (its tasks are stopped), or done (nothing is left).
  Effects close_job(const std::string& id, bool cancelled, Instant now);
  const std::vector<settings::Team>& teams() const { return platform_.teams; }
  const TeamUsage& usage(int team) const { return usage_[static_cast<size_t>(team)]; }

  // What a task with one accelerator takes besides, as seen of late; empty before the first.
  const Resources& resources_per_gpu() const { return resources_per_gpu_; }

  const std::map<std::string, DemandForecast>& forecasts() const { return forecasts_; }

  // --- machines
  void set_catalog(std::vector<MachineType> types);
  const std::vector<MachineType>& catalog() const { return catalog_; }
  const MachineType* type(std::string_view name) const;
  std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
  Machine* find_machine(const std::string& id);
  Machine& register_machine(const std::string& id, std::string_view type, std::string_view zone,
                            bool spot, Instant now);
  // The machine is to be returned, also when nothing is known of it yet: it gets no work.
  void mark_terminating(const std::string& id);
  // The cloud confirmed that the machine is gone, or its lease is over and it is not listed.
  Effects remove_machine(const std::string& id, Instant now);

  // --- workers
  HeartbeatResponse handle_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                     Effects& effects);
  // The same in two steps, for an answer that waits a moment for a `run` (see
  // workers::ReportHandler).
  HeartbeatResponse apply_heartbeat(const Heartbeat& heartbeat, Instant now, bool may_start,
                                    Effects& effects);
  HeartbeatResponse commands_for(const Heartbeat& heartbeat, Instant now, bool may_start);
  // Machines that a `run` may go out to since this was last asked.
  std::vector<std::string> drain_runnable() { return std::exchange(runnable_, {}); }
  // Whether the last cycle left work waiting for a place.
  void set_work_waits(bool waits) { work_waits_ = waits; }
  // A heartbeat that came as the answer to a direct call: news, but no proof of what is not in it.
  Effects apply_direct_status(const Heartbeat& heartbeat, Instant now);
  // Machines that our answers do not reach. When they are many it is our answers that are late.
  std::vector<std::string> unreachable_machines() const;
  // Ends the allocations of workers whose lease is certainly over.
  Effects expire(Instant now);
  // When the lease of this machine's worker is certainly over, as far as is known now.
  Instant lease_expiry(const Machine& machine) const;

  // --- decisions
  // Where further tasks of the job may go, given all its allocations.
  PlacementConstraints constraints_of(const Job& job) const;
  // Null when the job's constraints do not allow the task there: it is pending again. Whoever plans
  // an allocation has asked `constraints_of` before, so that is a fault of the plan: it is logged
  // and counted.
  Allocation* allocate(Machine& machine, Job& job, uint32_t index, uint64_t attempt, Instant now);
  Allocation* queue_on(Machine& machine, Job& job, uint32_t index, uint64_t attempt,
                       QueuePosition queue_position, Instant now);
  uint64_t refused_allocations() const { return refused_allocations_; }
  // Takes one of the job's tasks that wait on some machine back, so that it can go elsewhere.
  bool withdraw_queued(const std::string& job, Instant now);
  // What queued tasks must leave free: on machines, and of teams' limits.
  void set_held(const std::map<std::string, Resources>& by_machine, std::vector<Resources> by_team);
  void stop(Machine& machine, Allocation& allocation, StopReason reason, Seconds grace,
            Instant now);
  // Gives an allocation up for another: undone at once if its `run` never went out, else stopped.
  Effects preempt(Machine& machine, const TaskRef& task, uint64_t attempt, Instant now);
  Effects drop_unsent(const std::string& job,
                      Instant now);  // planned allocations of a job are undone
  std::vector<StopCall> drain_stop_calls();
  Effects tick(Instant now);  // interruptions that are due, stops that hang

  const ReplicaRestarts& replica_restarts() const { return replica_restarts_; }

  // --- the record of a machine in the key-value store
  wire::MachineRecord record_of(const Machine& machine) const;
  // The machines whose records want writing: those with allocations of services and gangs first,
  // then first come first served.
  void mark_dirty(Machine& machine, bool urgent = false);
  // Takes the next one out of the queue; null when there is none.
  Machine* next_dirty_machine();
  // Puts one that was taken out back to the front.
  void requeue_dirty_machine(Machine& machine);
  size_t dirty_machine_count() const { return urgent_machines_.size() + dirty_machines_.size(); }
  void machine_stored(Machine& machine, const wire::MachineRecord& as_written,
                      uint64_t mod_revision, Effects& effects);
  // An upper bound of its record's size in JSON.
  size_t record_size(const Machine& machine) const;
  // Allocations are planned up to this size; what is above it is for orphans.
  size_t record_limit() const { return record_limit_; }
  // What a job adds to a record at most: once, and with each of its tasks.
  struct RecordCost {
    size_t group = 0;
    size_t task = 0;
  };
  RecordCost record_cost(const Job& job) const;

  // Undoes the allocations on the machine that are not written down yet.
  Effects drop_planned(Machine& machine, Instant now);

  // The machines that hold allocations of a job, open or closed, in no particular order.
  const std::vector<Machine*>& holders(const std::string& job) const;

  // Records of machines that are gone, to be deleted: key and mod revision.
  std::vector<std::pair<std::string, uint64_t>> drain_dead_records() {
    return std::exchange(dead_records_, {});
  }
  size_t allocation_count() const;
  bool was_removed(const std::string& id) const { return removed_.contains(id); }

 private:
  // Counts those of the job's allocations of which `which` is true.
  template <class Predicate>
  PlacementConstraints count_allocations(const Job& job, Predicate&& which) const;
  PlacementConstraints constraints_of_sent(const Job& job) const;
  bool may_allocate(const Machine& machine, Job& job, uint32_t index);
  Allocation make_allocation(Machine& machine, const Job& job, uint32_t index, uint64_t attempt,
                             Instant now);
  void add_allocation(Machine& machine, Allocation allocation);
  static void count_for_job(Job& job, const Allocation& allocation);
  void count_earlier_allocations(Job& job);
  // Ends allocation i of h. Returns what follows from it.
  Effects end_allocation(Machine& machine, size_t i, Instant now, bool gang_goes_on = false);
  // Ends the job's unsent allocations of which `which` is true.
  template <class Predicate>
  Effects end_unsent(const std::string& job, Instant now, Predicate&& which);
  Effects on_exit(Machine& machine, const TaskStatus& status, Instant now);
  void apply_running(Allocation& allocation, Job* job, const Machine& machine, Instant now);
  void back_off_replica(Job& job, uint32_t index, bool soon, Instant now);
  Effects release_backed_off(Instant now);
  void count_restart(const Allocation& allocation, const Machine& machine);
  void move_replicas(Machine& machine, Instant now);
  void break_gang(const std::string& job, uint64_t attempt, Instant now, Effects& effects);
  void stop_gang(const std::string& job, uint64_t attempt, Seconds grace, Instant now);
  void on_error(Machine& machine, Job* job, Instant now);
  void add_suspicion(Machine& machine, Instant now);
  void clear_suspicion(Machine& machine, Instant now) const;
  void start_queued(Machine& machine, Instant now);
  bool sendable(const Allocation& allocation) const;
  bool fresh(Machine& machine, const Heartbeat& heartbeat) const;
  void apply_worker_status(Machine& machine, const Heartbeat& heartbeat, Instant now, bool complete,
                           Effects& effects);
  void apply_machine_state(Machine& machine, const Heartbeat& heartbeat, Instant now, bool complete,
                           Effects& effects);
  Effects end_allocations_before(Machine& machine, uint64_t incarnation, Instant now);
  Allocation& allocate_orphan(Machine& machine, const TaskStatus& task, const Job* job, Instant now,
                              Effects& effects);
  bool may_adopt(const Machine& machine, const Job& job, uint32_t index) const;
  Effects make_way_for(const Job& job, const TaskRef& orphan, Instant now);
  bool apply_task(Machine& machine, const TaskStatus& status, Instant now, Effects& effects);
  bool end_unlisted(Machine& machine, const Heartbeat& heartbeat, Instant now, Effects& effects);
  void note_image(Machine& machine, const Job& job);
  int team_index(std::string_view name) const;
  Instant lease_counted_from(const Machine& machine) const;

  const settings::Platform& platform_;
  const settings::Operator& op_;
  uint64_t epoch_ = 0;
  uint64_t attempts_ = 0;
  Instant term_since_{};
  Nanos former_leader_window_;
  Nanos lease_;
  uint32_t storable_in_chunk_;
  size_t record_limit_;
  std::vector<MachineType> catalog_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  // By job: the machines with allocations of it, so that nothing need walk all machines to find
  // them.
  std::unordered_map<std::string, std::vector<Machine*>> holders_;
  std::vector<TeamUsage> usage_;
  Resources resources_per_gpu_;
  std::map<std::string, DemandForecast> forecasts_;  // by class
  std::set<std::string> terminating_;                // by the decision of a former leader
  std::map<std::string, Instant>
      removed_;  // machines removed of late: late heartbeats are not believed
  std::vector<std::pair<std::string, uint64_t>> dead_records_;
  std::deque<std::string> urgent_machines_;
  std::deque<std::string> dirty_machines_;
  std::vector<std::string> runnable_;
  bool work_waits_ = false;
  uint64_t refused_allocations_ = 0;
  std::set<std::string> backing_off_jobs_;  // with tasks that wait before they are placed again
  ReplicaRestarts replica_restarts_;
  std::vector<Machine*> held_machines_;
  std::vector<Resources> saved_;            // of teams' limits, for gangs that wait for them
  std::vector<std::string> stop_machines_;  // machines with stops that were not called out yet
};

}  // namespace dunlinknot::cluster
