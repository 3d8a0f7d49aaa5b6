// Collecting, writing and rereading the progress and the completion of jobs.
#include "dunlinknot/cluster/allocation_store/progress_writer.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

namespace {

using http::Outcome;

constexpr auto kMaxWait = std::chrono::seconds(1);  // upper bound of the wait for a notification
// The delay before a batch is written again after rereading.
constexpr Millis kRereadDelay{30};
// Completing a job writes its final record and deletes its open record.
constexpr size_t kWritesPerCompletion = 2;
// The share of the write budget for the progress of open jobs.
constexpr double kOpenJobsBudgetShare = 0.15;
// The delay until the next check if there was no progress of open jobs to write.
constexpr Seconds kOpenJobsCheckInterval{1};

}  // namespace

Task<void> ProgressWriter::run(uint64_t term) {
  LeaderContext& context = access_.context;
  while (context.in_term(term)) {
    (void)co_await context.store_progress.wait_until(
        std::max(next_open_, context.loop.now() + kMaxWait));
    for (bool more = true; more && context.in_term(term);) more = co_await write_some(term);
  }
}

void ProgressWriter::add_completion(Batch& batch, const Job& job) const {
  const std::string& id = job.spec().id;
  batch.jobs.insert(id);
  batch.txn.compares.push_back({wire::job_key(id), job.mod_revision});
  batch.txn.compares.push_back({wire::final_key(id), 0});
  batch.txn.writes.push_back(
      {wire::final_key(id), wire::write_final({false, job.spec().tasks}), 0});
  batch.txn.writes.push_back({wire::job_key(id), "", 0});
  batch.finished.push_back({id, job.spec().tasks});
}

void ProgressWriter::add_chunks(Batch& batch, const Job& job) const {
  const std::string& id = job.spec().id;
  batch.jobs.insert(id);
  batch.txn.compares.push_back({wire::job_key(id), job.mod_revision});
  for (const uint32_t chunk : job.dirty_chunks()) {
    if (batch.txn.writes.size() >= access_.max_writes()) return;
    const auto stored = job.chunk_mod_revisions.find(chunk);
    const uint64_t mod_revision = stored == job.chunk_mod_revisions.end() ? 0 : stored->second;
    const std::string key = wire::done_key(id, chunk);
    batch.txn.compares.push_back({key, mod_revision});
    batch.txn.writes.push_back(
        {key, wire::write_done_chunk(job.done_bits(), chunk, job.storable_in_chunk()), 0});
    batch.chunks.push_back({id, chunk, job.done_bits()});
  }
}

// Collects the completion of jobs and, with `include_open`, the progress of open jobs. Open jobs
// are taken in round-robin order, starting after the job that was written last, so that none is
// starved.
ProgressWriter::Batch ProgressWriter::collect(const Cluster& cluster, bool include_open) const {
  Batch batch;
  batch.txn.compares.push_back(access_.context.epoch_compare());
  std::vector<const Job*> open;
  size_t first_after_last = 0;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->all_done()) {
      if (batch.txn.writes.size() + kWritesPerCompletion <= access_.max_writes())
        add_completion(batch, *job);
    } else if (include_open && !job->dirty_chunks().empty()) {
      open.push_back(job.get());
      if (id <= last_open_job_) ++first_after_last;
    }
  }
  std::rotate(open.begin(), open.begin() + static_cast<ptrdiff_t>(first_after_last), open.end());
  for (const Job* job : open) {
    if (batch.txn.writes.size() >= access_.max_writes()) break;
    add_chunks(batch, *job);
  }
  return batch;
}

// Delays the next write of progress of open jobs, so that these writes keep to their share of the
// write budget. Without this limit, and with lowered limits of the key-value store, transactions
// were so small that the first jobs had new progress before the last ones were written, and no
// allocations were written for half a minute.
void ProgressWriter::schedule_next_open(const Batch& batch) {
  if (batch.chunks.empty()) return;
  last_open_job_ = batch.chunks.back().job;
  const double rate = access_.store.write_burst() * kOpenJobsBudgetShare;
  const Seconds write_delay(static_cast<double>(batch.chunks.size()) / rate);
  next_open_ = access_.context.loop.now() + to_nanos(write_delay);
}

// Applies a batch that is durable.
void ProgressWriter::apply_stored(const Batch& batch, uint64_t revision) const {
  LeaderContext& context = access_.context;
  Effects effects;
  context.leader_state.with([&](LeaderState& leader) {
    for (const ChunkWrite& write : batch.chunks) {
      if (Job* job = leader.cluster.job(write.job))
        job->chunk_stored(write.chunk, write.bits, revision);
    }
    for (const FinishedJob& job : batch.finished) {
      effects |= leader.cluster.close_job(job.id, false, context.loop.now());
      leader.nominations.end_all_of_job(job.id);
    }
  });
  for (const FinishedJob& job : batch.finished) {
    access_.handler.on_job_finished(job.id, job.tasks);
  }
  context.follow_up(effects);
}

void ProgressWriter::apply_reread(const ChunkWrite& chunk, const kv::GetResult& got) const {
  access_.context.leader_state.with([&](LeaderState& leader) {
    Job* job = leader.cluster.job(chunk.job);
    if (!job) return;
    if (!got.found) {
      job->chunk_mod_revisions.erase(chunk.chunk);
      return;
    }
    std::vector<bool> bits(job->spec().tasks);
    if (wire::read_done_chunk(got.item.value, chunk.chunk, bits)) {
      job->load_chunk(chunk.chunk, bits, got.item.mod_revision);
      job->chunk_stored(chunk.chunk, bits, got.item.mod_revision);
    }
  });
}

// Rereads the records concerned after a transaction with an unknown outcome or a failed compare.
// Returns false if the term ended.
Task<bool> ProgressWriter::reread(uint64_t term, Batch batch, kv::TransactionResult result) const {
  for (const ChunkWrite& chunk : batch.chunks) {
    const std::string key = wire::done_key(chunk.job, chunk.chunk);
    if (result.outcome == Outcome::ok && !result.compare_failed(key)) continue;
    const kv::GetResult got = co_await access_.store.get(key, StoreAccess::kCallTimeout);
    if (!access_.context.in_term(term)) co_return false;
    if (got.outcome == Outcome::ok) apply_reread(chunk, got);
  }
  for (const std::string& id : batch.jobs) {
    if (result.outcome == Outcome::unknown || result.compare_failed(wire::job_key(id)) ||
        result.compare_failed(wire::final_key(id))) {
      co_await jobs_.reread(term, id);
      if (!access_.context.in_term(term)) co_return false;
    }
  }
  co_return true;
}

// Writes a batch. Returns whether there may be more to write immediately.
Task<bool> ProgressWriter::write_some(uint64_t term) {
  LeaderContext& context = access_.context;
  // The completion of a job is written immediately. The progress of open jobs can be delayed,
  // because workers keep their completed tasks until the completion is durable. On a large cluster,
  // one write per task would exhaust the write budget.
  const bool include_open = context.loop.now() >= next_open_;
  Batch batch = context.leader_state.with(
      [&](LeaderState& leader) { return collect(leader.cluster, include_open); });
  if (batch.txn.writes.empty()) {
    if (include_open) next_open_ = context.loop.now() + to_nanos(kOpenJobsCheckInterval);
    co_return false;
  }
  schedule_next_open(batch);
  if (batch.finished.empty()) {
    co_await access_.await_budget(term, static_cast<double>(batch.txn.writes.size()));
  }
  if (!context.in_term(term)) co_return false;
  kv::TransactionResult result =
      co_await access_.store.commit(std::move(batch.txn), StoreAccess::kCallTimeout);
  if (!context.in_term(term) || access_.superseded(result)) co_return false;
  if (result.applied) {
    apply_stored(batch, result.revision);
    co_return true;
  }
  if (result.outcome == Outcome::not_executed) {
    co_await context.loop.sleep(StoreAccess::kRetryDelay);
    co_return true;
  }
  const bool term_continues = co_await reread(term, std::move(batch), std::move(result));
  if (!term_continues) co_return false;
  co_await context.loop.sleep(kRereadDelay);
  co_return true;
}

}  // namespace dunlinknot::cluster
