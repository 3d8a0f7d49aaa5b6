// Reads and validates the platform's settings file.
#include <cmath>
#include <string>
#include <utility>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/settings/toml_reader.hpp"

namespace dunlinknot::settings {

namespace {

// Upper bound of amounts and rates that have no bound of their own.
constexpr double kMaxNumber = 1e9;
constexpr double kMaxDurationS = 86'400;  // a day

double optional_number(const TomlReader& reader, const toml::table& table, const char* key,
                       const std::string& prefix, double fallback) {
  return table.contains(key) ? reader.number(table, key, prefix + key, 0, kMaxNumber) : fallback;
}

Seconds duration(const TomlReader& reader, const toml::table& table, const char* key,
                 const std::string& prefix, double min) {
  return Seconds(reader.number(table, key, prefix + key, min, kMaxDurationS));
}

void read_addresses(const TomlReader& reader, Platform& platform) {
  const toml::table& root = reader.root();
  platform.node = reader.text(root, "node", "node");
  platform.zone = reader.text(root, "zone", "zone");
  platform.listen = reader.endpoint(root, "listen", "listen");
  platform.peer_listen = reader.endpoint(root, "back", "back");
  reader.for_each_table(root, "seeds", "seeds",
                        [&](const toml::table& table, const std::string& prefix) {
                          Peer peer;
                          peer.node = reader.text(table, "node", prefix + "node");
                          peer.zone = reader.text(table, "zone", prefix + "zone");
                          peer.address = reader.endpoint(table, "addr", prefix + "addr");
                          if (peer.node != platform.node) platform.peers.push_back(std::move(peer));
                        });
  const toml::table& services = reader.table(root, "services", "services");
  platform.cloud = reader.endpoint(services, "cloud", "services.cloud");
  platform.key_value_store = reader.endpoint(services, "state", "services.state");
}

void read_zones(const TomlReader& reader, const toml::table& params, Platform& platform) {
  const toml::node& zones = reader.required(params, "zones", "params.zones");
  if (!zones.is_array() || zones.as_array()->empty()) {
    reader.fail("params.zones", "must be a non-empty array of zone names", &zones);
  }
  for (const toml::node& zone : *zones.as_array()) {
    const auto name = zone.value_exact<std::string>();
    if (!name) reader.fail("params.zones", "must be an array of zone names", &zone);
    platform.zones.push_back(*name);
  }
}

Team read_team(const TomlReader& reader, const toml::table& table, const std::string& prefix) {
  Team team;
  team.name = reader.text(table, "name", prefix + "name");
  team.cpus = optional_number(reader, table, "cpus", prefix, 0);
  team.cpus_max = optional_number(reader, table, "cpus_max", prefix, 0);
  team.gpus = optional_number(reader, table, "gpus", prefix, 0);
  team.gpus_max = optional_number(reader, table, "gpus_max", prefix, 0);
  if (team.cpus_max > 0 && team.cpus > team.cpus_max)
    reader.fail(prefix + "cpus", "must not exceed cpus_max", &table);
  if (team.gpus_max > 0 && team.gpus > team.gpus_max)
    reader.fail(prefix + "gpus", "must not exceed gpus_max", &table);
  return team;
}

void read_teams(const TomlReader& reader, const toml::table& params, Platform& platform) {
  reader.for_each_table(params, "teams", "params.teams",
                        [&](const toml::table& table, const std::string& prefix) {
                          Team team = read_team(reader, table, prefix);
                          for (const Team& other : platform.teams) {
                            if (other.name == team.name)
                              reader.fail(prefix + "name", "duplicate team name", &table);
                          }
                          platform.teams.push_back(std::move(team));
                        });
  if (platform.teams.empty()) reader.fail("params.teams", "is missing");
}

Objective read_objective(const TomlReader& reader, const toml::table& table,
                         const std::string& prefix) {
  Objective objective;
  objective.kind = reader.text(table, "kind", prefix + "kind");
  if (table.contains("class")) objective.job_class = reader.text(table, "class", prefix + "class");
  objective.time_limit = Seconds(optional_number(reader, table, "within_s", prefix, 0));
  objective.share = optional_number(reader, table, "share", prefix, 0);
  objective.deadline_factor = optional_number(reader, table, "times", prefix, 1);
  return objective;
}

void read_workers(const TomlReader& reader, const toml::table& params, Platform& platform) {
  const toml::table& workers = reader.table(params, "workers", "params.workers");
  const std::string prefix = "params.workers.";
  platform.heartbeat_interval = duration(reader, workers, "report_s", prefix, 0.01);
  platform.worker_lease = duration(reader, workers, "lease_s", prefix, 0.1);
  platform.gang_wait = duration(reader, workers, "gang_wait_s", prefix, 0);
  platform.gang_failure_detection_time = duration(reader, workers, "gang_peer_s", prefix, 0);
  platform.cancel_timeout = duration(reader, workers, "cancel_s", prefix, 0.1);
  if (platform.worker_lease <= platform.heartbeat_interval)
    reader.fail("params.workers.lease_s", "must be greater than params.workers.report_s");
}

constexpr double kBytesPerKb = 1024;
constexpr double kMinTxnOps = 3;

StoreLimits read_store_limits(const TomlReader& reader, const toml::table& state) {
  constexpr double kMinValueKb = 6;
  StoreLimits limits;
  limits.rps = reader.number(state, "rps", "params.state.rps", 1, kMaxNumber);
  limits.write_rps = reader.number(state, "write_rps", "params.state.write_rps", 1, kMaxNumber);
  limits.value_bytes = static_cast<size_t>(
      reader.number(state, "value_kb", "params.state.value_kb", kMinValueKb, 1e6) * kBytesPerKb);
  limits.txn_ops =
      static_cast<size_t>(reader.number(state, "txn_ops", "params.state.txn_ops", kMinTxnOps, 1e6));
  return limits;
}

// A limit that `next` does not contain keeps its current value.
StoreLimits read_next_store_limits(const TomlReader& reader, const toml::table& next,
                                   const StoreLimits& present) {
  // Enough for a machine record with a few jobs and for a job record with the longest names.
  constexpr double kMinValueKb = 2;
  const auto number = [&](const char* key, double min, double fallback) {
    const std::string name = std::string("params.state.next.") + key;
    return next.contains(key) ? reader.number(next, key, name, min, kMaxNumber) : fallback;
  };
  StoreLimits limits;
  limits.rps = number("rps", 1, present.rps);
  limits.write_rps = number("write_rps", 1, present.write_rps);
  const double present_kb = static_cast<double>(present.value_bytes) / kBytesPerKb;
  limits.value_bytes =
      static_cast<size_t>(number("value_kb", kMinValueKb, present_kb) * kBytesPerKb);
  limits.txn_ops =
      static_cast<size_t>(number("txn_ops", kMinTxnOps, static_cast<double>(present.txn_ops)));
  return limits;
}

void read_store(const TomlReader& reader, const toml::table& params, Platform& platform) {
  const toml::table& state = reader.table(params, "state", "params.state");
  platform.store_limits = read_store_limits(reader, state);
  if (state.contains("next")) {
    const toml::table& next = reader.table(state, "next", "params.state.next");
    platform.next_store_limits = read_next_store_limits(reader, next, platform.store_limits);
  }
}

// The request limits of the cloud and the quota of this process.
void read_limits(const TomlReader& reader, const toml::table& params, Platform& platform) {
  const toml::table& cloud = reader.table(params, "cloud", "params.cloud");
  platform.cloud_rps = reader.number(cloud, "rps", "params.cloud.rps", 0.01, kMaxNumber);
  platform.list_lag = duration(reader, cloud, "list_lag_s", "params.cloud.", 0);

  const toml::table& quota = reader.table(params, "quota", "params.quota");
  platform.cpu_share = reader.number(quota, "cpu", "params.quota.cpu", 0.001, 1000);
  platform.memory_mb = reader.number(quota, "memory_mb", "params.quota.memory_mb", 16, kMaxNumber);
  platform.max_connections = static_cast<uint32_t>(
      reader.number(quota, "max_connections", "params.quota.max_connections", 32, kMaxNumber));
}

}  // namespace

Platform load_platform(const std::string& path) {
  const TomlReader reader(path);
  Platform platform;
  read_addresses(reader, platform);
  const toml::table& params = reader.table(reader.root(), "params", "params");
  platform.nodes = static_cast<uint32_t>(reader.number(params, "nodes", "params.nodes", 1, 1000));
  read_zones(reader, params, platform);
  if (params.contains("skew_ms")) {
    const double skew_ms = reader.number(params, "skew_ms", "params.skew_ms", 0, 3.6e6);
    platform.skew = Millis(static_cast<int64_t>(std::ceil(skew_ms)));
  }
  read_teams(reader, params, platform);
  reader.for_each_table(params, "objectives", "params.objectives",
                        [&](const toml::table& table, const std::string& prefix) {
                          platform.objectives.push_back(read_objective(reader, table, prefix));
                        });
  read_workers(reader, params, platform);
  read_store(reader, params, platform);
  read_limits(reader, params, platform);
  return platform;
}

}  // namespace dunlinknot::settings
