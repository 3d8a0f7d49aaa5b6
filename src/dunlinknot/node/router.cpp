// The routes of the HTTP interface and their dispatch.
#include "dunlinknot/node/router.hpp"

#include <string>
#include <utility>

#include "dunlinknot/wire/routes.hpp"

namespace dunlinknot::node {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusUnavailable = 503;
constexpr int kReadyRetryAfterS = 1;  // the load balancer probes about once a second

http::Response ready_response(bool is_ready) {
  http::Response response;
  response.status = is_ready ? kStatusOk : kStatusUnavailable;
  if (!is_ready) response.retry_after_s = kReadyRetryAfterS;
  return response;
}

http::Response empty_response(int status) {
  http::Response response;
  response.status = status;
  return response;
}

}  // namespace

Route find_route(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto require_method = [&](std::string_view allowed, Action action,
                                  std::string_view job_id = {}) {
    return method == allowed ? Route{action, job_id} : Route{Action::method_not_allowed, {}};
  };
  if (path == wire::kHeartbeatPath) return require_method("POST", Action::heartbeat);
  if (path == wire::kReadyPath) return require_method("GET", Action::ready);
  if (path == wire::kJobsPath) return require_method("POST", Action::submit_job);
  if (!path.starts_with(wire::kJobPathPrefix)) return {Action::not_found, {}};
  std::string_view job_id = path.substr(wire::kJobPathPrefix.size());
  if (job_id.ends_with(wire::kWithdrawSuffix)) {
    job_id.remove_suffix(wire::kWithdrawSuffix.size());
    return require_method("POST", Action::cancel_job, job_id);
  }
  return require_method("GET", Action::poll_job, job_id);
}

Router::Router(jobs::RequestHandler& jobs, workers::HeartbeatHandler& heartbeats,
               Readiness& readiness)
    : jobs_(jobs), heartbeats_(heartbeats), readiness_(readiness) {}

Task<http::Response> Router::handle(http::Request request) {
  const Route route = find_route(request.method, request.target);
  switch (route.action) {
    case Action::heartbeat:
      co_return co_await heartbeats_.handle(std::move(request.body));
    case Action::ready: {
      const bool is_ready = co_await readiness_.check();
      co_return ready_response(is_ready);
    }
    case Action::submit_job:
      co_return co_await jobs_.submit(std::move(request.body));
    case Action::poll_job:
      co_return co_await jobs_.poll(std::string(route.job_id));
    case Action::cancel_job:
      co_return co_await jobs_.cancel(std::string(route.job_id));
    case Action::method_not_allowed:
      co_return empty_response(kStatusMethodNotAllowed);
    case Action::not_found:
      break;
  }
  co_return empty_response(kStatusNotFound);
}

}  // namespace dunlinknot::node
