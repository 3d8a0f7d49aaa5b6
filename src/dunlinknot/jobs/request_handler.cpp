// Submissions, polls and cancellations as compare-and-swaps on the job's keys.
#include "dunlinknot/jobs/request_handler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "dunlinknot/jobs/responses.hpp"
#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::jobs {

using http::Outcome;
using http::Response;

namespace {

constexpr auto kSubmitTime = Millis(4000);  // users wait 5 s
constexpr auto kPollTime = Millis(1600);    // users wait 2 s
constexpr double kWritesOfSubmission = 2;  // that the users' share of the budget must have room for
constexpr int kMinRetryAfterS = 1;
constexpr int kMaxRetryAfterS = 3;  // spread, so that users do not come back all at once

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnprocessable = 422;
constexpr std::string_view kNoSuchJob = "no such job";

// A job is accepted only while its id is in no use.
kv::Transaction acceptance(const std::string& id, const std::string& record) {
  kv::Transaction transaction;
  transaction.compares.push_back({wire::job_key(id), 0});
  transaction.compares.push_back({wire::final_key(id), 0});
  transaction.writes.push_back({wire::job_key(id), record, 0});
  return transaction;
}

// Safety 3: the job's record is deleted and its terminal state stored in one transaction, before
// the user is told. From here on every allocation for it fails its compare.
kv::Transaction cancellation(const std::string& id, const LookupResult& open) {
  kv::Transaction transaction;
  transaction.compares.push_back({wire::job_key(id), open.mod_revision});
  transaction.compares.push_back({wire::final_key(id), 0});
  transaction.writes.push_back({wire::final_key(id), wire::write_final({true, open.tasks}), 0});
  transaction.writes.push_back({wire::job_key(id), "", 0});
  return transaction;
}

}  // namespace

RequestHandler::RequestHandler(EventLoop& loop, kv::Client& store,
                               const settings::Platform& platform,
                               const settings::Operator& operator_settings, uint32_t seed,
                               std::function<void(const std::string&)> on_cancelled)
    : loop_(loop),
      store_(store),
      op_(operator_settings),
      admission_(store, platform),
      lookup_(loop, store, operator_settings.final_cache, std::move(on_cancelled)),
      random_(seed) {}

Task<Response> RequestHandler::submit(std::string body) {
  const auto document = wire::Document::parse(body);
  if (!document || !document->root().is_map())
    co_return error_response(kStatusBadRequest, "the body is not a MessagePack map");
  const auto id = wire::submitted_id(document->root());
  if (!id) co_return error_response(kStatusBadRequest, "missing or invalid: id");
  if (const auto* final = finals().find(*id))
    co_return job_response(*id, LookupResult::ended(*final), false);
  if (submissions_in_flight_ >= op_.max_submissions ||
      !store_.has_user_budget(kWritesOfSubmission)) {
    co_return put_off();
  }
  const ScopedCount in_flight(submissions_in_flight_);
  const Instant deadline = loop_.now() + kSubmitTime;
  Submission submission = read_submission(document->root());
  if (submission.refusal || !catalog_known())
    co_return co_await answer_unless_known(*id, std::move(submission.refusal));
  co_return co_await store_job(*id, std::move(submission.record), deadline);
}

RequestHandler::Submission RequestHandler::read_submission(wire::View root) const {
  Submission submission;
  std::string reason;
  const auto spec = wire::read_job(root, reason);
  if (!spec) {
    submission.refusal = Refusal{kStatusBadRequest, std::move(reason)};
    return submission;
  }
  submission.record = wire::write_job_record({*spec, loop_.wall()});
  if (const auto error = admission_.check(*spec, submission.record))
    submission.refusal = Refusal{kStatusUnprocessable, std::string(text(*error))};
  return submission;
}

// A known id is answered with its state before anything is held against the body. An unknown one is
// refused, or put off when there is no refusal.
Task<Response> RequestHandler::answer_unless_known(std::string id, std::optional<Refusal> refusal) {
  const LookupResult found = co_await lookup_.find(id, loop_.now() + kPollTime);
  if (found.known()) co_return job_response(id, found, false);
  if (found.kind == LookupResult::Kind::unproven || !refusal) co_return put_off();
  spdlog::debug("{} answered {}: {}", id, refusal->status, refusal->reason);
  co_return error_response(refusal->status, refusal->reason);
}

Task<Response> RequestHandler::store_job(std::string id, std::string record, Instant deadline) {
  while (loop_.now() < deadline) {
    kv::Transaction transaction = acceptance(id, record);
    const Nanos within = call_time(deadline - loop_.now());
    const kv::TransactionResult result =
        co_await store_.commit(std::move(transaction), within, kv::Importance::user);
    if (result.outcome == Outcome::refused) co_return put_off();
    if (result.outcome != Outcome::ok) continue;  // idempotent: the compares fail the second time
    if (result.applied) {
      ++accepted_;
      co_return accepted_response(id);
    }
    const LookupResult found = co_await lookup_.find(id, deadline);
    if (found.known()) co_return job_response(id, found, false);
    if (found.kind == LookupResult::Kind::unproven) break;
  }
  co_return put_off();
}

Task<Response> RequestHandler::poll(std::string id) {
  if (!wire::valid_job_id(id)) co_return error_response(kStatusNotFound, kNoSuchJob);
  if (lookups_in_flight_ >= op_.max_polls) co_return put_off();
  const ScopedCount in_flight(lookups_in_flight_);
  const LookupResult found = co_await lookup_.find(id, loop_.now() + kPollTime);
  if (found.known()) co_return job_response(id, found, true);
  if (found.kind == LookupResult::Kind::unproven) co_return put_off();
  co_return error_response(kStatusNotFound, kNoSuchJob);
}

Task<Response> RequestHandler::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return error_response(kStatusNotFound, kNoSuchJob);
  if (lookups_in_flight_ >= op_.max_polls) co_return put_off();
  const ScopedCount in_flight(lookups_in_flight_);
  const Instant deadline = loop_.now() + kSubmitTime;
  while (loop_.now() < deadline) {
    const LookupResult found = co_await lookup_.find(id, deadline);
    if (found.kind == LookupResult::Kind::unproven) break;
    if (found.kind == LookupResult::Kind::absent)
      co_return error_response(kStatusNotFound, kNoSuchJob);
    if (found.kind == LookupResult::Kind::final) co_return job_response(id, found, false);
    kv::Transaction transaction = cancellation(id, found);
    const Nanos within = call_time(deadline - loop_.now());
    const kv::TransactionResult result =
        co_await store_.commit(std::move(transaction), within, kv::Importance::user);
    if (result.outcome == Outcome::refused) break;
    if (result.outcome == Outcome::ok && result.applied)
      lookup_.record_final(id, {true, found.tasks}, result.revision);
    // Applied, overtaken or unknown: the next lookup finds the terminal state to answer with.
  }
  co_return put_off();
}

Response RequestHandler::job_response(const std::string& id, const LookupResult& found,
                                      bool with_counts) const {
  return status_response(id, found, progress_.counts(id), with_counts);
}

// Refused at once rather than held back, with a random time to come back.
Response RequestHandler::put_off() {
  ++refused_;
  return retry_response(
      std::uniform_int_distribution<int>(kMinRetryAfterS, kMaxRetryAfterS)(random_));
}

}  // namespace dunlinknot::jobs
