// A machine in the leader's state: the reports of the cloud and of its worker, its allocations, and
// the state of its record in the key-value store.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/allocation.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// An image that is estimated to be in a machine's cache.
struct CachedImage {
  std::string name;
  double gb = 0;
};

// An allocation in the stored record of a machine.
struct StoredAllocation {
  TaskRef task;
  uint64_t attempt = 0;
};

// Suspicions that our responses do not reach a machine although its heartbeats arrive. Updated by
// FailureDetector.
struct LostResponses {
  uint32_t suspicions = 0;  // consecutive, at most two leases apart
  Instant first{};
  Instant last{};
};

// Errors of tasks on a machine since the last task that completed there. Updated by
// FailureDetector.
struct TaskErrors {
  uint32_t consecutive = 0;
  std::set<std::string> jobs;
};

// Owned by `Cluster` and guarded by the leader state's lock. Fields are changed by `Cluster` and
// its components; other modules only read them. Exceptions: the fields from the cloud's list are
// changed by the autoscaler, those of the record by AllocationStore.
struct Machine {
  std::string id;
  // The address of its worker, for direct calls. Empty until the first heartbeat or loaded record.
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;  // zero if its type is not in the catalog
  double cache_gb = 0;
  double fetch_gb_per_s = 0;

  // --- its worker's heartbeats
  bool has_heartbeat = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool fenced = false;  // a heartbeat had our fencing token: the worker refuses older tokens
  // Its lease expired without a heartbeat. It is usable again only with a later incarnation.
  bool lost = false;
  Instant last_heartbeat{};
  Instant last_response{};
  Instant incarnation_since{};  // when the current incarnation was first reported
  // Of the last heartbeat. `incarnation` and `sequence` may be newer, from the response to a
  // direct call.
  uint64_t heartbeat_incarnation = 0;
  uint64_t heartbeat_sequence = 0;
  std::optional<Instant> interruption_at;

  // --- whether our responses reach it (FailureDetector)
  LostResponses lost_responses;
  bool unreachable = false;

  // --- the cloud's list of machines (autoscaler)
  Instant known_since{};
  bool listed = false;
  bool listed_running = false;
  bool listed_failed = false;
  bool terminating = false;  // will be returned to the cloud; gets no work

  // --- errors of the tasks started on it (FailureDetector)
  bool draining = false;  // gets no work and will be replaced
  std::string drain_reason;
  Instant drained_at{};
  TaskErrors task_errors;
  // The latest start of a task that then completed, or ran long enough not to have failed at its
  // start. Failures before it do not count against the machine any more.
  Instant works_since{};

  // --- resources and cached images
  std::vector<Allocation> allocations;
  Resources used;                   // by the allocations that are not queued
  Resources reserved;               // for nominations and headroom; not available to queued tasks
  uint32_t queued_tasks = 0;        // allocations that are queued
  Instant idle_since{};             // when its last allocation ended
  std::vector<CachedImage> images;  // most recently used last; estimated from the placed tasks

  // --- its record in the key-value store
  uint64_t mod_revision = 0;
  bool mod_revision_known = true;  // false after a write with an unknown outcome
  bool dirty = false;              // allocations were added since the record was written
  bool write_queued = false;       // is in the ordinary queue of RecordWriteQueue
  bool urgent = false;             // is in its urgent queue, which is served first
  bool shrunk = false;             // allocations ended since; rewritten at low priority
  bool write_in_flight = false;    // a write of the record is in flight
  std::vector<StoredAllocation> stored;

  Resources free() const { return size - used; }
  bool has_image(std::string_view image) const;
  // Adds the image of a task that was placed here to the estimated cache contents, and removes the
  // least recently used images that no longer fit.
  void note_image(const std::string& image, double image_gb);
  // Null if there is no such allocation. The pointer is invalidated when allocations are added or
  // removed.
  Allocation* find(const TaskRef& task, uint64_t attempt);
  const Allocation* find(const TaskRef& task, uint64_t attempt) const;
};

// By id. The order is part of the behaviour: decisions that iterate over all machines are made in
// this order.
using MachineTable = std::map<std::string, std::unique_ptr<Machine>>;

}  // namespace dunlinknot::cluster
