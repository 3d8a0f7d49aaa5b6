// The allocation store's records of progress: completed tasks by chunk, and the ends of jobs.
#include <algorithm>
#include <set>

#include "dunlinknot/cluster/allocation_store.hpp"

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr auto kRereadPause = Millis(30);
constexpr double kPartialShare = 0.15;  // of the write budget, for the progress of open jobs
constexpr Seconds kPartialPause{1};

}  // namespace

Task<void> AllocationStore::store_done(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.store_done.wait_until(
        std::max(next_partial_, context_.loop.now() + std::chrono::seconds(1)));
    for (bool more = true; more && context_.in_term(term);) more = co_await store_some_done(term);
  }
}

void AllocationStore::add_end(ProgressBatch& batch, const Job& job) const {
  const std::string& id = job.spec().id;
  batch.jobs.insert(id);
  batch.txn.compares.push_back({wire::job_key(id), job.mod_revision});
  batch.txn.compares.push_back({wire::final_key(id), 0});
  batch.txn.writes.push_back(
      {wire::final_key(id), wire::write_final({false, job.spec().tasks}), 0});
  batch.txn.writes.push_back({wire::job_key(id), "", 0});
  batch.finished.push_back({id, job.spec().tasks});
}

void AllocationStore::add_chunks(ProgressBatch& batch, const Job& job) const {
  const std::string& id = job.spec().id;
  batch.jobs.insert(id);
  batch.txn.compares.push_back({wire::job_key(id), job.mod_revision});
  for (const uint32_t n : job.dirty_chunks()) {
    if (batch.txn.writes.size() >= max_ops()) return;
    const auto stored = job.chunk_mod_revisions.find(n);
    const uint64_t mod_revision = stored == job.chunk_mod_revisions.end() ? 0 : stored->second;
    const std::string key = wire::done_key(id, n);
    batch.txn.compares.push_back({key, mod_revision});
    batch.txn.writes.push_back(
        {key, wire::write_done_chunk(job.done_bits(), n, job.storable_in_chunk()), 0});
    batch.chunks.push_back({id, n, job.done_bits()});
  }
}

// The ends of jobs and, with `partial`, how far open jobs are: those after the job that was the
// last to be written first, so that all have their turn.
AllocationStore::ProgressBatch AllocationStore::collect_progress(const Cluster& cluster,
                                                                 bool partial) const {
  constexpr size_t kWritesOfEnd = 2;
  ProgressBatch batch;
  batch.txn.compares.push_back(epoch_compare());
  std::vector<const Job*> open;
  size_t before_cursor = 0;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->all_done()) {
      if (batch.txn.writes.size() + kWritesOfEnd <= max_ops()) add_end(batch, *job);
    } else if (partial && !job->dirty_chunks().empty()) {
      open.push_back(job.get());
      if (id <= last_partial_job_) ++before_cursor;
    }
  }
  std::rotate(open.begin(), open.begin() + static_cast<ptrdiff_t>(before_cursor), open.end());
  for (const Job* job : open) {
    if (batch.txn.writes.size() >= max_ops()) break;
    add_chunks(batch, *job);
  }
  return batch;
}

// The batch is durable.
void AllocationStore::progress_stored(const ProgressBatch& batch, uint64_t revision) {
  Effects effects;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& c : batch.chunks) {
      if (Job* job = leader.cluster.job(c.job)) job->chunk_stored(c.chunk, c.bits, revision);
    }
    for (const auto& f : batch.finished) {
      effects |= leader.cluster.close_job(f.job, false, context_.loop.now());
      leader.nominations.job_closed(f.job);
    }
  });
  for (const auto& f : batch.finished) hooks_.finished(f.job, f.tasks);
  context_.follow_up(effects);
}

// Unknown, or a mod revision was not what we thought: reads back what stands. False when the term
// ended.
Task<bool> AllocationStore::reread_progress(uint64_t term, const ProgressBatch& batch,
                                            const kv::TransactionResult& result) {
  for (const auto& c : batch.chunks) {
    const std::string key = wire::done_key(c.job, c.chunk);
    if (result.outcome == Outcome::ok && !result.compare_failed(key)) continue;
    kv::GetResult got = co_await store_.get(key, kCommitTime);
    if (!context_.in_term(term)) co_return false;
    if (got.outcome != Outcome::ok) continue;
    context_.leader_state.with([&](LeaderState& leader) {
      Job* job = leader.cluster.job(c.job);
      if (!job) return;
      if (!got.found) {
        job->chunk_mod_revisions.erase(c.chunk);
        return;
      }
      std::vector<bool> bits(job->spec().tasks);
      if (wire::read_done_chunk(got.item.value, c.chunk, bits)) {
        job->load_chunk(c.chunk, bits, got.item.mod_revision);
        job->chunk_stored(c.chunk, bits, got.item.mod_revision);
      }
    });
  }
  for (const auto& id : batch.jobs) {
    if (result.outcome == Outcome::unknown || result.compare_failed(wire::job_key(id)) ||
        result.compare_failed(wire::final_key(id))) {
      co_await recheck_job(term, id);
      if (!context_.in_term(term)) co_return false;
    }
  }
  co_return true;
}

// The progress of open jobs keeps to its share of the budget, batch by batch. Found with the state
// service's limits lowered: transactions had become so small that the first jobs had new progress
// before the last were reached, and allocations were not written for half a minute.
void AllocationStore::pause_partial(const ProgressBatch& batch) {
  if (batch.chunks.empty()) return;
  last_partial_job_ = batch.chunks.back().job;
  const double rate = store_.write_burst() * kPartialShare;
  const Seconds pause(static_cast<double>(batch.chunks.size()) / rate);
  next_partial_ = context_.loop.now() + to_nanos(pause);
}

// Returns whether there may be more to do at once.
Task<bool> AllocationStore::store_some_done(uint64_t term) {
  // A job's end is told at once. How far an open job is need not be: until it is written down the
  // workers keep what they completed. On a large cluster one write a task would eat the budget.
  const bool partial = context_.loop.now() >= next_partial_;
  ProgressBatch batch = context_.leader_state.with(
      [&](LeaderState& leader) { return collect_progress(leader.cluster, partial); });
  if (batch.txn.writes.empty()) {
    if (partial) next_partial_ = context_.loop.now() + to_nanos(kPartialPause);
    co_return false;
  }
  pause_partial(batch);
  if (batch.finished.empty()) {
    co_await await_budget(term, static_cast<double>(batch.txn.writes.size()));
  }
  if (!context_.in_term(term)) co_return false;
  const kv::TransactionResult result = co_await store_.commit(std::move(batch.txn), kCommitTime);
  if (!context_.in_term(term)) co_return false;
  if (result.compare_failed(wire::kEpochKey)) {
    hooks_.deposed("a transaction met a later epoch");
    co_return false;
  }
  if (result.applied) {
    progress_stored(batch, result.revision);
    co_return true;
  }
  if (result.outcome == Outcome::refused) {
    co_await context_.loop.sleep(kRetry);
    co_return true;
  }
  if (!co_await reread_progress(term, batch, result)) co_return false;
  co_await context_.loop.sleep(kRereadPause);
  co_return true;
}

}  // namespace dunlinknot::cluster
