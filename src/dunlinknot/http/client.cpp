// Outgoing HTTP/1.1 calls over kept connections, and what a failure says of the request.
#include "dunlinknot/http/client.hpp"

#include <array>

#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::http {

namespace {

constexpr size_t kReadBytes = 4096;  // more than most answers have
constexpr int kBodyTooLarge = 413;   // the parser's status for a body over its limit

}  // namespace

Client::Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_time)
    : loop_(loop), max_idle_(max_idle_per_peer), idle_time_(idle_time) {}

Task<Client::Attempt> Client::attempt(Socket& socket, const Call& call) {
  Attempt attempt;
  const std::string request = render_request(call.method, call.target, call.to.text(), call.body);
  if (!co_await socket.write_all(request, call.deadline)) co_return attempt;
  Limits limits;
  limits.body = call.max_body;
  Parser parser(Parser::Kind::response, limits);
  std::array<char, kReadBytes> chunk;
  Parser::Result state = Parser::Result::need_more;
  while (state == Parser::Result::need_more) {
    const ssize_t count = co_await socket.read_some(chunk.data(), chunk.size(), call.deadline);
    if (count <= 0) {
      // An answer never came. At the deadline the far side may still be at work on it.
      if (count < 0 && loop_.now() >= call.deadline) attempt.untouched = false;
      co_return attempt;
    }
    attempt.untouched = false;
    state = parser.feed({chunk.data(), static_cast<size_t>(count)});
  }
  if (state == Parser::Result::failed) {
    attempt.reply.too_large = parser.error_status() == kBodyTooLarge;
    co_return attempt;
  }
  Message message = parser.take();
  attempt.reusable = message.keep_alive && parser.idle();
  attempt.reply.outcome = Outcome::ok;
  attempt.reply.status = message.status;
  attempt.reply.body = std::move(message.body);
  co_return attempt;
}

Task<Reply> Client::exchange(Call call) {
  const ScopedCount count(open_);
  auto& pool = idle_[call.to];
  while (!pool.empty() && loop_.now() - pool.front().since > idle_time_) pool.pop_front();
  for (bool fresh = false;;) {
    Socket socket;
    if (!pool.empty() && !fresh) {
      socket = std::move(pool.back().socket);
      pool.pop_back();
    } else {
      fresh = true;
      socket = co_await Socket::connect(loop_, call.to, call.deadline);
      if (!socket.open()) {
        Reply reply;
        reply.outcome = Outcome::refused;  // a connection given up does not complete later
        co_return reply;
      }
    }
    Attempt result = co_await attempt(socket, call);
    if (result.reply.outcome == Outcome::ok) {
      if (result.reusable && call.keep && pool.size() < max_idle_) {
        pool.push_back(Idle{std::move(socket), loop_.now()});
      }
      co_return std::move(result.reply);
    }
    // A kept connection that the far side had already closed: only a read is safe to send again.
    if (fresh || !result.untouched || call.method != "GET") co_return std::move(result.reply);
    fresh = true;
  }
}

}  // namespace dunlinknot::http
