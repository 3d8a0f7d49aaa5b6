// The users' API: submits, polls and cancels jobs.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/jobs/admission.hpp"
#include "dunlinknot/jobs/job_lookup.hpp"
#include "dunlinknot/jobs/progress_cache.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::jobs {

// Every node serves users directly from the key-value store, which is the source of truth for which
// jobs are accepted, cancelled or done. Every function responds before the users' timeout, with 503
// and a Retry-After if the outcome is not known by then. Runs on the event loop.
class RequestHandler {
 public:
  // `seed`: for the random Retry-After values. `on_cancelled`: see JobLookup. The referenced
  // objects must outlive the handler.
  RequestHandler(EventLoop& loop, kv::Client& store, const settings::Platform& platform,
                 const settings::Operator& operator_settings, uint32_t seed,
                 std::function<void(const std::string& id)> on_cancelled);

  // Submits a job. Responds with 201 once the job is durable, 200 with its state if the id is known
  // already, 400 if the request is malformed, or 422 if the job can never run.
  Task<http::Response> submit(std::string body);
  // Responds with 200 and the job's state, or 404 if it was never accepted.
  Task<http::Response> poll(std::string id);
  // Cancels a job. Responds with 200 and its terminal state once that is durable, or 404 if it was
  // never accepted.
  Task<http::Response> cancel(std::string id);

  // Valid submissions of new jobs are answered with 503 until the machine types are known.
  void set_catalog(std::vector<MachineType> types) { admission_.set_catalog(std::move(types)); }
  bool catalog_known() const { return admission_.catalog_known(); }
  FinalCache& final_cache() { return lookup_.final_cache(); }
  ProgressCache& progress() { return progress_; }
  // See JobLookup::cancel_revision.
  uint64_t cancel_revision() const { return lookup_.cancel_revision(); }
  // Number of jobs accepted and of requests answered with 503 since the process started.
  uint64_t accepted_count() const { return accepted_count_; }
  uint64_t unavailable_count() const { return unavailable_count_; }

 private:
  // An error response to a submission that can never be accepted.
  struct Rejection {
    int status = 0;
    std::string reason;
  };
  // A parsed submission, or why it is rejected.
  struct Submission {
    std::string record;  // to be stored in the key-value store
    std::optional<Rejection> rejection;
  };

  Submission read_submission(wire::View root) const;
  Task<http::Response> reject_unless_known(std::string id, std::optional<Rejection> rejection);
  Task<http::Response> store_job(std::string id, std::string record, Instant deadline);
  http::Response job_response(const std::string& id, const LookupResult& found,
                              bool with_counts) const;
  http::Response unavailable();

  EventLoop& loop_;
  kv::Client& store_;
  const settings::Operator& operator_settings_;
  Admission admission_;
  JobLookup lookup_;
  ProgressCache progress_;
  std::mt19937 random_;
  size_t submissions_in_flight_ = 0;
  size_t lookups_in_flight_ = 0;  // polls and cancellations
  uint64_t accepted_count_ = 0;
  uint64_t unavailable_count_ = 0;
};

}  // namespace dunlinknot::jobs
