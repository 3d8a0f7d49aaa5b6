// Serves connections: one coroutine each, with time limits and a bound on their number.
#include "dunlinknot/http/server.hpp"

#include <spdlog/spdlog.h>

#include <array>

#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::http {

namespace {

constexpr size_t kReadBytes = 2048;  // more than most heartbeats have
constexpr int kStatusUnavailable = 503;
constexpr int kTurnedAwayRetryAfterS = 2;
constexpr int kFailedRetryAfterS = 1;
// How long a peer may take to accept bytes. Short where it gets no answer to its request: it must
// not hold the socket.
constexpr auto kTurnAwayTime = Millis(200);
constexpr auto kErrorTime = std::chrono::seconds(1);
constexpr auto kWriteTime = std::chrono::seconds(5);

Response unavailable(int retry_after_s) {
  Response response;
  response.status = kStatusUnavailable;
  response.retry_after_s = retry_after_s;
  return response;
}

Response parse_error(int status) {
  Response response;
  response.status = status;
  return response;
}

}  // namespace

Server::Server(EventLoop& loop, Endpoint at, ServerOptions options, Handler handler)
    : loop_(loop), listener_(loop, at), options_(options), handler_(std::move(handler)) {}

Task<void> Server::serve() {
  for (;;) {
    Socket socket = co_await listener_.accept();
    if (connections_ >= options_.max_connections) {
      ++turned_away_;
      loop_.spawn(turn_away(std::move(socket)));
    } else {
      loop_.spawn(connection(std::move(socket)));  // counts itself, at once
    }
  }
}

Task<void> Server::turn_away(Socket socket) {
  const std::string bytes = render_response(unavailable(kTurnedAwayRetryAfterS), false);
  (void)co_await socket.write_all(bytes, loop_.now() + kTurnAwayTime);
}

Task<void> Server::connection(Socket socket) {
  const ScopedCount count(connections_);
  Parser parser(Parser::Kind::request, options_.limits);
  std::array<char, kReadBytes> chunk;
  for (;;) {
    Instant deadline = loop_.now() + options_.idle;
    bool begun = false;
    Parser::Result state = parser.resume();
    while (state == Parser::Result::need_more) {
      if (!begun && !parser.idle()) {
        // A peer that dribbles a request may not hold the connection for longer than this.
        begun = true;
        deadline = loop_.now() + options_.request_time;
      }
      const ssize_t count_read = co_await socket.read_some(chunk.data(), chunk.size(), deadline);
      if (count_read <= 0) co_return;
      state = parser.feed({chunk.data(), static_cast<size_t>(count_read)});
    }
    if (state == Parser::Result::failed) {
      const std::string bytes = render_response(parse_error(parser.error_status()), false);
      (void)co_await socket.write_all(bytes, loop_.now() + kErrorTime);
      co_return;
    }
    Request request = parser.take();
    const bool keep = request.keep_alive;
    Response response;
    try {
      response = co_await handler_(std::move(request));
    } catch (const std::exception& error) {
      spdlog::error("a request handler failed: {}", error.what());
      response = unavailable(kFailedRetryAfterS);
    }
    const bool again = keep && !response.close;
    const std::string bytes = render_response(response, again);
    const Instant write_by = loop_.now() + kWriteTime;
    if (!co_await socket.write_all(bytes, write_by) || !again) co_return;
  }
}

}  // namespace dunlinknot::http
