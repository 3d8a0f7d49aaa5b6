// HTTP calls to other processes: a deadline on each, and an outcome that separates "not carried
// out" from "may have been".
#pragma once
#include <deque>
#include <map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

// What became of a request. `refused`: certainly not carried out. `unknown`: it may have been
// carried out, or may still be, later.
enum class Outcome { ok, refused, unknown };

// The answer to a call. `status` and `body` are only set with Outcome::ok.
struct Reply {
  Outcome outcome = Outcome::unknown;
  int status = 0;
  std::string body;
  bool too_large = false;  // an answer came, but its body is above the call's `max_body`
};

// One request.
struct Call {
  Endpoint to;
  std::string method;
  std::string target;
  std::string body;
  Instant deadline;
  size_t max_body = size_t{64} * 1024;  // bytes of the answer's body that are accepted
  bool keep = true;                     // keep the connection for a later call
};

// Makes calls. Tests put scripted peers in place of the network here.
class Transport {
 public:
  virtual ~Transport() = default;
  // Resumes with the answer, at the latest at the call's deadline. Never throws for what the peer
  // does.
  virtual Task<Reply> exchange(Call call) = 0;
};

// Calls over TCP, with a few idle connections kept for each peer. Runs on the event loop; the
// client outlives its calls.
class Client final : public Transport {
 public:
  // `idle_time`: after which a kept connection is not used any more.
  Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_time);
  Task<Reply> exchange(Call call) override;
  // Calls under way.
  size_t open_connections() const { return open_; }

 private:
  struct Idle {
    Socket socket;
    Instant since;
  };
  // How one try on one connection ended.
  struct Attempt {
    Reply reply;
    bool untouched = true;  // the peer closed the connection before it answered anything
    bool reusable = false;  // the connection may carry another call
  };
  // `socket` and `call` belong to the awaiting exchange().
  Task<Attempt> attempt(Socket& socket, const Call& call);

  EventLoop& loop_;
  size_t max_idle_;
  Nanos idle_time_;
  size_t open_ = 0;
  std::map<Endpoint, std::deque<Idle>> idle_;
};

}  // namespace dunlinknot::http
