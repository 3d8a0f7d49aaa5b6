// Implements submissions and cancellations as compare-and-swap transactions on the job's keys, and
// polls as lookups.
#include "dunlinknot/jobs/request_handler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "dunlinknot/jobs/responses.hpp"
#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::jobs {

using http::Outcome;
using http::Response;

namespace {

// Below the users' timeouts: 5 s for submissions and cancellations, 2 s for polls.
constexpr auto kWriteDeadline = Millis(4000);
constexpr auto kPollDeadline = Millis(1600);
// Writes that a submission needs. It is answered with 503 if the users' share of the write budget
// has room for fewer.
constexpr double kWritesPerSubmission = 2;
// Retry-After is chosen at random between these bounds, so that retries do not come in a burst.
constexpr int kMinRetryAfterS = 1;
constexpr int kMaxRetryAfterS = 3;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnprocessable = 422;
constexpr std::string_view kNoSuchJob = "no such job";

// Accepts a job only if no open or ended job has its id.
kv::Transaction acceptance_transaction(const std::string& id, const std::string& record) {
  kv::Transaction transaction;
  transaction.compares.push_back({wire::job_key(id), 0});
  transaction.compares.push_back({wire::final_key(id), 0});
  transaction.writes.push_back({wire::job_key(id), record, 0});
  return transaction;
}

// Safety 3: the job's record is deleted and its terminal state is stored in one transaction before
// the cancellation is acknowledged to the user. From then on, every transaction that allocates a
// task of the job fails its compare.
kv::Transaction cancellation_transaction(const std::string& id, const LookupResult& job) {
  kv::Transaction transaction;
  transaction.compares.push_back({wire::job_key(id), job.mod_revision});
  transaction.compares.push_back({wire::final_key(id), 0});
  transaction.writes.push_back({wire::final_key(id), wire::write_final({true, job.tasks}), 0});
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
      operator_settings_(operator_settings),
      admission_(store, platform),
      lookup_(loop, store, operator_settings.final_cache, std::move(on_cancelled)),
      random_(seed) {}

Task<Response> RequestHandler::submit(std::string body) {
  const auto document = wire::Document::parse(body);
  if (!document || !document->root().is_map())
    co_return error_response(kStatusBadRequest, "the body is not a MessagePack map");
  const auto id = wire::submitted_id(document->root());
  if (!id) co_return error_response(kStatusBadRequest, "missing or invalid: id");
  if (const auto* final = final_cache().find(*id))
    co_return job_response(*id, LookupResult::ended(*final), false);
  if (submissions_in_flight_ >= operator_settings_.max_submissions ||
      !store_.has_user_budget(kWritesPerSubmission)) {
    co_return unavailable();
  }
  const ScopedCount in_flight(submissions_in_flight_);
  const Instant deadline = loop_.now() + kWriteDeadline;
  Submission submission = read_submission(document->root());
  if (submission.rejection || !catalog_known())
    co_return co_await reject_unless_known(*id, std::move(submission.rejection));
  co_return co_await store_job(*id, std::move(submission.record), deadline);
}

RequestHandler::Submission RequestHandler::read_submission(wire::View root) const {
  Submission submission;
  std::string reason;
  const auto spec = wire::read_job(root, reason);
  if (!spec) {
    submission.rejection = Rejection{kStatusBadRequest, std::move(reason)};
    return submission;
  }
  submission.record = wire::write_job_record({*spec, loop_.wall()});
  if (const auto error = admission_.check(*spec, submission.record))
    submission.rejection = Rejection{kStatusUnprocessable, std::string(text(*error))};
  return submission;
}

// The state of a known job is returned even if the submission is invalid. A submission with an
// unknown id is rejected, or answered with 503 if there is no reason to reject it.
Task<Response> RequestHandler::reject_unless_known(std::string id,
                                                   std::optional<Rejection> rejection) {
  const LookupResult found = co_await lookup_.find(id, loop_.now() + kPollDeadline);
  if (found.known()) co_return job_response(id, found, false);
  if (found.kind == LookupResult::Kind::unconfirmed || !rejection) co_return unavailable();
  spdlog::debug("jobs: submission of {} rejected with HTTP status {}: {}", id, rejection->status,
                rejection->reason);
  co_return error_response(rejection->status, rejection->reason);
}

Task<Response> RequestHandler::store_job(std::string id, std::string record, Instant deadline) {
  while (loop_.now() < deadline) {
    kv::Transaction transaction = acceptance_transaction(id, record);
    const Nanos timeout = call_timeout(deadline - loop_.now());
    const kv::TransactionResult result =
        co_await store_.commit(std::move(transaction), timeout, kv::Importance::user);
    if (result.outcome == Outcome::not_executed) co_return unavailable();
    if (result.outcome != Outcome::ok) {
      // Safe to retry: if it was applied, the compares fail.
      co_await loop_.sleep(kRetryDelay);
      continue;
    }
    if (result.applied) {
      ++accepted_count_;
      co_return accepted_response(id);
    }
    const LookupResult found = co_await lookup_.find(id, deadline);
    if (found.known()) co_return job_response(id, found, false);
    if (found.kind == LookupResult::Kind::unconfirmed) break;
  }
  co_return unavailable();
}

Task<Response> RequestHandler::poll(std::string id) {
  if (!wire::valid_job_id(id)) co_return error_response(kStatusNotFound, kNoSuchJob);
  if (lookups_in_flight_ >= operator_settings_.max_polls) co_return unavailable();
  const ScopedCount in_flight(lookups_in_flight_);
  const LookupResult found = co_await lookup_.find(id, loop_.now() + kPollDeadline);
  if (found.known()) co_return job_response(id, found, true);
  if (found.kind == LookupResult::Kind::unconfirmed) co_return unavailable();
  co_return error_response(kStatusNotFound, kNoSuchJob);
}

Task<Response> RequestHandler::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return error_response(kStatusNotFound, kNoSuchJob);
  if (lookups_in_flight_ >= operator_settings_.max_polls) co_return unavailable();
  const ScopedCount in_flight(lookups_in_flight_);
  const Instant deadline = loop_.now() + kWriteDeadline;
  while (loop_.now() < deadline) {
    const LookupResult found = co_await lookup_.find(id, deadline);
    if (found.kind == LookupResult::Kind::unconfirmed) break;
    if (found.kind == LookupResult::Kind::not_found)
      co_return error_response(kStatusNotFound, kNoSuchJob);
    if (found.kind == LookupResult::Kind::final) co_return job_response(id, found, false);
    kv::Transaction transaction = cancellation_transaction(id, found);
    const Nanos timeout = call_timeout(deadline - loop_.now());
    const kv::TransactionResult result =
        co_await store_.commit(std::move(transaction), timeout, kv::Importance::user);
    if (result.outcome == Outcome::not_executed) break;
    if (result.outcome == Outcome::ok && result.applied)
      lookup_.record_final(id, {true, found.tasks}, result.revision);
    if (result.outcome == Outcome::unknown) co_await loop_.sleep(kRetryDelay);
    // The transaction was applied, failed its compares or was not answered. In each case the next
    // lookup determines the response.
  }
  co_return unavailable();
}

Response RequestHandler::job_response(const std::string& id, const LookupResult& found,
                                      bool with_counts) const {
  return status_response(id, found, progress_.counts(id), with_counts);
}

// Responds with 503 at once instead of queueing the request, with a random Retry-After.
Response RequestHandler::unavailable() {
  ++unavailable_count_;
  return retry_response(
      std::uniform_int_distribution<int>(kMinRetryAfterS, kMaxRetryAfterS)(random_));
}

}  // namespace dunlinknot::jobs
