// The messages of the leader to a worker: responses to heartbeats, and direct stop calls.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// Created by `Cluster::apply_heartbeat` and `Cluster::commands_for`; sent by
// `workers::HeartbeatHandler`.
struct HeartbeatResponse {
  enum class Kind {
    // Renews the worker's lease.
    accept,
    // The heartbeat is a duplicate or outdated, or its machine was removed: renews no lease.
    stale,
    // The heartbeat has a newer fencing token: there is a later leader, and this one must step
    // down.
    superseded,
  };
  Kind kind = Kind::accept;
  std::vector<Command> commands;
  // The status was newer than all before and was applied, so the response may contain a `run`.
  bool status_applied = false;
  // A `run` for the machine is likely to become sendable soon: the response should be delayed for
  // it.
  bool run_likely = false;
};

// A direct call to a worker with stop commands, sent without waiting for its next heartbeat.
struct StopCall {
  std::string machine;
  std::string address;
  uint64_t incarnation = 0;  // of the intended worker; a later incarnation refuses the call
  std::vector<Command> commands;
};

}  // namespace dunlinknot::cluster
