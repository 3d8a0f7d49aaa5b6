// Scales the cluster: decides which machines are launched and terminated, and when.
//
// ScaleOut launches the capacity that the scheduler requests. TerminationPolicy selects the
// machines to terminate, and ScaleIn terminates them. MachineInventory reads the cloud's machine
// list.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/machine_inventory.hpp"
#include "dunlinknot/autoscaler/scale_in.hpp"
#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/autoscaler/termination_policy.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

// Owned by the daemon, which spawns `run` and `watch_machines` in each of its terms as the leader
// and calls the other functions from the leader loop. Everything runs on the controller's event
// loop. The cluster state is read and changed under its lock, which is never held across a
// suspension.
class Autoscaler {
 public:
  // `roles` is null when the singleton roles are disabled. All referenced objects must outlive the
  // autoscaler.
  Autoscaler(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Discards all decisions of earlier terms.
  void begin_term();
  // Acquires the singleton roles and resumes the open intents of the previous holder. Has to
  // complete before the first scheduling cycle. Returns false if the term ended meanwhile.
  Task<bool> acquire_roles(uint64_t term);
  // Periodically reads the cloud's machine list and catalog until the term ends.
  Task<void> watch_machines(uint64_t term) { return inventory_.watch(term); }
  // Records and sends launch and termination requests until the term ends. Woken by
  // `context.scaling`.
  Task<void> run(uint64_t term);

  // The launches in flight and the offers in backoff, as input of a scheduling cycle.
  scheduler::CloudCapacity cloud_capacity(Instant now) const {
    return scale_out_.cloud_capacity(now);
  }
  // Launches the capacity that the last scheduling cycle requested.
  void request_launches(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
    scale_out_.request_launches(capacity_requests);
  }
  // Decides which machines are terminated. Called after each scheduling cycle. `machines_to_keep`:
  // ids of empty machines that the cycle wants to keep. `waiting_tasks`: number of tasks that
  // waited before the cycle's placements.
  void scan(std::vector<std::string> machines_to_keep, size_t waiting_tasks, Instant now);

 private:
  std::vector<Termination> decide_terminations(std::vector<std::string> machines_to_keep,
                                               size_t waiting_tasks, Instant now);

  cluster::LeaderContext& context_;
  roles::SingletonRoles* roles_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  MachineInventory inventory_;
};

}  // namespace dunlinknot::autoscaler
