// The HTTP responses of the users' API.
#pragma once
#include <string>
#include <string_view>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/jobs/job_lookup.hpp"
#include "dunlinknot/jobs/progress_cache.hpp"

namespace dunlinknot::jobs {

// 201: the job is durable.
http::Response accepted_response(const std::string& id);
// 200 with the job's state. `counts`: the task counts, used only for an open job. `with_counts`:
// whether the response contains counts.
http::Response status_response(const std::string& id, const LookupResult& found, JobCounts counts,
                               bool with_counts);
// An error response (4xx) with the reason.
http::Response error_response(int status, std::string_view reason);
// 503: the request was not executed, or its outcome is unknown.
http::Response retry_response(int retry_after_s);

}  // namespace dunlinknot::jobs
