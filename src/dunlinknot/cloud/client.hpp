// The cloud: machine types, launching, deleting, listing.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cloud {

using http::Outcome;

struct LaunchResult {
  Outcome outcome = Outcome::unknown;
  bool no_capacity = false;
  std::vector<std::string> machines;
};

class Client {
 public:
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint at, double rps);

  Task<std::optional<std::vector<MachineType>>> catalog();
  Task<LaunchResult> launch(std::string request, std::string type, std::string zone, bool spot,
                            uint32_t count);
  Task<Outcome> remove(std::vector<std::string> machines);
  Task<std::optional<MachineList>> list(std::string after);
  // When the cloud may next be asked, and whether it answered the last time.
  Nanos until_free() { return rate_limit_.until(loop_.now()); }
  bool answering() const { return answering_; }

 private:
  Task<http::Reply> call(std::string method, std::string target, std::string body);

  EventLoop& loop_;
  http::Transport& transport_;
  http::Endpoint at_;
  TokenBucket rate_limit_;
  bool answering_ = true;
};

}  // namespace dunlinknot::cloud
