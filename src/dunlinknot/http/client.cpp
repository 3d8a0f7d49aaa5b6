#include "dunlinknot/http/client.hpp"

#include <array>

namespace dunlinknot::http {

Client::Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_time)
    : loop_(loop), max_idle_(max_idle_per_peer), idle_time_(idle_time) {}

Task<Reply> Client::attempt(Socket& socket, const Call& call, bool& untouched, bool& reusable) {
  Reply reply;
  untouched = true;
  reusable = false;
  const std::string bytes = render_request(call.method, call.target, call.to.text(), call.body);
  if (!co_await socket.write_all(bytes, call.deadline)) co_return reply;
  Limits limits;
  limits.body = call.max_body;
  Parser parser(Parser::Kind::response, limits);
  std::array<char, 4096> chunk;
  Parser::Result state = Parser::Result::need_more;
  while (state == Parser::Result::need_more) {
    const ssize_t n = co_await socket.read_some(chunk.data(), chunk.size(), call.deadline);
    if (n <= 0) {
      // An answer never came. At the deadline the far side may still be at work on it.
      if (n < 0 && loop_.now() >= call.deadline) untouched = false;
      co_return reply;
    }
    untouched = false;
    state = parser.feed({chunk.data(), static_cast<size_t>(n)});
  }
  if (state == Parser::Result::failed) {
    constexpr int kBodyTooLarge = 413;
    reply.too_large = parser.error_status() == kBodyTooLarge;
    co_return reply;
  }
  Message message = parser.take();
  reusable = message.keep_alive && parser.idle();
  reply.outcome = Outcome::ok;
  reply.status = message.status;
  reply.body = std::move(message.body);
  co_return reply;
}

Task<Reply> Client::exchange(Call call) {
  struct Count {
    size_t& n;
    explicit Count(size_t& c) : n(c) { ++n; }
    ~Count() { --n; }
  } count(open_);

  Reply reply;
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
        reply.outcome = Outcome::refused;  // a connection given up does not complete later
        co_return reply;
      }
    }
    bool untouched = false;
    bool reusable = false;
    reply = co_await attempt(socket, call, untouched, reusable);
    if (reply.outcome == Outcome::ok) {
      if (reusable && call.keep && pool.size() < max_idle_) {
        pool.push_back(Idle{std::move(socket), loop_.now()});
      }
      co_return reply;
    }
    // A kept connection that the far side had already closed: only reading is safe to say again.
    if (fresh || !untouched || call.method != "GET") co_return reply;
    fresh = true;
  }
}

}  // namespace dunlinknot::http
