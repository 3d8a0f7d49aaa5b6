// Reads job/ID before final/ID: a job moves between them in one transaction.
#include "dunlinknot/jobs/job_lookup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dunlinknot::jobs {

using http::Outcome;

namespace {

constexpr auto kTryTime = Millis(800);  // leaves time for a second try within a user's 2 s

}  // namespace

Nanos call_time(Nanos left) {
  return std::min<Nanos>(kTryTime, left);
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
      finals_(final_cache_capacity) {}

void JobLookup::record_final(const std::string& id, const wire::FinalRecord& record,
                             uint64_t revision) {
  const bool changed = finals_.put(id, record);
  if (!record.cancelled) return;
  cancel_revision_ = std::max(cancel_revision_, revision);
  if (changed) on_cancelled_(id);
}

Task<LookupResult> JobLookup::find(std::string id, Instant deadline) {
  LookupResult result;
  if (const auto* final = finals_.find(id)) co_return LookupResult::ended(*final);
  while (loop_.now() < deadline) {
    const Nanos within = call_time(deadline - loop_.now());
    const kv::GetResult open = co_await store_.get(wire::job_key(id), within);
    if (open.outcome == Outcome::refused) co_return result;
    if (open.outcome != Outcome::ok) continue;
    if (open.found) {
      result.kind = LookupResult::Kind::open;
      result.mod_revision = open.item.mod_revision;
      result.tasks = wire::read_job_record_tasks(open.item.value);
      co_return result;
    }
    // Not open: over or never submitted. A job moves from one key to the other in one transaction,
    // so reading them in this order cannot miss it.
    const kv::GetResult final = co_await store_.get(wire::final_key(id), within);
    if (final.outcome == Outcome::refused) co_return result;
    if (final.outcome != Outcome::ok) continue;
    if (!final.found) {
      result.kind = LookupResult::Kind::absent;
      co_return result;
    }
    const auto record = wire::read_final(final.item.value);
    if (!record) {
      spdlog::error("the record {} cannot be read", wire::final_key(id));
      co_return result;
    }
    record_final(id, *record, final.item.mod_revision);
    co_return LookupResult::ended(*record);
  }
  co_return result;
}

}  // namespace dunlinknot::jobs
