// The paths of the protocol's HTTP requests: those that a controller serves and the one that it
// calls on a worker.
#pragma once
#include <string_view>

namespace dunlinknot::wire {

// Served by every controller.
inline constexpr std::string_view kHeartbeatPath = "/agent/beat";  // POST, from workers
inline constexpr std::string_view kReadyPath = "/ready";           // GET, from the load balancer
inline constexpr std::string_view kJobsPath = "/v1/jobs";          // POST, from users
// Followed by the job's id: GET reads the job's state, POST with the suffix below cancels it.
inline constexpr std::string_view kJobPathPrefix = "/v1/jobs/";
inline constexpr std::string_view kWithdrawSuffix = "/withdraw";

// Served by every worker: POST, commands outside the answer to a heartbeat.
inline constexpr std::string_view kWorkerCommandsPath = "/do";

}  // namespace dunlinknot::wire
