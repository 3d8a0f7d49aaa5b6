// An index of the machines that hold allocations of each job.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/cluster/machine.hpp"

namespace dunlinknot::cluster {

// Avoids iterating over all machines to find the allocations of one job. A machine must be removed
// from the index before it is destroyed.
class JobHolders {
 public:
  void add(const std::string& job, Machine& machine);
  // To be called when the machine's last allocation of the job has ended. The machine must have
  // been added before.
  void remove(const std::string& job, Machine& machine);
  // The machines with allocations of the job, in no particular order; empty for an unknown job.
  // `add` and `remove` invalidate the reference.
  const std::vector<Machine*>& of(const std::string& job) const;
  void clear() { machines_by_job_.clear(); }

 private:
  std::unordered_map<std::string, std::vector<Machine*>> machines_by_job_;
};

}  // namespace dunlinknot::cluster
