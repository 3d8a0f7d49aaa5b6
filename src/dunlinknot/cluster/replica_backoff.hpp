// Delays the restart of replicas that repeatedly exit soon after their start.
#pragma once
#include <cstdint>
#include <set>
#include <string>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::cluster {

// The delays are stored in `Job`. This type computes them and tracks which jobs have delayed
// replicas, so that releasing them does not iterate over all jobs. Called by `Cluster` under the
// leader state's lock.
class ReplicaBackoff {
 public:
  explicit ReplicaBackoff(const settings::Operator& operator_settings) : op_(operator_settings) {}

  // To be called when a replica exited by itself and its allocation ended. `early`: it exited
  // shortly after its start.
  void on_replica_end(Job& job, uint32_t index, bool early, Instant now);
  // Makes the replicas pending whose delay has passed. Returns whether there were any.
  bool release_due(const JobTable& jobs, Instant now);
  void clear() { jobs_.clear(); }

 private:
  const settings::Operator& op_;
  std::set<std::string> jobs_;  // ids of jobs with delayed replicas
};

}  // namespace dunlinknot::cluster
