#pragma once
#include <deque>
#include <map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/http/socket.hpp"

namespace dunlinknot::http {

// What became of a request. `refused`: certainly not carried out. `unknown`: it may have been
// carried out, or may still be, later.
enum class Outcome { ok, refused, unknown };

struct Reply {
  Outcome outcome = Outcome::unknown;
  int status = 0;
  std::string body;
  bool too_large = false;  // an answer came, but its body is above the call's `max_body`
};

struct Call {
  Endpoint to;
  std::string method;
  std::string target;
  std::string body;
  Instant deadline;
  size_t max_body = size_t{64} * 1024;
  bool keep = true;  // keep the connection for a later call
};

// The seam for tests: a scripted peer stands in for the network here.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual Task<Reply> exchange(Call call) = 0;
};

// Keeps a few idle connections per peer.
class Client final : public Transport {
 public:
  Client(EventLoop& loop, size_t max_idle_per_peer, Nanos idle_time);
  Task<Reply> exchange(Call call) override;
  size_t open_connections() const { return open_; }

 private:
  struct Idle {
    Socket socket;
    Instant since;
  };
  Task<Reply> attempt(Socket& socket, const Call& call, bool& untouched, bool& reusable);

  EventLoop& loop_;
  size_t max_idle_;
  Nanos idle_time_;
  size_t open_ = 0;
  std::map<Endpoint, std::deque<Idle>> idle_;
};

}  // namespace dunlinknot::http
