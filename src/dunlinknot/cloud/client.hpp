// The cloud: its catalogue of machine types, its list of launched machines, launches and
// terminations.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cloud {

using http::Outcome;

// A request for machines of one kind in one zone.
struct LaunchRequest {
  // Makes the request idempotent: a name that was answered with machines gets the same answer
  // again, and launches nothing.
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
};

// How one copy of a launch request ended. Says nothing of other copies under the same name.
enum class LaunchOutcome : uint8_t {
  launched,     // `machines` were launched, perhaps fewer than asked for
  no_capacity,  // certainly not carried out: the cloud has no machine of that kind
  refused,      // certainly not carried out: throttled, or not a valid request
  unknown,      // may have been carried out, or may yet be; or the cloud fails
};

// The answer to a launch request, or that there was none.
struct LaunchResult {
  LaunchOutcome outcome = LaunchOutcome::unknown;
  std::vector<std::string> machines;  // ids
};

// Typed calls, each with a deadline and within the cloud's rate limit: a call that would exceed it
// waits. Never retries. On the controller's event loop; called by the autoscaler, and for the
// catalogue by the daemon.
class Client {
 public:
  // `requests_per_second`: the cloud's limit, of which a tenth is left unused.
  Client(EventLoop& loop, http::Transport& transport, http::Endpoint at,
         double requests_per_second);

  // Nothing when it cannot be read.
  Task<std::optional<std::vector<MachineType>>> catalog();
  Task<LaunchResult> launch(LaunchRequest request);
  // Terminates machines. With `ok` nothing runs on any of them any more, also if some were not
  // known to the cloud; any other outcome: to be repeated.
  Task<Outcome> terminate(std::vector<std::string> machines);
  // One page of the list of machines, from the first one after `after`; nothing when it cannot be
  // read. The list lags behind launches and terminations.
  Task<std::optional<MachineList>> list(std::string after);

  // Whether the cloud served its last request, were it only by a refusal.
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
