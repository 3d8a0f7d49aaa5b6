// An open job in the leader's state: which of its tasks are done, allocated, pending or delayed.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/cluster/failure_memory.hpp"
#include "dunlinknot/wire/messages.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

// Owned by `Cluster` and guarded by the leader state's lock. Each task (of a service: replica) that
// is not done is in one of three states:
//   live         it has allocations, on one or more machines
//   backed off   delayed after failures, by `back_off`
//   pending      neither: it can be taken with `pop_pending` and allocated
// A task that was popped but not allocated must be returned with `requeue`.
class Job {
 public:
  // `team`: index into settings::Platform::teams; negative: not configured there.
  // `storable_in_chunk`: the number of tasks at the start of each chunk whose completion fits into
  // a record under the key-value store's limits. The completion of the other tasks is kept by their
  // workers until the job ends.
  Job(JobSpec spec, WallTime submitted, uint64_t mod_revision, int team, Instant known_since,
      uint32_t storable_in_chunk = wire::kChunkTasks);

  // --- Immutable properties
  const JobSpec& spec() const { return spec_; }
  WallTime submitted() const { return submitted_; }
  Instant known_since() const { return known_since_; }  // by this leader
  int team() const { return team_; }
  // Bytes that the job adds to the record of a machine with its tasks, excluding the tasks.
  size_t record_group_size() const { return record_group_size_; }

  // --- Pending and delayed tasks
  uint32_t pending() const {
    return spec_.tasks - done_count_ - unfinished_live_ -
           static_cast<uint32_t>(backed_off_until_.size());
  }
  // Takes a pending task: requeued tasks first, the most recent of them first, then the others by
  // index.
  std::optional<uint32_t> pop_pending();
  void requeue(uint32_t index) { requeued_.push_back(index); }
  // Delays the task, unless it is done or live.
  void back_off(uint32_t index, Instant until);
  // Makes the tasks pending whose delay has passed. Returns whether there were any.
  bool release_backed_off(Instant now);
  bool any_backed_off() const { return !backed_off_until_.empty(); }

  // --- Live tasks
  void add_allocation(uint32_t index);
  void remove_allocation(uint32_t index);
  bool is_live(uint32_t index) const { return live_.contains(index); }
  bool any_live() const { return !live_.empty(); }
  uint32_t live_count() const { return static_cast<uint32_t>(live_.size()); }

  // --- Done tasks. `mark_done` applies the report of a worker; the completion is durable once it
  // is in the stored record of its chunk. Services and their replicas are never done.
  void mark_done(uint32_t index);
  bool is_done(uint32_t index) const { return done_[index]; }
  uint32_t done_count() const { return done_count_; }
  uint32_t unfinished() const { return spec_.tasks - done_count_; }
  bool all_done() const { return done_count_ == spec_.tasks; }
  const std::vector<bool>& done_bits() const { return done_; }
  bool is_durable(uint32_t index) const { return durable_[index]; }

  // --- Records of chunks of wire::kChunkTasks tasks in the key-value store (AllocationStore)
  uint32_t storable_in_chunk() const { return storable_in_chunk_; }
  // Chunks with done tasks that can be recorded but are not recorded yet.
  const std::set<uint32_t>& dirty_chunks() const { return dirty_chunks_; }
  // Applies a record that was read. `done` has an entry for each task of the job.
  void load_chunk(uint32_t chunk, const std::vector<bool>& done, uint64_t mod_revision);
  // Applies a record that was written.
  void chunk_stored(uint32_t chunk, const std::vector<bool>& as_written, uint64_t mod_revision);
  std::map<uint32_t, uint64_t> chunk_mod_revisions;  // of the chunks that have a record
  // Of the job's record. It is compared when allocations are written.
  uint64_t mod_revision;

  // --- Failures (FailureDetector, ReplicaBackoff)
  FailureMemory failures;  // the machines on which its tasks failed
  bool failing = false;    // fails on every machine: backs off and may not preempt
  Nanos backoff{0};        // the latest delay, if the job is failing
  Instant not_before{};    // no task may start before this time
  // Whether a replica of the service ran long enough not to have failed at its start.
  bool has_stable_replica = false;
  // The job made progress, which shows that its tasks can succeed.
  void clear_failing() {
    failing = false;
    backoff = Nanos(0);
  }
  // Counts the exit of a replica of a service. `early`: it exited shortly after its start. Returns
  // the number of consecutive early exits of the replica, which a later exit resets to 0.
  uint32_t note_replica_end(uint32_t index, bool early);

  // --- Counts over its allocations (AllocationTable)
  uint32_t queued_tasks = 0;    // allocations queued on machines
  uint32_t running = 0;         // tasks reported running
  uint64_t gang_attempt = 0;    // the latest attempt
  bool gang_may_start = false;  // all allocations of that attempt are durable: runs may be sent
  Instant waiting_since{};      // since when some of its tasks have been pending
  // Since when its tasks wait although its team's limit allows more: the latest time at which one
  // of them was placed to start at once, the limit allowed none, or `waiting_since`.
  Instant held_back_since{};

 private:
  // Whether a task from a list of candidates is still pending.
  bool is_pending(uint32_t index) const;
  void count_done(uint32_t index);

  JobSpec spec_;
  WallTime submitted_;
  Instant known_since_;
  int team_;
  size_t record_group_size_;
  std::vector<bool> done_;
  std::vector<bool> durable_;
  uint32_t done_count_ = 0;
  uint32_t unfinished_live_ = 0;                 // tasks that are live and not done
  uint32_t next_unpopped_ = 0;                   // tasks from this index on were never popped
  std::vector<uint32_t> requeued_;               // candidates; may have become live or done since
  std::unordered_map<uint32_t, uint32_t> live_;  // task -> number of allocations
  std::set<uint32_t> dirty_chunks_;
  uint32_t storable_in_chunk_;
  std::map<uint32_t, Instant> backed_off_until_;  // task -> end of its delay
  std::map<uint32_t, uint32_t> early_exits_;      // replica -> consecutive early exits
};

// By id. The order is part of the behaviour: decisions that iterate over all jobs are made in this
// order.
using JobTable = std::map<std::string, std::unique_ptr<Job>>;

}  // namespace dunlinknot::cluster
