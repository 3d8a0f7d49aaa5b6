// The commands in the response to a worker's heartbeat.
#pragma once
#include <vector>

#include "dunlinknot/cluster/allocation_table.hpp"

namespace dunlinknot::cluster {

// Derives the commands from the allocations of the machine and the tasks in the heartbeat.
// Stateless; called by `Cluster` under the leader state's lock.
class WorkerCommands {
 public:
  explicit WorkerCommands(AllocationTable& allocations) : allocations_(allocations) {}

  // Returns all commands of the response, stops first. With `may_start` they include each sendable
  // `run`, and the allocations concerned become `sent`.
  std::vector<Command> take(Machine& machine, const Heartbeat& heartbeat, bool may_start) const;
  // Whether the response should be delayed: no `run` is sendable yet, but one is likely to be soon.
  // `room_may_be_used`: there are pending tasks, and no scheduling cycle has considered the free
  // resources of this machine yet.
  bool is_run_likely(const Machine& machine, bool room_may_be_used) const;

 private:
  bool is_sendable(const Allocation& allocation) const;
  static void add_stops(const Machine& machine, const Heartbeat& heartbeat,
                        std::vector<Command>& commands);
  void add_forgets(const Heartbeat& heartbeat, std::vector<Command>& commands) const;
  void add_runs(Machine& machine, const Heartbeat& heartbeat, std::vector<Command>& commands) const;

  AllocationTable& allocations_;
};

}  // namespace dunlinknot::cluster
