// Two files: the platform's (TOML), which says who we are and what the limits are, and the
// operators' own (XML, optional), which tunes the service. Every value of both is checked.
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

struct Peer {
  std::string node;
  std::string zone;
  http::Endpoint address;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0;  // guaranteed and at most; 0: none
  double gpus = 0, gpus_max = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;
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

struct Platform {
  std::string node;
  std::string zone;
  http::Endpoint listen;
  http::Endpoint back;
  std::vector<Peer> peers;
  http::Endpoint cloud;
  http::Endpoint key_value_store;
  uint32_t nodes = 1;
  std::vector<std::string> zones;
  Millis skew{0};
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  Seconds heartbeat_interval{0};
  Seconds lease{0};
  Seconds gang_wait{0};
  Seconds gang_peer{0};
  Seconds cancel{0};

  StoreLimits store_limits;
  // The limits that the service will have from some moment on, which nobody announces.
  std::optional<StoreLimits> next_store_limits;
  double lowest_store_write_rps() const {
    const double present = store_limits.write_rps;
    return next_store_limits ? std::min(present, next_store_limits->write_rps) : present;
  }
  double cloud_rps = 0;
  Seconds list_lag{0};

  double cpu_share = 0;
  double memory_mb = 0;
  uint32_t max_connections = 0;
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

Platform load_platform(const std::string& path);
Operator load_operator(const std::string& path);

}  // namespace dunlinknot::settings
