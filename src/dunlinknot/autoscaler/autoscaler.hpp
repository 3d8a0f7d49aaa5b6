// The machines: what the cloud lists, what is launched, what is returned and why.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/scale_in.hpp"
#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

class Autoscaler {
 public:
  // `duties` is null when they are off.
  Autoscaler(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Forgets what was of an earlier term.
  void begin_term();
  // Takes the singleton roles and goes on with what a former holder decided; before anything is
  // planned. False when the term ended meanwhile.
  Task<bool> acquire_roles(uint64_t term);
  Task<void> watch_machines(uint64_t term);  // the list, the catalogue
  Task<void> work(uint64_t term);            // launches and returns

  // What the scheduler needs to know; and its capacity_requests.
  scheduler::CloudCapacity cloud_capacity(Instant now) const {
    return scale_out_.cloud_capacity(now);
  }
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
    scale_out_.order(capacity_requests);
  }
  // Looks for machines to return; called after each cycle.
  void scan(std::vector<std::string> wanted, size_t waiting_tasks, Instant now);

 private:
  void apply_list(const std::vector<ListedMachine>& machines, Instant now);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
};

}  // namespace dunlinknot::autoscaler
