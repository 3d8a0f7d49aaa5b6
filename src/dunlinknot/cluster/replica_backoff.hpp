// Delays replicas of services that exit again and again soon after their start.
#pragma once
#include <cstdint>
#include <set>
#include <string>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::cluster {

// The delays themselves are kept in `Job`; this type decides how long they are and remembers which
// jobs have any, so that releasing them need not walk all jobs. Called by `Cluster` under the
// leader state's lock.
class ReplicaBackoff {
 public:
  explicit ReplicaBackoff(const settings::Operator& operator_settings) : op_(operator_settings) {}

  // A replica exited by itself and its allocation ended. `soon`: shortly after its start.
  void on_replica_end(Job& job, uint32_t index, bool soon, Instant now);
  // Makes the replicas pending whose delay is over. Returns whether there were any.
  bool release_due(const JobTable& jobs, Instant now);
  void clear() { jobs_.clear(); }

 private:
  const settings::Operator& op_;
  std::set<std::string> jobs_;  // with replicas that are delayed
};

}  // namespace dunlinknot::cluster
