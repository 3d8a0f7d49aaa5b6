// A machine as the leader knows it: what the cloud and its worker reported, what is allocated
// there, and the state of its record in the key-value store.
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

// An image that is probably in a machine's cache.
struct CachedImage {
  std::string name;
  double gb = 0;
};

// One task in the stored record of a machine.
struct StoredAllocation {
  TaskRef task;
  uint64_t attempt = 0;
};

// Signs that a machine's heartbeats arrive but our responses do not reach it. Kept by
// FailureDetector.
struct LostResponses {
  uint32_t suspicions = 0;  // in a row, none long after the one before
  Instant first{};
  Instant last{};
};

// Failures of the tasks started on a machine since the last one that completed there. Kept by
// FailureDetector.
struct TaskErrors {
  uint32_t streak = 0;
  std::set<std::string> jobs;
};

// Owned by `Cluster` and guarded by the leader state's lock, like everything in it. A plain record:
// fields are changed by `Cluster` and the types it is made of, other modules read them. The
// exceptions are the cloud's fields (autoscaler) and the record's fields (AllocationStore).
struct Machine {
  std::string id;
  std::string address;  // of its worker, for direct calls; empty until its first heartbeat
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;  // zero while its type is not in the catalog
  double cache_gb = 0;
  double fetch_gb_per_s = 0;

  // --- its worker's heartbeats
  bool has_heartbeat = false;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  bool fenced = false;  // a heartbeat bore our fencing token, so the worker refuses older ones
  bool lost = false;    // silent beyond its lease; counts again only with a later incarnation
  Instant last_heartbeat{};
  Instant last_answered{};
  Instant incarnation_since{};         // when the worker's incarnation was first reported
  uint64_t heartbeat_incarnation = 0;  // of its last heartbeat; answers to direct calls, which
  uint64_t heartbeat_sequence = 0;     // `incarnation` and `sequence` include, may be newer
  std::optional<Instant> interruption_at;

  // --- whether our responses reach it (FailureDetector)
  LostResponses lost_responses;
  bool unreachable = false;

  // --- the cloud's list of machines
  Instant known_since{};
  bool listed = false;
  bool listed_running = false;
  bool listed_failed = false;
  bool terminating = false;  // to be returned: gets no work

  // --- failures of the tasks started there (FailureDetector)
  bool draining = false;  // gets no work, and is replaced
  std::string drain_reason;
  TaskErrors task_errors;

  // --- room
  std::vector<Allocation> allocations;
  Resources used;             // by the allocations that are not queued
  Resources held;             // promised to nominations and headroom: queued tasks must not take it
  uint32_t queued_tasks = 0;  // allocations that are queued
  Instant idle_since{};       // when its last allocation ended
  std::vector<CachedImage> images;  // most recently used last; estimated from what was started

  // --- its record in the key-value store
  uint64_t mod_revision = 0;
  bool mod_revision_known = true;  // false after a write whose outcome is unknown
  bool dirty = false;              // allocations were added since it was written
  bool write_queued = false;       // in the ordinary queue (RecordWriteQueue)
  bool urgent = false;             // in the queue that is served first
  bool shrunk = false;             // allocations ended since: rewritten when there is time
  bool storing = false;            // a write is in flight
  std::vector<StoredAllocation> stored;

  Resources free() const { return size - used; }
  bool has_image(std::string_view image) const;
  // Records that a task with this image was placed here, and drops from the estimate of the cache
  // the least recently used images that no longer fit.
  void note_image(const std::string& image, double image_gb);
  // Null when there is no such allocation. Invalidated when allocations are added or removed.
  Allocation* find(const TaskRef& task, uint64_t attempt);
  const Allocation* find(const TaskRef& task, uint64_t attempt) const;
};

// By id. The order is part of the behaviour: whatever walks all machines decides in this order.
using MachineTable = std::map<std::string, std::unique_ptr<Machine>>;

}  // namespace dunlinknot::cluster
