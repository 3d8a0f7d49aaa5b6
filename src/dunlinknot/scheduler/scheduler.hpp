// What should run where: a pure function of the cluster as it is known, the cloud capacity and the
// time. It decides; others allocate, launch and stop.
#pragma once
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/preemption/fit.hpp"
#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::scheduler {

// One kind of machine that may be launched in one place.
struct Offer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Offer&) const = default;
};

// What is known of the cloud.
struct CloudCapacity {
  std::vector<std::pair<Offer, uint32_t>> pending;  // asked for, not answered yet
  std::set<Offer> refused;                          // of late
  size_t machines = 0;                              // that we have
};

struct Placement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  std::vector<uint64_t> ends_nominations;
};

// Tasks allocated on a machine that is full: each starts when a task there ends.
struct QueuedPlacement {
  std::string job;
  std::string machine;
  uint32_t count = 0;
  cluster::QueuePosition queue_position;
};

struct GangPlacement {
  std::string job;
  std::vector<std::pair<std::string, uint32_t>> on;
};

struct CapacityRequest {
  Offer offer;
  uint32_t count = 0;
  std::string job;  // that it is for, first of all
};

struct Preemption {
  std::string job;
  std::string machine;
  Resources room;
  Priority priority = Priority::low;
  std::vector<preemption::Victim> victims;
  double lost_seconds = 0;
  uint64_t renews = 0;  // the nomination that this one replaces
};

// What a job that has not begun waits for.
enum class WaitCause : uint8_t {
  team_limit,         // its team's limit is used up, or saved up for it
  queued_on_machine,  // a task to end on the machine where it is allocated
  machine_coming,     // a machine that boots or was asked for
  preemption,         // tasks that are being stopped for it
  room_kept,          // room is kept for it where tasks are to end
  no_room,            // no allowed machine has room, and none can be launched
};
std::string_view text(WaitCause cause);

struct WaitingJob {
  std::string job;
  WaitCause cause;
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<GangPlacement> gangs;
  std::vector<QueuedPlacement> queued;
  std::map<std::string, Resources> held;  // by machine: room that queued tasks must leave
  std::vector<Resources> saved;           // by team: of its limit, for gangs
  std::vector<CapacityRequest> capacity_requests;
  std::vector<Preemption> preemptions;
  std::vector<uint64_t> cleared;    // nominations that came to nothing
  std::vector<std::string> wanted;  // idle machines that waiting work will use: not to be returned
  size_t waiting_tasks = 0;
  std::vector<WaitingJob> waiting_jobs;  // that have not begun
};

Plan plan(const cluster::Cluster& cluster, const preemption::Nominations& nominations,
          const CloudCapacity& cloud_capacity, const settings::Platform& platform,
          const settings::Operator& operator_settings, WallTime wall, Instant now);

// The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::set<std::string> within_guarantee(const cluster::Cluster& cluster);

}  // namespace dunlinknot::scheduler
