// What should run where: a pure function of a snapshot of the cluster, the nominations, the cloud's
// capacity and the time. It returns a plan and changes nothing; apply() carries the plan out, and
// the autoscaler launches what it asks for.
//
// The stages of a cycle are in this directory, a file each; scheduling_cycle.cpp runs them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::scheduler {

// One kind of machine that may be launched in one place.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

// Machines that were asked for and that the cloud has not confirmed yet.
struct PendingLaunch {
  Offer offer;
  uint32_t count = 0;
};

// What is known of the cloud, from the autoscaler.
struct CloudCapacity {
  std::vector<PendingLaunch> pending_launches;
  std::set<Offer> refused_offers;  // of late: not asked for again for a while
  size_t machine_count = 0;        // that we have, counted against Operator::max_machines
};

// Tasks of an array or a service to be allocated on a machine with room for them.
struct Placement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  std::vector<uint64_t> ends_nominations;  // that the tasks used up
};

// Tasks allocated on a machine that is full: each starts when a task there ends.
struct QueuedPlacement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  cluster::QueuePosition queue_position;
};

// So many tasks of a gang on one machine.
struct GangShare {
  std::string machine;
  uint32_t count = 0;
};

// All tasks of a gang, to be allocated together or not at all.
struct GangPlacement {
  std::string job;
  std::vector<GangShare> shares;
};

// Machines that should be launched.
struct CapacityRequest {
  Offer offer;
  uint32_t count = 0;
  std::string job;  // that asked for the offer first; others may share the request
};

// Victims to be stopped on one machine so that one task of the job fits there.
struct Preemption {
  std::string job;  // the preemptor's
  std::string machine;
  Resources room;  // to be held for the preemptor
  Priority priority = Priority::low;
  std::vector<preemption::Victim> victims;
  double lost_core_seconds = 0;  // see preemption::VictimSet
  uint64_t renews = 0;           // the nomination that this one replaces; 0: none
};

// What a job that has not begun waits for.
enum class WaitCause : uint8_t {
  team_limit,         // its team's limit is used up, or saved up for it
  queued_on_machine,  // a task to end on the machine where it is allocated
  machine_upcoming,   // a machine that boots or was asked for
  preemption,         // tasks that are being stopped for it
  room_reserved,      // room is kept for it where tasks are to end
  no_room,            // no allowed machine has room, and none can be launched
};
// The cause as users are shown it, to follow "waits for".
std::string_view text(WaitCause cause);

// A job none of whose tasks has begun, and why.
struct WaitingJob {
  std::string job;
  WaitCause cause;
};

// The decisions of one cycle, each list in the order in which it was decided.
struct Plan {
  std::vector<Placement> placements;
  std::vector<GangPlacement> gangs;
  std::vector<QueuedPlacement> queued;
  std::map<std::string, Resources> reserved_room;  // by machine: room that queued tasks must leave
  std::vector<Resources> reserved_quota;           // by team: of its limit, for gangs
  std::vector<CapacityRequest> capacity_requests;
  std::vector<Preemption> preemptions;
  std::vector<uint64_t> cleared_nominations;  // nominations that are of no use any more
  std::vector<std::string>
      machines_to_keep;      // idle machines that waiting work will use: not to be returned
  size_t waiting_tasks = 0;  // before this cycle's placements
  std::vector<WaitingJob> waiting_jobs;
};

// Runs one scheduling cycle. Called by the leader under the lock that guards its state. `wall` is
// for the ages of jobs, which outlive this process; `now` is for all else.
Plan plan(const cluster::Cluster& cluster, const preemption::Nominations& nominations,
          const CloudCapacity& cloud_capacity, const settings::Platform& platform,
          const settings::Operator& operator_settings, WallTime wall, Instant now);

}  // namespace dunlinknot::scheduler
