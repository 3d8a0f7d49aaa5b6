// The users' API: submissions, polls and withdrawals of jobs.
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

// Any node serves users, straight against the key-value store, which alone knows what was accepted,
// cancelled or done. Every function answers within the time that users wait, with 503 and a
// Retry-After when nothing can be confirmed by then. Runs on the event loop.
class RequestHandler {
 public:
  // `seed`: of the random Retry-After times. `on_cancelled`: see JobLookup. The referenced objects
  // outlive the handler.
  RequestHandler(EventLoop& loop, kv::Client& store, const settings::Platform& platform,
                 const settings::Operator& operator_settings, uint32_t seed,
                 std::function<void(const std::string& id)> on_cancelled);

  // Accepts a job: 201 once it is durable, 200 with its state when the id is known already, 400 or
  // 422 when it can never run.
  Task<http::Response> submit(std::string body);
  // 200 with the job's state, 404 when it was never accepted.
  Task<http::Response> poll(std::string id);
  // Cancels a job: 200 with its terminal state once that is durable, 404 when it was never
  // accepted.
  Task<http::Response> cancel(std::string id);

  // Submissions are put off until the machine types are known.
  void set_catalog(std::vector<MachineType> types) { admission_.set_catalog(std::move(types)); }
  bool catalog_known() const { return admission_.catalog_known(); }
  FinalCache& finals() { return lookup_.finals(); }
  ProgressCache& progress() { return progress_; }
  // See JobLookup::cancel_revision.
  uint64_t cancel_revision() const { return lookup_.cancel_revision(); }
  // Jobs accepted, and requests answered with 503, since the start.
  uint64_t accepted() const { return accepted_; }
  uint64_t refused() const { return refused_; }

 private:
  // A response that is final whatever the key-value store says of other jobs.
  struct Refusal {
    int status = 0;
    std::string reason;
  };
  // A submission as read, or why it is refused.
  struct Submission {
    std::string record;  // to be stored
    std::optional<Refusal> refusal;
  };

  Submission read_submission(wire::View root) const;
  Task<http::Response> answer_unless_known(std::string id, std::optional<Refusal> refusal);
  Task<http::Response> store_job(std::string id, std::string record, Instant deadline);
  http::Response job_response(const std::string& id, const LookupResult& found,
                              bool with_counts) const;
  http::Response put_off();

  EventLoop& loop_;
  kv::Client& store_;
  const settings::Operator& op_;
  Admission admission_;
  JobLookup lookup_;
  ProgressCache progress_;
  std::mt19937 random_;
  size_t submissions_in_flight_ = 0;
  size_t lookups_in_flight_ = 0;  // polls and withdrawals
  uint64_t accepted_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace dunlinknot::jobs
