// Decides which tasks run on which machines: a pure function of a snapshot of the cluster, the
// nominations, the cloud's capacity and the time. plan() changes nothing; apply() applies the
// returned plan, and the autoscaler launches the machines that it requests.
//
// Each stage of a cycle has its own file in this directory; scheduling_cycle.cpp runs them.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::scheduler {

// A machine type in one zone, spot or on-demand, that can be launched.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

// Machines that were requested and that the cloud has not confirmed yet.
struct PendingLaunch {
  Offer offer;
  uint32_t count = 0;
};

// The autoscaler's view of the cloud's capacity.
struct CloudCapacity {
  std::vector<PendingLaunch> pending_launches;
  std::set<Offer> refused_offers;  // refused recently; not requested again during the backoff
  size_t machine_count = 0;        // machines in the cluster, limited by Operator::max_machines
};

// Tasks of an array or a service to be allocated on a machine with room for them.
struct Placement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  std::vector<uint64_t> ends_nominations;  // nominations that the tasks use
};

// Tasks to be queued on a busy machine: each starts when a task there ends.
struct QueuedPlacement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  cluster::QueuePosition queue_position;
};

// The number of a gang's tasks on one machine.
struct GangShare {
  std::string machine;
  uint32_t count = 0;
};

// All tasks of a gang, to be allocated together or not at all.
struct GangPlacement {
  std::string job;
  std::vector<GangShare> shares;
};

// A request to launch machines of one offer.
struct CapacityRequest {
  Offer offer;
  uint32_t count = 0;
  std::string job;  // the first job that needed the offer; others may share the request
};

// Victims to be stopped on one machine so that one task of the job fits there.
struct Preemption {
  std::string job;  // of the preemptor
  std::string machine;
  Resources room;  // to be held for the preemptor
  Priority priority = Priority::low;
  std::vector<preemption::Victim> victims;
  double lost_core_seconds = 0;  // see preemption::VictimSet
  uint64_t renews = 0;           // the nomination to replace; 0: none
};

// What a job without started tasks waits for.
enum class WaitCause : uint8_t {
  team_limit,          // room under the team's limit
  queued_on_machine,   // the end of a task on the machine where it is queued
  machine_upcoming,    // a machine to boot or to be launched
  preemption,          // the end of its victims
  room_reserved,       // the end of tasks on machines where room is reserved for it
  no_room,             // room on an allowed machine; none can be launched
  quota_reserved,      // room under the team's limit, which is reserved for a gang of the team
  failed_machines,     // another machine than those with room, on which its tasks have failed
  reserved_by_others,  // room on machines whose free room is reserved for other jobs
};
// The cause as text for log lines.
std::string_view text(WaitCause cause);

// From this wait on, the cause distinguishes machines that have room but are excluded for the job.
inline constexpr Seconds kLongWait{60};

// A job without started tasks, and what it waits for.
struct WaitingJob {
  std::string job;
  WaitCause cause;
};

// The decisions of one cycle, each list in the order of the decisions.
struct Plan {
  std::vector<Placement> placements;
  std::vector<GangPlacement> gangs;
  std::vector<QueuedPlacement> queued;
  std::map<std::string, Resources> reserved_room;  // by machine; queued tasks must not take it
  // By team whose limit is reserved for a waiting gang: what the team may use in addition.
  std::vector<std::optional<Resources>> quota_allowances;
  // CPUs and memory that single tasks without accelerators leave for each free accelerator.
  Resources reserved_per_gpu;
  std::vector<std::string> jobs_at_limit;  // their team's limit allows none of their tasks
  std::vector<CapacityRequest> capacity_requests;
  std::vector<Preemption> preemptions;
  std::vector<uint64_t> cleared_nominations;  // that are no longer needed
  // Idle machines that waiting tasks will use; they must not be terminated.
  std::vector<std::string> machines_to_keep;
  size_t waiting_tasks = 0;  // before this cycle's placements
  std::vector<WaitingJob> waiting_jobs;
};

// Runs one scheduling cycle. The leader calls it under the lock that guards its state. `wall` is
// used for the ages of jobs, which outlive this process, and `now` for everything else.
Plan plan(const cluster::Cluster& cluster, const preemption::Nominations& nominations,
          const CloudCapacity& cloud_capacity, const settings::Platform& platform,
          const settings::Operator& operator_settings, WallTime wall, Instant now);

}  // namespace dunlinknot::scheduler
