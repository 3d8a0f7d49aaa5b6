// Reads the platform's settings file.
#include <cmath>
#include <string>
#include <utility>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/settings/toml_reader.hpp"

namespace dunlinknot::settings {

namespace {

// Amounts and rates without a bound of their own.
constexpr double kMaxNumber = 1e9;
constexpr double kMaxDurationS = 86'400;  // a day

double optional_number(const TomlReader& in, const toml::table& table, const char* key,
                       const std::string& at, double fallback) {
  return table.contains(key) ? in.number(table, key, at + key, 0, kMaxNumber) : fallback;
}

Seconds duration(const TomlReader& in, const toml::table& table, const char* key,
                 const std::string& at, double least) {
  return Seconds(in.number(table, key, at + key, least, kMaxDurationS));
}

void read_addresses(const TomlReader& in, Platform& platform) {
  const toml::table& root = in.root();
  platform.node = in.text(root, "node", "node");
  platform.zone = in.text(root, "zone", "zone");
  platform.listen = in.endpoint(root, "listen", "listen");
  platform.back = in.endpoint(root, "back", "back");
  in.each(root, "seeds", "seeds", [&](const toml::table& table, const std::string& at) {
    Peer peer;
    peer.node = in.text(table, "node", at + "node");
    peer.zone = in.text(table, "zone", at + "zone");
    peer.address = in.endpoint(table, "addr", at + "addr");
    if (peer.node != platform.node) platform.peers.push_back(std::move(peer));
  });
  const toml::table& services = in.table(root, "services", "services");
  platform.cloud = in.endpoint(services, "cloud", "services.cloud");
  platform.key_value_store = in.endpoint(services, "state", "services.state");
}

void read_zones(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::node& zones = in.required(params, "zones", "params.zones");
  if (!zones.is_array() || zones.as_array()->empty()) {
    in.fail("params.zones", "must be a list of zone names", &zones);
  }
  for (const toml::node& zone : *zones.as_array()) {
    const auto name = zone.value_exact<std::string>();
    if (!name) in.fail("params.zones", "must be a list of zone names", &zone);
    platform.zones.push_back(*name);
  }
}

Team read_team(const TomlReader& in, const toml::table& table, const std::string& at) {
  Team team;
  team.name = in.text(table, "name", at + "name");
  team.cpus = optional_number(in, table, "cpus", at, 0);
  team.cpus_max = optional_number(in, table, "cpus_max", at, 0);
  team.gpus = optional_number(in, table, "gpus", at, 0);
  team.gpus_max = optional_number(in, table, "gpus_max", at, 0);
  if (team.cpus_max > 0 && team.cpus > team.cpus_max)
    in.fail(at + "cpus", "exceeds cpus_max", &table);
  if (team.gpus_max > 0 && team.gpus > team.gpus_max)
    in.fail(at + "gpus", "exceeds gpus_max", &table);
  return team;
}

void read_teams(const TomlReader& in, const toml::table& params, Platform& platform) {
  in.each(params, "teams", "params.teams", [&](const toml::table& table, const std::string& at) {
    Team team = read_team(in, table, at);
    for (const Team& other : platform.teams) {
      if (other.name == team.name) in.fail(at + "name", "names a team a second time", &table);
    }
    platform.teams.push_back(std::move(team));
  });
  if (platform.teams.empty()) in.fail("params.teams", "is missing");
}

Objective read_objective(const TomlReader& in, const toml::table& table, const std::string& at) {
  Objective objective;
  objective.kind = in.text(table, "kind", at + "kind");
  if (table.contains("class")) objective.job_class = in.text(table, "class", at + "class");
  objective.within = Seconds(optional_number(in, table, "within_s", at, 0));
  objective.share = optional_number(in, table, "share", at, 0);
  objective.times = optional_number(in, table, "times", at, 1);
  return objective;
}

void read_workers(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::table& workers = in.table(params, "workers", "params.workers");
  const std::string at = "params.workers.";
  platform.heartbeat_interval = duration(in, workers, "report_s", at, 0.01);
  platform.lease = duration(in, workers, "lease_s", at, 0.1);
  platform.gang_wait = duration(in, workers, "gang_wait_s", at, 0);
  platform.gang_peer = duration(in, workers, "gang_peer_s", at, 0);
  platform.cancel = duration(in, workers, "cancel_s", at, 0.1);
  if (platform.lease <= platform.heartbeat_interval)
    in.fail("params.workers.lease_s", "must be longer than report_s");
}

constexpr double kBytesPerKb = 1024;
constexpr double kLeastTxnOps = 3;

StoreLimits read_store_limits(const TomlReader& in, const toml::table& state) {
  constexpr double kLeastValueKb = 6;
  StoreLimits limits;
  limits.rps = in.number(state, "rps", "params.state.rps", 1, kMaxNumber);
  limits.write_rps = in.number(state, "write_rps", "params.state.write_rps", 1, kMaxNumber);
  limits.value_bytes = static_cast<size_t>(
      in.number(state, "value_kb", "params.state.value_kb", kLeastValueKb, 1e6) * kBytesPerKb);
  limits.txn_ops =
      static_cast<size_t>(in.number(state, "txn_ops", "params.state.txn_ops", kLeastTxnOps, 1e6));
  return limits;
}

// A limit that is not named stays as it is.
StoreLimits read_next_store_limits(const TomlReader& in, const toml::table& next,
                                   const StoreLimits& present) {
  // A machine's record has room for a few jobs, a job's for the longest names.
  constexpr double kLeastValueKb = 2;
  const auto number = [&](const char* key, double least, double fallback) {
    const std::string name = std::string("params.state.next.") + key;
    return next.contains(key) ? in.number(next, key, name, least, kMaxNumber) : fallback;
  };
  StoreLimits limits;
  limits.rps = number("rps", 1, present.rps);
  limits.write_rps = number("write_rps", 1, present.write_rps);
  const double present_kb = static_cast<double>(present.value_bytes) / kBytesPerKb;
  limits.value_bytes =
      static_cast<size_t>(number("value_kb", kLeastValueKb, present_kb) * kBytesPerKb);
  limits.txn_ops =
      static_cast<size_t>(number("txn_ops", kLeastTxnOps, static_cast<double>(present.txn_ops)));
  return limits;
}

// The limits of the key-value store.
void read_store(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::table& state = in.table(params, "state", "params.state");
  platform.store_limits = read_store_limits(in, state);
  if (state.contains("next")) {
    const toml::table& next = in.table(state, "next", "params.state.next");
    platform.next_store_limits = read_next_store_limits(in, next, platform.store_limits);
  }
}

// The limits of the cloud and of this process.
void read_limits(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::table& cloud = in.table(params, "cloud", "params.cloud");
  platform.cloud_rps = in.number(cloud, "rps", "params.cloud.rps", 0.01, kMaxNumber);
  platform.list_lag = duration(in, cloud, "list_lag_s", "params.cloud.", 0);

  const toml::table& quota = in.table(params, "quota", "params.quota");
  platform.cpu_share = in.number(quota, "cpu", "params.quota.cpu", 0.001, 1000);
  platform.memory_mb = in.number(quota, "memory_mb", "params.quota.memory_mb", 16, kMaxNumber);
  platform.max_connections = static_cast<uint32_t>(
      in.number(quota, "max_connections", "params.quota.max_connections", 32, kMaxNumber));
}

}  // namespace

Platform load_platform(const std::string& path) {
  const TomlReader in(path);
  Platform platform;
  read_addresses(in, platform);
  const toml::table& params = in.table(in.root(), "params", "params");
  platform.nodes = static_cast<uint32_t>(in.number(params, "nodes", "params.nodes", 1, 1000));
  read_zones(in, params, platform);
  if (params.contains("skew_ms")) {
    const double skew_ms = in.number(params, "skew_ms", "params.skew_ms", 0, 3.6e6);
    platform.skew = Millis(static_cast<int64_t>(std::ceil(skew_ms)));
  }
  read_teams(in, params, platform);
  in.each(params, "objectives", "params.objectives",
          [&](const toml::table& table, const std::string& at) {
            platform.objectives.push_back(read_objective(in, table, at));
          });
  read_workers(in, params, platform);
  read_store(in, params, platform);
  read_limits(in, params, platform);
  return platform;
}

}  // namespace dunlinknot::settings
