// What the leader answers to a worker: the response to its heartbeat, and direct stop calls.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// Made by `Cluster::apply_heartbeat` and `Cluster::commands_for`; sent by
// `workers::HeartbeatHandler`.
struct HeartbeatResponse {
  enum class Kind {
    accept,      // renews the worker's lease
    stale,       // a copy, or from a machine that is gone: must not renew any lease
    superseded,  // bears a newer fencing token: a later leader exists, this one must step down
  };
  Kind kind = Kind::accept;
  std::vector<Command> commands;
  bool status_applied =
      false;                // newer than everything known before, so commands may be based on it
  bool run_likely = false;  // a `run` for the machine is likely within moments: worth holding the
                            // response back for it
};

// A call to a worker that must not wait for its next heartbeat.
struct StopCall {
  std::string machine;
  std::string address;
  uint64_t incarnation = 0;  // of the worker that is meant: a later one refuses the call
  std::vector<Command> commands;
};

}  // namespace dunlinknot::cluster
