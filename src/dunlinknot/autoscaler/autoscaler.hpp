// Scales the cluster: which machines are launched and terminated, and when.
//
// The scheduler says what capacity it lacks; ScaleOut launches it. TerminationPolicy says which
// machines are to go; ScaleIn terminates them. MachineInventory reads what the cloud lists.
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

// Owned by the daemon, which spawns `work` and `watch_machines` in each of its terms as the leader
// and calls the rest from the scheduling loop. All on the controller's event loop; the cluster
// state is read and changed under its lock, which is never held across a suspension.
class Autoscaler {
 public:
  // `roles` is null when the singleton roles are turned off. All must outlive the autoscaler.
  Autoscaler(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Forgets what was decided in an earlier term.
  void begin_term();
  // Acquires the singleton roles and resumes what a former holder decided; before anything is
  // planned. False when the term ended meanwhile.
  Task<bool> acquire_roles(uint64_t term);
  // Reads the cloud's machine list and catalogue, as long as the term lasts.
  Task<void> watch_machines(uint64_t term) { return inventory_.watch(term); }
  // Records and sends launches and terminations, as long as the term lasts; woken by
  // `context.scaling`.
  Task<void> work(uint64_t term);

  // What the scheduler has to know about launches under way.
  scheduler::CloudCapacity cloud_capacity(Instant now) const {
    return scale_out_.cloud_capacity(now);
  }
  // Launches what the scheduler asked for in its last cycle.
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
    scale_out_.order(capacity_requests);
  }
  // Decides which machines are terminated; called after each scheduling cycle. `wanted`: ids of
  // machines that the cycle keeps although they are empty; `waiting_tasks`: left by it.
  void scan(std::vector<std::string> wanted, size_t waiting_tasks, Instant now);

 private:
  std::vector<Termination> terminations(std::vector<std::string> wanted, size_t waiting_tasks,
                                        Instant now);

  cluster::LeaderContext& context_;
  roles::SingletonRoles* roles_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  MachineInventory inventory_;
};

}  // namespace dunlinknot::autoscaler
