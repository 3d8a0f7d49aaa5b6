// The HTTP server of a controller.
#pragma once
#include <functional>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

// Answers one request. May suspend; an exception is answered with 503.
using Handler = std::function<Task<Response>(Request)>;

// Bounds of a server.
struct ServerOptions {
  size_t max_connections = 256;
  Limits limits;                                  // of one request
  Nanos idle = std::chrono::seconds(90);          // a connection without a request is closed after
  Nanos request_time = std::chrono::seconds(10);  // from a request's first byte to its last
};

// Serves one listening address on the event loop, one coroutine for each connection. Connections
// over the limit are answered 503 with a Retry-After and closed. Outlives its connections.
class Server {
 public:
  // Opens the socket; throws std::runtime_error when that fails.
  Server(EventLoop& loop, Endpoint at, ServerOptions options, Handler handler);
  // Accepts connections; never returns.
  Task<void> serve();
  // Open connections, and how many were turned away since the start.
  size_t connections() const { return connections_; }
  uint64_t turned_away() const { return turned_away_; }
  // The port that the socket is bound to.
  uint16_t port() const { return listener_.port(); }

 private:
  Task<void> connection(Socket socket);
  Task<void> turn_away(Socket socket);

  EventLoop& loop_;
  Listener listener_;
  ServerOptions options_;
  Handler handler_;
  size_t connections_ = 0;
  uint64_t turned_away_ = 0;
};

}  // namespace dunlinknot::http
