#include "dunlinknot/http/server.hpp"

#include <spdlog/spdlog.h>

#include <array>

namespace dunlinknot::http {

Server::Server(EventLoop& loop, Endpoint at, ServerOptions options, Handler handler)
    : loop_(loop), listener_(loop, at), options_(options), handler_(std::move(handler)) {}

Task<void> Server::serve() {
  for (;;) {
    Socket socket = co_await listener_.accept();
    if (connections_ >= options_.max_connections) {
      ++turned_away_;
      loop_.spawn(turn_away(std::move(socket)));
    } else {
      ++connections_;
      loop_.spawn(connection(std::move(socket)));
    }
  }
}

Task<void> Server::turn_away(Socket socket) {
  Response busy;
  busy.status = 503;
  busy.retry_after_s = 2;
  const std::string bytes = render_response(busy, false);
  (void)co_await socket.write_all(bytes, loop_.now() + Millis(200));
}

Task<void> Server::connection(Socket socket) {
  struct Count {
    size_t& n;
    ~Count() { --n; }
  } count{connections_};
  Parser parser(Parser::Kind::request, options_.limits);
  std::array<char, 2048> chunk;
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
      const ssize_t n = co_await socket.read_some(chunk.data(), chunk.size(), deadline);
      if (n <= 0) co_return;
      state = parser.feed({chunk.data(), static_cast<size_t>(n)});
    }
    if (state == Parser::Result::failed) {
      Response bad;
      bad.status = parser.error_status();
      const std::string bytes = render_response(bad, false);
      (void)co_await socket.write_all(bytes, loop_.now() + std::chrono::seconds(1));
      co_return;
    }
    Request request = parser.take();
    const bool keep = request.keep_alive;
    Response response;
    try {
      response = co_await handler_(std::move(request));
    } catch (const std::exception& e) {
      spdlog::error("a request handler failed: {}", e.what());
      response = Response{};
      response.status = 503;
      response.retry_after_s = 1;
    }
    const bool again = keep && !response.close;
    const std::string bytes = render_response(response, again);
    const Instant write_by = loop_.now() + std::chrono::seconds(5);
    if (!co_await socket.write_all(bytes, write_by) || !again) co_return;
  }
}

}  // namespace dunlinknot::http
