// Looks up a job's state. Reads the key job/ID before final/ID, because a job moves from the first
// to the second in one transaction.
#include "dunlinknot/jobs/job_lookup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dunlinknot::jobs {

using http::Outcome;

namespace {

constexpr auto kCallTimeout = Millis(800);  // allows one retry within the users' timeout of 2 s

}  // namespace

Nanos call_timeout(Nanos time_left) {
  return std::min<Nanos>(kCallTimeout, time_left);
}

LookupResult LookupResult::ended(const wire::FinalRecord& record) {
  LookupResult result;
  result.kind = Kind::final;
  result.final = record;
  return result;
}

JobLookup::JobLookup(EventLoop& loop, kv::Client& store, size_t final_cache_capacity,
                     std::function<void(const std::string& id)> on_cancelled)
    : loop_(loop),
      store_(store),
      on_cancelled_(std::move(on_cancelled)),
      final_cache_(final_cache_capacity) {}

void JobLookup::record_final(const std::string& id, const wire::FinalRecord& record,
                             uint64_t revision) {
  const bool changed = final_cache_.put(id, record);
  if (!record.cancelled) return;
  cancel_revision_ = std::max(cancel_revision_, revision);
  if (changed) on_cancelled_(id);
}

Task<LookupResult> JobLookup::find(std::string id, Instant deadline) {
  LookupResult result;
  if (const auto* final = final_cache_.find(id)) co_return LookupResult::ended(*final);
  while (loop_.now() < deadline) {
    const Nanos timeout = call_timeout(deadline - loop_.now());
    const kv::GetResult job_item = co_await store_.get(wire::job_key(id), timeout);
    if (job_item.outcome == Outcome::not_executed) co_return result;
    if (job_item.outcome != Outcome::ok) {
      co_await loop_.sleep(kRetryDelay);
      continue;
    }
    if (job_item.found) {
      result.kind = LookupResult::Kind::open;
      result.mod_revision = job_item.item.mod_revision;
      result.tasks = wire::read_job_record_tasks(job_item.item.value);
      co_return result;
    }
    // The job is not open: it has ended or was never submitted. A job moves from one key to the
    // other in one transaction, so reading them in this order cannot miss it.
    const kv::GetResult final = co_await store_.get(wire::final_key(id), timeout);
    if (final.outcome == Outcome::not_executed) co_return result;
    if (final.outcome != Outcome::ok) {
      co_await loop_.sleep(kRetryDelay);
      continue;
    }
    if (!final.found) {
      result.kind = LookupResult::Kind::not_found;
      co_return result;
    }
    const auto record = wire::read_final(final.item.value);
    if (!record) {
      spdlog::error("jobs: cannot parse the record {}; the request is answered with 503",
                    wire::final_key(id));
      co_return result;
    }
    record_final(id, *record, final.item.mod_revision);
    co_return LookupResult::ended(*record);
  }
  co_return result;
}

}  // namespace dunlinknot::jobs
