// Helpers that the scripted services share: faults of calls, replies and query parameters.
#pragma once
#include <optional>
#include <string>

#include "dunlinknot/http/client.hpp"

namespace dunlinknot::test {

// A fault injected into one call. Where a reply is lost, the caller waits until its deadline.
enum class CallFault {
  none,
  refuse,        // answered with status 503 and not executed
  reject,        // answered with status 400 and not executed
  fail,          // answered with status 500 and not executed
  lose_request,  // not executed, no reply
  lose_reply,    // executed, no reply
  slow_reply,    // executed; the key-value store sends the reply after its `fault_delay`
  apply_late     // executed after the service's `fault_delay`, no reply
};

// A completed reply with this status and body.
http::Reply reply(int status, std::string body = "");
// Returns the reply as the caller receives it: a body above the call's `max_body` is dropped and
// reported as too large.
http::Reply within_limit(const http::Call& call, http::Reply reply);
// The reply to a call with a fault that is answered without being executed; empty for other faults.
std::optional<http::Reply> reply_to_faulty_call(CallFault fault);
// The value of a query parameter in a request's target; empty if the parameter is absent.
std::string query_value(const std::string& target, const std::string& name);

}  // namespace dunlinknot::test
