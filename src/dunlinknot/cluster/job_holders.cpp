// Updates and lookups of the index from jobs to machines.
#include "dunlinknot/cluster/job_holders.hpp"

#include <algorithm>

namespace dunlinknot::cluster {

void JobHolders::add(const std::string& job, Machine& machine) {
  std::vector<Machine*>& machines = machines_by_job_[job];
  if (std::find(machines.begin(), machines.end(), &machine) == machines.end())
    machines.push_back(&machine);
}

void JobHolders::remove(const std::string& job, Machine& machine) {
  const auto it = machines_by_job_.find(job);
  std::erase(it->second, &machine);
  if (it->second.empty()) machines_by_job_.erase(it);
}

const std::vector<Machine*>& JobHolders::of(const std::string& job) const {
  static const std::vector<Machine*> none;
  const auto it = machines_by_job_.find(job);
  return it == machines_by_job_.end() ? none : it->second;
}

}  // namespace dunlinknot::cluster
