// The settings of a controller, from two files: the platform's (TOML), which names this node and
// the limits that it has to keep, and the operators' own (XML, optional), which tunes the service.
// Every value of both is checked.
#pragma once
#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "dunlinknot/http/socket.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::settings {

// What is wrong, with file and line where there is one; meant to be shown as it is.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Another controller.
struct Peer {
  std::string node;
  std::string zone;
  http::Endpoint address;
};

// A team that submits jobs. Between its guarantee and its limit it borrows what is not in use and
// must return it. 0: none.
struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // limit
};

// What the service is measured by.
struct Objective {
  std::string kind;
  std::string job_class;  // empty: all
  Seconds within{0};
  double share = 0;
  double times = 1;
};

// What the key-value store accepts.
struct StoreLimits {
  double rps = 0;          // requests a second
  double write_rps = 0;    // puts and deletes a second
  size_t value_bytes = 0;  // of one value, in JSON
  size_t txn_ops = 0;      // puts and deletes of a transaction
};

// The platform's settings.
struct Platform {
  std::string node;         // the name of this controller
  std::string zone;         // where it runs
  http::Endpoint listen;    // for users, workers and the load balancer
  http::Endpoint back;      // for the other controllers
  std::vector<Peer> peers;  // the other controllers
  http::Endpoint cloud;
  http::Endpoint key_value_store;
  uint32_t nodes = 1;              // controllers, this one included
  std::vector<std::string> zones;  // where machines may be launched
  Millis skew{0};                  // how far the time of day may be off
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  Seconds heartbeat_interval{0};  // between two heartbeats of a worker
  Seconds lease{0};               // a worker kills its tasks when not answered for this long
  Seconds gang_wait{0};           // after which a gang's task that waits for the others exits
  Seconds gang_peer{0};           // in which a gang's tasks notice that one of them is gone
  Seconds cancel{0};              // in which a job's tasks must have ended once its user was told

  StoreLimits store_limits;
  // The limits that the store will have from some unannounced moment on.
  std::optional<StoreLimits> next_store_limits;
  // The lower one of the present and the coming limit.
  double lowest_store_write_rps() const {
    const double present = store_limits.write_rps;
    return next_store_limits ? std::min(present, next_store_limits->write_rps) : present;
  }
  double cloud_rps = 0;  // requests a second that the cloud accepts
  Seconds list_lag{0};   // of the cloud's list; at times up to twice as long

  // The quota of this process.
  double cpu_share = 0;  // of a core
  double memory_mb = 0;
  uint32_t max_connections = 0;  // both ways
};

// The operators' own settings, each with its default. docs/operations.md describes them.
struct Operator {
  Seconds leader_ttl{3.0};        // leadership/ttl
  uint32_t max_submissions = 64;  // api/max-submissions
  uint32_t max_polls = 128;       // api/max-polls
  uint32_t final_cache = 4000;    // api/final-cache
  Seconds idle_return{10};        // fleet/idle-return
  double boot_patience = 4.0;     // fleet/boot-patience, times the type's boot time
  Seconds lost_return{20};        // fleet/lost-return
  Seconds refusal_pause{15};      // fleet/refusal-pause
  uint32_t max_machines = 20000;  // fleet/max-machines
  uint32_t faults_to_drain = 3;   // fleet/faults-to-drain
  Seconds cycle_pause{0.1};       // scheduler/round-pause
  Seconds backoff_first{5};       // scheduler/backoff-first
  Seconds backoff_most{120};      // scheduler/backoff-most
  uint32_t failing_machines = 3;  // scheduler/failing-machines
  bool roles = false;             // duties/on
  Seconds roles_ttl{4};           // duties/ttl
  Seconds roles_renew{1};         // duties/renew-every
};

// Both throw Error when the file cannot be read or a value is impossible.
Platform load_platform(const std::string& path);
Operator load_operator(const std::string& path);

}  // namespace dunlinknot::settings
