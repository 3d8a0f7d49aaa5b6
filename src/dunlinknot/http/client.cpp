// HTTP/1.1 client with persistent connections. Classifies each failure by whether the peer may have
// executed the request.
#include "dunlinknot/http/client.hpp"

#include <array>

#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::http {

namespace {

constexpr size_t kReadBytes = 4096;  // larger than most responses
constexpr int kBodyTooLarge = 413;   // Parser::error_status() for a body over the limit

}  // namespace

Client::Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_timeout)
    : loop_(loop), max_idle_per_peer_(max_idle_per_peer), idle_timeout_(idle_timeout) {}

Task<Client::Attempt> Client::attempt(Socket& socket, const Call& call) {
  Attempt attempt;
  const std::string request = render_request(call.method, call.target, call.to.text(), call.body);
  if (!co_await socket.write_all(request, call.deadline)) co_return attempt;
  Limits limits;
  limits.body = call.max_body;
  Parser parser(Parser::Kind::response, limits);
  std::array<char, kReadBytes> buffer;
  Parser::Result state = Parser::Result::need_more;
  while (state == Parser::Result::need_more) {
    const ssize_t count = co_await socket.read_some(buffer.data(), buffer.size(), call.deadline);
    if (count <= 0) {
      // No complete response was received. At the deadline the peer may still be executing the
      // request.
      if (count < 0 && loop_.now() >= call.deadline) attempt.closed_without_response = false;
      co_return attempt;
    }
    attempt.closed_without_response = false;
    state = parser.feed({buffer.data(), static_cast<size_t>(count)});
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
  const ScopedCount count(open_connections_);
  auto& pool = idle_connections_[call.to];
  while (!pool.empty() && loop_.now() - pool.front().idle_since > idle_timeout_) pool.pop_front();
  for (bool new_connection = false;;) {
    Socket socket;
    if (!pool.empty() && !new_connection) {
      socket = std::move(pool.back().socket);
      pool.pop_back();
    } else {
      new_connection = true;
      socket = co_await Socket::connect(loop_, call.to, call.deadline);
      if (!socket.open()) {
        Reply reply;
        reply.outcome = Outcome::not_executed;  // an abandoned connect does not complete later
        co_return reply;
      }
    }
    Attempt result = co_await attempt(socket, call);
    if (result.reply.outcome == Outcome::ok) {
      if (result.reusable && call.keep_alive && pool.size() < max_idle_per_peer_) {
        pool.push_back(IdleConnection{std::move(socket), loop_.now()});
      }
      co_return std::move(result.reply);
    }
    // The peer had already closed the idle connection. Only a GET is safe to send again.
    if (new_connection || !result.closed_without_response || call.method != "GET")
      co_return std::move(result.reply);
    new_connection = true;
  }
}

}  // namespace dunlinknot::http
