// An open job as the leader knows it: which of its tasks are done, allocated, waiting or delayed.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/wire/messages.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

// Owned by `Cluster`, behind the leader state's lock. Each task (replica, of a service) that is not
// done is in one of three states:
//   live         it has allocations, on however many machines
//   backed off   delayed after failures, by `back_off`
//   pending      neither: it can be taken by `pop_pending` and be allocated
// A task that was popped but not allocated must be given back by `requeue`.
class Job {
 public:
  // `team`: index in settings::Platform::teams, negative when it is none of them.
  // `storable_in_chunk`: of each chunk of tasks, only so many of the first can be recorded as done
  // under the key-value store's limits. The others are kept by their workers until the job is over.
  Job(JobSpec spec, WallTime submitted, uint64_t mod_revision, int team, Instant known_since,
      uint32_t storable_in_chunk = wire::kChunkTasks);

  // --- What never changes
  const JobSpec& spec() const { return spec_; }
  WallTime submitted() const { return submitted_; }
  Instant known_since() const { return known_since_; }  // to this leader
  int team() const { return team_; }
  // Bytes it adds to the record of a machine where it has tasks, beside the tasks.
  size_t record_group_size() const { return record_group_size_; }

  // --- Tasks that wait
  uint32_t pending() const {
    return spec_.tasks - done_count_ - unfinished_live_ -
           static_cast<uint32_t>(backed_off_until_.size());
  }
  // Takes a pending task: those that were given back first, the latest of them first, then by
  // index.
  std::optional<uint32_t> pop_pending();
  void requeue(uint32_t index) { requeued_.push_back(index); }
  // Delays a task that is neither done nor live.
  void back_off(uint32_t index, Instant until);
  // Makes the tasks pending whose delay is over. Returns whether there were any.
  bool release_backed_off(Instant now);
  bool any_backed_off() const { return !backed_off_until_.empty(); }

  // --- Tasks that have allocations
  void add_allocation(uint32_t index);
  void remove_allocation(uint32_t index);
  bool is_live(uint32_t index) const { return live_.contains(index); }
  bool any_live() const { return !live_.empty(); }
  uint32_t live_count() const { return static_cast<uint32_t>(live_.size()); }

  // --- Tasks that are done. `mark_done` is what a worker reports; the task is durable once the
  // record of its chunk says so. A service is never done, nor is any replica of it.
  void mark_done(uint32_t index);
  bool is_done(uint32_t index) const { return done_[index]; }
  uint32_t done_count() const { return done_count_; }
  uint32_t unfinished() const { return spec_.tasks - done_count_; }
  bool all_done() const { return done_count_ == spec_.tasks; }
  const std::vector<bool>& done_bits() const { return done_; }
  bool is_durable(uint32_t index) const { return durable_[index]; }

  // --- Records of chunks of wire::kChunkTasks tasks in the key-value store (AllocationStore)
  uint32_t storable_in_chunk() const { return storable_in_chunk_; }
  // Chunks with tasks that are done but not recorded, although they can be.
  const std::set<uint32_t>& dirty_chunks() const { return dirty_chunks_; }
  // A record was read; `done` covers all tasks of the job.
  void load_chunk(uint32_t chunk, const std::vector<bool>& done, uint64_t mod_revision);
  // A record was written.
  void chunk_stored(uint32_t chunk, const std::vector<bool>& as_written, uint64_t mod_revision);
  std::map<uint32_t, uint64_t> chunk_mod_revisions;  // of the chunks that have a record
  uint64_t mod_revision;                             // of the job's record; allocations guard it

  // --- Failures (FailureDetector, ReplicaBackoff)
  std::set<std::string> failed_on;  // ids of machines that failed its tasks; bounded
  bool failing = false;             // fails wherever it runs: backs off and may not preempt
  Nanos backoff{0};                 // the last delay, while it is failing
  Instant not_before{};             // no task may start before
  bool proven = false;              // a service of which some replica ran for a while
  // It made progress: its tasks can succeed.
  void clear_failing() {
    failing = false;
    backoff = Nanos(0);
  }
  // A replica of a service exited; `soon`: shortly after its start. Returns how many such exits of
  // the replica there were in a row.
  uint32_t note_replica_end(uint32_t index, bool soon);

  // --- Counts over its allocations (AllocationTable)
  uint32_t queued_tasks = 0;    // allocations that wait on machines for room there
  uint32_t running = 0;         // tasks reported running
  uint64_t gang_attempt = 0;    // the latest attempt
  bool gang_may_start = false;  // all allocations of that attempt are durable: runs may be sent
  Instant waiting_since{};      // since when some of it waits for a place

 private:
  // Whether a task taken out of a list of candidates is really pending.
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
  uint32_t unfinished_live_ = 0;    // tasks that are live and not done
  uint32_t next_fresh_ = 0;         // tasks from here on were never popped
  std::vector<uint32_t> requeued_;  // candidates; may have been allocated or done since
  std::unordered_map<uint32_t, uint32_t> live_;  // task -> allocations
  std::set<uint32_t> dirty_chunks_;
  uint32_t storable_in_chunk_;
  std::map<uint32_t, Instant> backed_off_until_;  // task -> until when
  std::map<uint32_t, uint32_t> quick_ends_;       // replica -> exits in a row soon after its start
};

// By id. The order is part of the behaviour: whatever walks all jobs decides in this order.
using JobTable = std::map<std::string, std::unique_ptr<Job>>;

}  // namespace dunlinknot::cluster
