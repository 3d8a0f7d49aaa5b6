// The settings of a controller. They come from two files: the platform's (TOML), which describes
// this node and the limits that it must keep, and the operators' (XML, optional), which tunes the
// service. All values of both are validated.
#pragma once
#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "dunlinknot/http/socket.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::settings {

// An error in a settings file. Its text states the file and, if known, the line, and is shown to
// operators unchanged.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Another controller, as listed in the platform's settings.
struct Peer {
  std::string node;
  std::string zone;
  http::Endpoint address;
};

// Quota of a team that submits jobs. Between its guarantee and its limit the team borrows unused
// resources, which are reclaimed on demand. 0 means no guarantee or no limit.
struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // limit
};

// A service-level objective.
struct Objective {
  std::string kind;            // "wait", "deadline" or "guarantee"; other kinds are ignored
  std::string job_class;       // empty: all classes
  Seconds time_limit{0};       // time limit for the start, for kinds "wait" and "guarantee"
  double share = 0;            // fraction of the jobs that must meet the objective
  double deadline_factor = 1;  // factor applied to a job's deadline, for kind "deadline"
};

// The limits of the key-value store. It rejects requests beyond them.
struct StoreLimits {
  double rps = 0;          // requests per second
  double write_rps = 0;    // puts and deletes per second
  size_t value_bytes = 0;  // maximum size of one value, encoded as JSON
  size_t txn_ops = 0;      // puts and deletes per transaction
};

// The platform's settings.
struct Platform {
  std::string node;            // the name of this controller
  std::string zone;            // the zone in which it runs
  http::Endpoint listen;       // serves users, workers and the load balancer
  http::Endpoint peer_listen;  // serves the other controllers
  std::vector<Peer> peers;     // the other controllers
  http::Endpoint cloud;
  http::Endpoint key_value_store;
  uint32_t nodes = 1;              // number of controllers, including this one
  std::vector<std::string> zones;  // zones in which machines may be launched
  Millis skew{0};                  // maximum error of the wall clock
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  Seconds heartbeat_interval{0};  // interval between heartbeats of a worker
  Seconds worker_lease{0};        // a worker without a response for this long kills its tasks
  Seconds gang_wait{0};           // a gang's task that waits this long for the others exits
  // Maximum time to detect that one of a gang's tasks ended.
  Seconds gang_failure_detection_time{0};
  Seconds cancel_timeout{0};  // from an acknowledged cancellation to the end of all tasks

  StoreLimits store_limits;
  // Limits that replace `store_limits` at an unannounced time.
  std::optional<StoreLimits> next_store_limits;
  // The lower of the current and the next limit.
  double lowest_store_write_rps() const {
    const double present = store_limits.write_rps;
    return next_store_limits ? std::min(present, next_store_limits->write_rps) : present;
  }
  double cloud_rps = 0;  // requests per second that the cloud accepts
  Seconds list_lag{0};   // usual lag of the cloud's machine list; it may be up to twice as long

  // Resource quota of this process.
  double cpu_share = 0;  // in CPU cores
  double memory_mb = 0;
  uint32_t max_connections = 0;  // incoming and outgoing connections
};

// The operators' settings with their defaults. Each comment states the setting's name in the file;
// docs/operations.md describes the settings.
struct Operator {
  Seconds leader_ttl{3.0};           // leadership/ttl
  uint32_t max_submissions = 64;     // api/max-submissions
  uint32_t max_polls = 128;          // api/max-polls
  uint32_t final_cache = 4000;       // api/final-cache
  Seconds idle_return{10};           // fleet/idle-return
  double boot_timeout_factor = 4.0;  // fleet/boot-patience, a multiple of the type's boot time
  Seconds lost_return{20};           // fleet/lost-return
  Seconds refusal_pause{15};         // fleet/refusal-pause
  uint32_t max_machines = 20000;     // fleet/max-machines
  uint32_t faults_to_drain = 3;      // fleet/faults-to-drain
  Seconds cycle_pause{0.1};          // scheduler/round-pause
  Seconds initial_backoff{5};        // scheduler/backoff-first
  Seconds max_backoff{60};           // scheduler/backoff-most
  uint32_t failing_machines = 3;     // scheduler/failing-machines
  bool roles = false;                // duties/on
  Seconds roles_ttl{4};              // duties/ttl
  Seconds roles_renew{1};            // duties/renew-every
};

// Both throw Error if the file cannot be read or a value is missing or invalid.
Platform load_platform(const std::string& path);
Operator load_operator(const std::string& path);

}  // namespace dunlinknot::settings
