// Client of the cloud's API: the catalog of machine types, the list of launched machines, launches
// and terminations.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cloud {

using http::Outcome;

// A request to launch machines of one type in one zone.
struct LaunchRequest {
  // Idempotency key: once a request was answered with machines, further requests under its name get
  // the same answer and launch nothing.
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
};

// The outcome of one copy of a launch request. Does not apply to other copies under the same name.
enum class LaunchOutcome : uint8_t {
  launched,     // `machines` were launched, possibly fewer than requested
  no_capacity,  // certainly not executed: the cloud has no capacity of that kind
  refused,      // certainly not executed: throttled
  rejected,     // certainly not executed: the cloud considers the request invalid
  unknown,      // may have been or may still be executed, or the cloud failed
};

// The result of a launch request.
struct LaunchResult {
  LaunchOutcome outcome = LaunchOutcome::unknown;
  std::vector<std::string> machines;  // ids; only with LaunchOutcome::launched
};

// Typed calls, each with a deadline. A call that would exceed the cloud's rate limit is delayed.
// Calls are never retried here. Runs on the controller's event loop; called by the autoscaler, and
// for the catalog by the daemon.
class Client {
 public:
  // `requests_per_second`: the cloud's rate limit, of which a tenth is left unused.
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint endpoint,
         double requests_per_second);

  // The catalog of machine types; empty if it cannot be read.
  Task<std::optional<std::vector<MachineType>>> catalog();
  Task<LaunchResult> launch(LaunchRequest request);
  // Terminates machines. With Outcome::ok nothing runs on any of them any more, even if the cloud
  // did not know some of them. After any other outcome the caller has to retry.
  Task<Outcome> terminate(std::vector<std::string> machines);
  // One page of the machine list, from the first machine after the id `after`; empty if it cannot
  // be read. The list lags behind launches and terminations.
  Task<std::optional<MachineList>> list(std::string after);

  // Whether the cloud answered the last request, even with a refusal.
  bool answering() const { return answering_; }

 private:
  Task<http::Reply> call(std::string method, std::string target, std::string body);

  EventLoop& loop_;
  http::Transport& transport_;
  http::Endpoint endpoint_;
  TokenBucket rate_limit_;
  bool answering_ = true;
};

}  // namespace dunlinknot::cloud
