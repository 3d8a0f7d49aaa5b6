// An open job as the leader knows it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/wire/messages.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

class Job {
 public:
  // Of each chunk of its progress, as many tasks can be recorded as `storable_in_chunk` says.
  Job(JobSpec spec, WallTime submitted, uint64_t mod_revision, int team, Instant known_since,
      uint32_t storable_in_chunk = wire::kChunkTasks);

  const JobSpec& spec() const { return spec_; }
  WallTime submitted() const { return submitted_; }
  Instant known_since() const { return known_since_; }
  int team() const { return team_; }
  // What it adds to the record of a machine where it has tasks, beside the tasks; never changes.
  size_t record_group_size() const { return record_group_size_; }

  uint64_t mod_revision;  // of its record; every allocation guards it

  // Tasks that are neither done nor allocated anywhere, nor held back.
  uint32_t pending() const {
    return spec_.tasks - done_count_ - unfinished_live_ -
           static_cast<uint32_t>(backed_off_until_.size());
  }
  uint32_t unfinished() const { return spec_.tasks - done_count_; }
  std::optional<uint32_t> pop_pending();                        // the caller allocates it
  void requeue(uint32_t index) { requeued_.push_back(index); }  // or gives it back
  bool is_done(uint32_t index) const { return done_[index]; }
  bool is_durable(uint32_t index) const { return durable_[index]; }
  uint32_t done_count() const { return done_count_; }
  bool all_done() const { return done_count_ == spec_.tasks; }
  bool any_live() const { return !live_.empty(); }
  uint32_t live_count() const { return static_cast<uint32_t>(live_.size()); }
  bool is_live(uint32_t index) const { return live_.contains(index); }

  void mark_done(uint32_t index);
  void add_allocation(uint32_t index);
  void remove_allocation(uint32_t index);

  // A task that is not allocated waits until then before it is placed again.
  void back_off(uint32_t index, Instant until);
  // Returns whether any task is pending again.
  bool release_backed_off(Instant now);
  bool any_backed_off() const { return !backed_off_until_.empty(); }

  // A replica of a service ended; returns how many ends in a row followed soon after its start.
  uint32_t note_replica_end(uint32_t index, bool soon);

  // Durable progress, by chunk. Tasks beyond what a chunk's record can tell of are kept by their
  // workers until the job is over.
  uint32_t storable_in_chunk() const { return storable_in_chunk_; }
  const std::set<uint32_t>& dirty_chunks() const { return dirty_chunks_; }
  const std::vector<bool>& done_bits() const { return done_; }
  void load_chunk(uint32_t chunk, const std::vector<bool>& done, uint64_t mod_revision);
  void chunk_stored(uint32_t chunk, const std::vector<bool>& as_written, uint64_t mod_revision);
  std::map<uint32_t, uint64_t> chunk_mod_revisions;

  // What went wrong with its tasks.
  std::set<std::string> failed_on;  // machines; bounded
  bool failing = false;             // fails everywhere: backs off and may not preempt
  Nanos backoff{0};
  Instant not_before{};

  uint32_t queued_tasks = 0;  // tasks that wait on machines for room there
  uint32_t running = 0;       // tasks reported running
  uint64_t gang_attempt = 0;  // the attempt under way
  bool gang_go = false;       // all its allocations are durable: runs may go out
  bool proven = false;        // of a service: some replica of it ran for a while
  Instant waiting_since{};    // since when some of it waits for a place

 private:
  JobSpec spec_;
  WallTime submitted_;
  Instant known_since_;
  int team_;
  size_t record_group_size_;
  std::vector<bool> done_;
  std::vector<bool> durable_;
  uint32_t done_count_ = 0;
  uint32_t unfinished_live_ = 0;
  uint32_t next_fresh_ = 0;
  std::vector<uint32_t> requeued_;
  std::unordered_map<uint32_t, uint32_t> live_;  // task -> allocations
  std::set<uint32_t> dirty_chunks_;
  uint32_t storable_in_chunk_;
  std::map<uint32_t, Instant> backed_off_until_;  // task -> until when
  std::map<uint32_t, uint32_t> quick_ends_;       // replica -> ends in a row soon after its start
};

}  // namespace dunlinknot::cluster
