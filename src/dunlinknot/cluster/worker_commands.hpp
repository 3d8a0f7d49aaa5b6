// The commands that the response to a worker's heartbeat carries.
#pragma once
#include <vector>

#include "dunlinknot/cluster/allocation_table.hpp"

namespace dunlinknot::cluster {

// Derives the commands from the allocations of the machine and the tasks that the heartbeat lists.
// Has no state of its own; called by `Cluster` under the leader state's lock.
class WorkerCommands {
 public:
  explicit WorkerCommands(AllocationTable& allocations) : allocations_(allocations) {}

  // All that the response carries, stops first. With `may_start`, the allocations whose `run` is
  // among it count as sent from here on.
  std::vector<Command> take(Machine& machine, const Heartbeat& heartbeat, bool may_start) const;
  // Whether it is worth holding the response back: no `run` can be sent yet, but one is likely to
  // be within moments. `room_may_be_used`: work waits, and the scheduling cycle has not seen this
  // machine's room yet.
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
