// Helpers that the scripted services share: replies and query parameters.
#include "scripted_transport.hpp"

namespace dunlinknot::test {

using http::Call;
using http::Outcome;
using http::Reply;

Reply reply(int status, std::string body) {
  Reply result;
  result.outcome = Outcome::ok;
  result.status = status;
  result.body = std::move(body);
  return result;
}

Reply within_limit(const Call& call, Reply reply) {
  if (reply.body.size() <= call.max_body) return reply;
  Reply dropped;
  dropped.too_large = true;
  return dropped;
}

std::optional<Reply> reply_to_faulty_call(CallFault fault) {
  if (fault == CallFault::refuse) return reply(503);
  if (fault == CallFault::reject) return reply(400);
  if (fault == CallFault::fail) return reply(500);
  return std::nullopt;
}

std::string query_value(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', at) - begin);
}

}  // namespace dunlinknot::test
