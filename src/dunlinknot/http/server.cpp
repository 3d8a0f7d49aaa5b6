// HTTP server with one coroutine per connection, timeouts and a limit on open connections.
#include "dunlinknot/http/server.hpp"

#include <spdlog/spdlog.h>

#include <array>

#include "dunlinknot/runtime/scoped_count.hpp"

namespace dunlinknot::http {

namespace {

constexpr size_t kReadBytes = 2048;  // larger than most heartbeats
constexpr int kStatusUnavailable = 503;
constexpr int kRejectedRetryAfterS = 2;
constexpr int kHandlerErrorRetryAfterS = 1;
// Write timeouts. They are shorter for rejected connections and rejected requests, so that a slow
// peer does not hold the socket.
constexpr auto kRejectWriteTimeout = Millis(200);
constexpr auto kErrorWriteTimeout = std::chrono::seconds(1);
constexpr auto kWriteTimeout = std::chrono::seconds(5);

Response unavailable(int retry_after_s) {
  Response response;
  response.status = kStatusUnavailable;
  response.retry_after_s = retry_after_s;
  return response;
}

Response error_response(int status) {
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
      ++rejected_connections_;
      loop_.spawn(reject(std::move(socket)));
    } else {
      // Increments connections_ before it first suspends.
      loop_.spawn(connection(std::move(socket)));
    }
  }
}

Task<void> Server::reject(Socket socket) {
  const std::string bytes = render_response(unavailable(kRejectedRetryAfterS), false);
  (void)co_await socket.write_all(bytes, loop_.now() + kRejectWriteTimeout);
}

Task<void> Server::connection(Socket socket) {
  const ScopedCount count(connections_);
  Parser parser(Parser::Kind::request, options_.limits);
  std::array<char, kReadBytes> buffer;
  for (;;) {
    Instant deadline = loop_.now() + options_.idle_timeout;
    bool request_started = false;
    Parser::Result state = parser.resume();
    while (state == Parser::Result::need_more) {
      if (!request_started && !parser.idle()) {
        // Bounds how long a peer that sends a request slowly can hold the connection.
        request_started = true;
        deadline = loop_.now() + options_.request_timeout;
      }
      const ssize_t received = co_await socket.read_some(buffer.data(), buffer.size(), deadline);
      if (received <= 0) co_return;
      state = parser.feed({buffer.data(), static_cast<size_t>(received)});
    }
    if (state == Parser::Result::failed) {
      const std::string bytes = render_response(error_response(parser.error_status()), false);
      (void)co_await socket.write_all(bytes, loop_.now() + kErrorWriteTimeout);
      co_return;
    }
    Request request = parser.take();
    const bool keep_alive = request.keep_alive;
    Response response;
    try {
      response = co_await handler_(std::move(request));
    } catch (const std::exception& error) {
      spdlog::error("request handler threw an exception, answering 503: {}", error.what());
      response = unavailable(kHandlerErrorRetryAfterS);
    }
    const bool keep_open = keep_alive && !response.close;
    const std::string bytes = render_response(response, keep_open);
    const Instant write_deadline = loop_.now() + kWriteTimeout;
    if (!co_await socket.write_all(bytes, write_deadline) || !keep_open) co_return;
  }
}

}  // namespace dunlinknot::http
