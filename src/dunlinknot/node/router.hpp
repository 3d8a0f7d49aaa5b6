// Maps the paths and methods of HTTP requests to the components that serve them.
#pragma once
#include <cstdint>
#include <string_view>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/node/readiness.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"

namespace dunlinknot::node {

// The operation that a request selects.
enum class Action : uint8_t {
  heartbeat,
  ready,
  submit_job,
  poll_job,
  cancel_job,
  method_not_allowed,  // the path exists, but not with this method
  not_found,
};

// The result of routing a request.
struct Route {
  Action action = Action::not_found;
  // Only with poll_job and cancel_job. Not validated. Refers to the request's target, which must
  // outlive the route.
  std::string_view job_id;
};

// The route for a method and a target such as "/v1/jobs/j1?x=y". The query is ignored.
Route find_route(std::string_view method, std::string_view target);

// Serves every HTTP request to this node. Runs on the event loop.
class Router {
 public:
  // The referenced objects must outlive the router.
  Router(jobs::RequestHandler& jobs, workers::HeartbeatHandler& heartbeats, Readiness& readiness);

  // Responds with 404 to unknown paths and with 405 to methods that a path does not support. All
  // other responses come from the component that serves the request.
  Task<http::Response> handle(http::Request request);

 private:
  jobs::RequestHandler& jobs_;
  workers::HeartbeatHandler& heartbeats_;
  Readiness& readiness_;
};

}  // namespace dunlinknot::node
