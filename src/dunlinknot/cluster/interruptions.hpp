// Ends or stops allocations on machines that are about to be interrupted or are unusable.
#pragma once
#include "dunlinknot/cluster/allocation_table.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::cluster {

// Stateless; called by `Cluster::tick` under the leader state's lock.
class Interruptions {
 public:
  Interruptions(const settings::Platform& platform, AllocationTable& allocations)
      : platform_(platform), allocations_(allocations) {}

  // Ends and stops the allocations of the machine for which this is due at `now`.
  Effects tick(Machine& machine, Instant now) const;

 private:
  bool gets_no_run(const Machine& machine, Instant now) const;
  void move_replicas(Machine& machine, Instant now) const;
  void save_checkpoints(Machine& machine, Instant now) const;

  const settings::Platform& platform_;
  AllocationTable& allocations_;
};

}  // namespace dunlinknot::cluster
