#pragma once
#include <functional>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

using Handler = std::function<Task<Response>(Request)>;

struct ServerOptions {
  size_t max_connections = 256;
  Limits limits;
  Nanos idle = std::chrono::seconds(90);
  Nanos request_time = std::chrono::seconds(10);
};

// Serves one listening address. Connections over the limit are told to come back and closed.
class Server {
 public:
  Server(EventLoop& loop, Endpoint at, ServerOptions options, Handler handler);
  Task<void> serve();
  size_t connections() const { return connections_; }
  uint64_t turned_away() const { return turned_away_; }
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
