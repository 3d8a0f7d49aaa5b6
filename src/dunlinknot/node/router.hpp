// Maps the paths and methods of HTTP requests to the parts that serve them.
#pragma once
#include <cstdint>
#include <string_view>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/node/readiness.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"

namespace dunlinknot::node {

// What a request asks for.
enum class Action : uint8_t {
  heartbeat,
  ready,
  submit_job,
  poll_job,
  cancel_job,
  method_not_allowed,  // the path exists, but not with this method
  not_found,
};

// Where a request goes.
struct Route {
  Action action = Action::not_found;
  std::string_view job_id;  // points into the request's target; not checked; only with poll_job and
                            // withdraw_job
};

// The action for a method and a target such as "/v1/jobs/j1?x=y"; the query is ignored.
Route find_route(std::string_view method, std::string_view target);

// Serves every request of this node, on the event loop.
class Router {
 public:
  // The referenced objects outlive the router.
  Router(jobs::RequestHandler& jobs, workers::HeartbeatHandler& heartbeats, Readiness& readiness);

  // Answers 404 for unknown paths and 405 for methods that a path does not have; everything else is
  // up to the part that serves it.
  Task<http::Response> handle(http::Request request);

 private:
  jobs::RequestHandler& jobs_;
  workers::HeartbeatHandler& heartbeats_;
  Readiness& readiness_;
};

}  // namespace dunlinknot::node
