// The paths of HTTP requests that a controller serves, and of the one that it sends to workers.
#pragma once
#include <string_view>

namespace dunlinknot::wire {

// Served by every controller.
inline constexpr std::string_view kHeartbeatPath = "/agent/beat";  // POST, from workers
inline constexpr std::string_view kReadyPath = "/ready";           // GET, from the load balancer
inline constexpr std::string_view kJobsPath = "/v1/jobs";          // POST, from users
// Followed by the job id. GET returns the job's state; POST with the suffix below cancels the job.
inline constexpr std::string_view kJobPathPrefix = "/v1/jobs/";
inline constexpr std::string_view kWithdrawSuffix = "/withdraw";

// Served by every worker: POST of commands that do not wait for the next heartbeat's response.
inline constexpr std::string_view kWorkerCommandsPath = "/do";

}  // namespace dunlinknot::wire
