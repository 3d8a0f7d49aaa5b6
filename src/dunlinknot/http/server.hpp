// HTTP/1.1 server of a controller.
#pragma once
#include <functional>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

// Handles one request. May suspend. If it throws, the server answers 503.
using Handler = std::function<Task<Response>(Request)>;

// Limits and timeouts of a server.
struct ServerOptions {
  size_t max_connections = 256;
  Limits limits;                                     // maximum sizes of one request
  Nanos idle_timeout = std::chrono::seconds(90);     // timeout of a connection without a request
  Nanos request_timeout = std::chrono::seconds(10);  // from the first to the last byte of a request
};

// Serves one listening address on the event loop, with one coroutine per connection. Connections
// over the limit are answered with 503 and a Retry-After header and closed. Must outlive its
// connections.
class Server {
 public:
  // Binds the address; throws std::runtime_error if that fails.
  Server(EventLoop& loop, Endpoint at, ServerOptions options, Handler handler);
  // Accepts connections; never returns.
  Task<void> serve();
  // Number of open connections, and of connections rejected since the start.
  size_t connections() const { return connections_; }
  uint64_t rejected_connections() const { return rejected_connections_; }
  // The port that the listening socket is bound to.
  uint16_t port() const { return listener_.port(); }

 private:
  Task<void> connection(Socket socket);
  Task<void> reject(Socket socket);

  EventLoop& loop_;
  Listener listener_;
  ServerOptions options_;
  Handler handler_;
  size_t connections_ = 0;
  uint64_t rejected_connections_ = 0;
};

}  // namespace dunlinknot::http
