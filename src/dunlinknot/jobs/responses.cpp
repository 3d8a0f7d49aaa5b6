// Encodes the HTTP responses of the users' API.
#include "dunlinknot/jobs/responses.hpp"

namespace dunlinknot::jobs {

using http::Response;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusUnavailable = 503;

JobStatus status_of(const std::string& id, const LookupResult& found, JobCounts counts) {
  using State = JobStatus::State;
  if (found.kind != LookupResult::Kind::final)
    return {id, counts.running > 0 ? State::running : State::queued, counts.done, counts.running};
  if (found.final.cancelled) return {id, State::cancelled, 0, 0};
  return {id, State::done, found.final.tasks, 0};
}

Response response_with(int status, std::string body) {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

Response accepted_response(const std::string& id) {
  const JobStatus status{id, JobStatus::State::queued, 0, 0};
  return response_with(kStatusCreated, wire::write_job_status(status, false));
}

Response status_response(const std::string& id, const LookupResult& found, JobCounts counts,
                         bool with_counts) {
  return response_with(kStatusOk,
                       wire::write_job_status(status_of(id, found, counts), with_counts));
}

Response error_response(int status, std::string_view reason) {
  return response_with(status, wire::write_error(reason));
}

Response retry_response(int retry_after_s) {
  Response response = response_with(kStatusUnavailable, wire::write_error("try again later"));
  response.retry_after_s = retry_after_s;
  return response;
}

}  // namespace dunlinknot::jobs
