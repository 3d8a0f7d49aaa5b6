// HTTP client interface. Every call has a deadline, and its outcome distinguishes requests that
// were not executed from those that may have been.
#pragma once
#include <deque>
#include <map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

// Outcome of a request. `ok`: a response was received. `not_executed`: the request was certainly
// not executed. `unknown`: the request may have been executed, or may still be executed later.
enum class Outcome { ok, not_executed, unknown };

// Result of a call. `status` and `body` are only set with Outcome::ok.
struct Reply {
  Outcome outcome = Outcome::unknown;
  int status = 0;
  std::string body;
  bool too_large = false;  // a response was received, but its body exceeds `max_body`
};

// A request and where to send it.
struct Call {
  Endpoint to;
  std::string method;
  std::string target;
  std::string body;
  Instant deadline;
  size_t max_body = size_t{64} * 1024;  // maximum size of the response body, in bytes
  bool keep_alive = true;               // reuse the connection for later calls
};

// Sends requests. Tests replace it with scripted peers in place of the network.
class Transport {
 public:
  virtual ~Transport() = default;
  // Completes with the result, at the latest at the call's deadline. Errors of the peer or the
  // network are reported as an outcome, never thrown.
  virtual Task<Reply> exchange(Call call) = 0;
};

// Transport over TCP with a pool of idle connections per peer. Runs on the event loop and must
// outlive its calls.
class Client final : public Transport {
 public:
  // Connections that were idle for longer than `idle_timeout` are not reused.
  Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_timeout);
  Task<Reply> exchange(Call call) override;
  // Number of calls in flight.
  size_t open_connections() const { return open_connections_; }

 private:
  struct IdleConnection {
    Socket socket;
    Instant idle_since;
  };
  // Result of sending the request once, on one connection.
  struct Attempt {
    Reply reply;
    bool closed_without_response = true;  // the peer closed the connection before it sent any byte
    bool reusable = false;                // the connection can be used for another call
  };
  // `socket` and `call` are owned by the awaiting exchange().
  Task<Attempt> attempt(Socket& socket, const Call& call);

  EventLoop& loop_;
  size_t max_idle_per_peer_;
  Nanos idle_timeout_;
  size_t open_connections_ = 0;
  std::map<Endpoint, std::deque<IdleConnection>> idle_connections_;
};

}  // namespace dunlinknot::http
