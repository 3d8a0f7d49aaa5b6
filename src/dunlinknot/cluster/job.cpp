// The state transitions of a job's tasks, and their records.
#include "dunlinknot/cluster/job.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

Job::Job(JobSpec spec, WallTime submitted, uint64_t record_mod_revision, int team,
         Instant known_since, uint32_t storable_in_chunk)
    : mod_revision(record_mod_revision),
      waiting_since(known_since),
      held_back_since(known_since),
      spec_(std::move(spec)),
      submitted_(submitted),
      known_since_(known_since),
      team_(team),
      record_group_size_(wire::machine_group_size(spec_.id, spec_.team, spec_.need)),
      done_(spec_.tasks),
      durable_(spec_.tasks),
      storable_in_chunk_(storable_in_chunk) {}

bool Job::is_pending(uint32_t index) const {
  return !done_[index] && !is_live(index) && !backed_off_until_.contains(index);
}

std::optional<uint32_t> Job::pop_pending() {
  while (!requeued_.empty()) {
    const uint32_t index = requeued_.back();
    requeued_.pop_back();
    if (is_pending(index)) return index;
  }
  while (next_unpopped_ < spec_.tasks) {
    const uint32_t index = next_unpopped_++;
    if (is_pending(index)) return index;
  }
  return std::nullopt;
}

void Job::count_done(uint32_t index) {
  done_[index] = true;
  ++done_count_;
  if (is_live(index)) --unfinished_live_;
}

void Job::mark_done(uint32_t index) {
  if (done_[index] || spec_.service) return;
  count_done(index);
  if (index % wire::kChunkTasks < storable_in_chunk_)
    dirty_chunks_.insert(index / wire::kChunkTasks);
}

void Job::add_allocation(uint32_t index) {
  backed_off_until_.erase(index);
  if (live_[index]++ == 0 && !done_[index]) ++unfinished_live_;
}

void Job::remove_allocation(uint32_t index) {
  const auto it = live_.find(index);
  if (it == live_.end()) return;
  if (--it->second > 0) return;
  live_.erase(it);
  if (!done_[index]) {
    --unfinished_live_;
    if (index < next_unpopped_) requeued_.push_back(index);
  }
}

void Job::back_off(uint32_t index, Instant until) {
  if (!done_[index] && !is_live(index)) backed_off_until_[index] = until;
}

bool Job::release_backed_off(Instant now) {
  const size_t released = std::erase_if(backed_off_until_, [&](const auto& entry) {
    const auto& [index, until] = entry;
    if (now < until) return false;
    if (index < next_unpopped_) requeued_.push_back(index);
    return true;
  });
  return released > 0;
}

uint32_t Job::note_replica_end(uint32_t index, bool early) {
  if (early) return ++early_exits_[index];
  early_exits_.erase(index);
  return 0;
}

void Job::load_chunk(uint32_t chunk, const std::vector<bool>& done, uint64_t record_mod_revision) {
  chunk_mod_revisions[chunk] = record_mod_revision;
  if (spec_.service) return;  // replicas are never done, whatever the record contains
  const size_t begin = size_t{chunk} * wire::kChunkTasks;
  const size_t end = std::min<size_t>(done.size(), begin + wire::kChunkTasks);
  for (size_t i = begin; i < end; ++i) {
    if (!done[i]) continue;
    if (!done_[i]) count_done(static_cast<uint32_t>(i));
    durable_[i] = true;
  }
}

void Job::chunk_stored(uint32_t chunk, const std::vector<bool>& as_written,
                       uint64_t record_mod_revision) {
  chunk_mod_revisions[chunk] = record_mod_revision;
  const size_t begin = size_t{chunk} * wire::kChunkTasks;
  const size_t end = std::min<size_t>(done_.size(), begin + wire::kChunkTasks);
  bool clean = true;
  const size_t storable_end = std::min<size_t>(end, begin + storable_in_chunk_);
  for (size_t i = begin; i < storable_end; ++i) {
    durable_[i] = as_written[i];
    if (done_[i] && !durable_[i]) clean = false;
  }
  if (clean) dirty_chunks_.erase(chunk);
}

}  // namespace dunlinknot::cluster
