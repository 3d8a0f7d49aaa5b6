// What the scripted services share: the fate of a call on its way, and replies.
#pragma once
#include <string>

#include "dunlinknot/http/client.hpp"

namespace dunlinknot::test {

// What happens to one call on its way.
enum class CallFault { none, refuse, lose_request, lose_reply, slow_reply, apply_late };

// A response with this status.
http::Reply reply(int status, std::string body = "");
// What the caller sees of a reply: none that is larger than it takes.
http::Reply within_limit(const http::Call& call, http::Reply reply);
// The value of a parameter of a request's target; empty where it is missing.
std::string query_value(const std::string& target, const std::string& name);

}  // namespace dunlinknot::test
