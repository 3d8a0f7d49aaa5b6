// An index of the machines that hold allocations of each job.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Spares every question about one job's allocations a walk over all machines. A machine must be
// removed before it is destroyed.
class JobHolders {
 public:
  void add(const std::string& job, Machine& machine);
  // The machine's last allocation of the job ended. It must have been added before.
  void remove(const std::string& job, Machine& machine);
  // In no particular order; empty for an unknown job. `add` and `remove` invalidate the reference.
  const std::vector<Machine*>& of(const std::string& job) const;
  void clear() { machines_by_job_.clear(); }

 private:
  std::unordered_map<std::string, std::vector<Machine*>> machines_by_job_;
};

}  // namespace dunlinknot::cluster
