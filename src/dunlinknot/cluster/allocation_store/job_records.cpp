// Decoding and applying the records of open, cancelled and finished jobs.
#include "dunlinknot/cluster/allocation_store/job_records.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::cluster {

using http::Outcome;

void JobRecords::apply(const kv::KeyValue& item) const {
  auto record = wire::read_job_record(item.value);
  if (!record || item.key != wire::job_key(record->spec.id)) {
    spdlog::error("cannot decode the job record {}: ignoring it", item.key);
    return;
  }
  spdlog::debug("job {}: {} tasks of class {} for team {}, estimate {:.0f} s", record->spec.id,
                record->spec.tasks, record->spec.job_class, record->spec.team,
                record->spec.estimate.count());
  const Instant now = access_.context.loop.now();
  access_.context.leader_state.with([&](LeaderState& leader) {
    leader.cluster.load_job(std::move(*record), item.mod_revision, now);
  });
}

// A job that this node finished is closed when its transaction completes, which may be after the
// watch reports the deletion. All tasks are done in that case, so stopping the remaining
// allocations of the job does no harm.
Effects JobRecords::close_removed(LeaderState& leader, const std::string& id) const {
  const Job* job = leader.cluster.job(id);
  if (!job) return {};
  if (!job->all_done()) spdlog::info("job {} was cancelled: stopping its tasks", id);
  const Effects effects = leader.cluster.close_job(id, true, access_.context.loop.now());
  leader.nominations.end_all_of_job(id);
  return effects;
}

Task<void> JobRecords::reread(uint64_t term, std::string id) const {
  LeaderContext& context = access_.context;
  const kv::GetResult open =
      co_await access_.store.get(wire::job_key(id), StoreAccess::kCallTimeout);
  if (!context.in_term(term) || open.outcome != Outcome::ok) co_return;
  if (open.found) {
    // Only the watch adds jobs, because this read may be older than the end of the job.
    context.leader_state.with([&](LeaderState& leader) {
      if (Job* job = leader.cluster.job(id)) job->mod_revision = open.item.mod_revision;
    });
    co_return;
  }
  const kv::GetResult end =
      co_await access_.store.get(wire::final_key(id), StoreAccess::kCallTimeout);
  if (!context.in_term(term) || end.outcome != Outcome::ok) co_return;
  close(id, end);
}

// `end`: the record of how the job ended. If it is missing or cannot be decoded, the job is treated
// as cancelled.
void JobRecords::close(const std::string& id, const kv::GetResult& end) const {
  LeaderContext& context = access_.context;
  const auto record = end.found ? wire::read_final(end.item.value) : std::nullopt;
  const bool cancelled = !record || record->cancelled;
  const Effects effects = context.leader_state.with([&](LeaderState& leader) {
    const Effects closed = leader.cluster.close_job(id, cancelled, context.loop.now());
    leader.nominations.end_all_of_job(id);
    return closed;
  });
  if (!cancelled) access_.handler.on_job_finished(id, record->tasks);
  context.follow_up(effects);
}

}  // namespace dunlinknot::cluster
