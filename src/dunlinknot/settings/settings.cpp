#include "dunlinknot/settings/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <pugixml.hpp>
#include <sstream>

namespace dunlinknot::settings {

namespace {

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw Error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Reads fields of the platform's file and names the ones that are missing or impossible.
class TomlReader {
 public:
  explicit TomlReader(const std::string& path) : path_(path) {
    const std::string text = read_file(path);
    try {
      root_ = toml::parse(text, path);
    } catch (const toml::parse_error& e) {
      throw Error(path + ":" + std::to_string(e.source().begin.line) + ": " +
                  std::string(e.description()));
    }
  }

  const toml::table& root() const { return root_; }

  [[noreturn]] void fail(const std::string& field, const std::string& what,
                         const toml::node* at = nullptr) const {
    std::string where = path_;
    if (at && at->source().begin.line > 0) where += ":" + std::to_string(at->source().begin.line);
    throw Error(where + ": " + field + ": " + what);
  }

  const toml::node& need(const toml::table& t, std::string_view key,
                         const std::string& name) const {
    const toml::node* n = t.get(key);
    if (!n) fail(name, "is missing");
    return *n;
  }

  std::string text(const toml::table& t, std::string_view key, const std::string& name) const {
    const toml::node& n = need(t, key, name);
    const auto v = n.value_exact<std::string>();
    if (!v || v->empty()) fail(name, "must be a text that is not empty", &n);
    return *v;
  }

  double number(const toml::table& t, std::string_view key, const std::string& name, double least,
                double most) const {
    const toml::node& n = need(t, key, name);
    if (!n.is_number()) fail(name, "must be a number", &n);
    const double v = n.value<double>().value_or(NAN);
    if (!std::isfinite(v) || v < least || v > most) {
      std::ostringstream range;
      range << "must be between " << least << " and " << most;
      fail(name, range.str(), &n);
    }
    return v;
  }

  http::Endpoint endpoint(const toml::table& t, std::string_view key,
                          const std::string& name) const {
    const toml::node& n = need(t, key, name);
    const auto e = http::Endpoint::parse(text(t, key, name));
    if (!e) fail(name, "must be an IPv4 address with a port, such as 10.0.0.1:8080", &n);
    return *e;
  }

  const toml::table& table(const toml::table& t, std::string_view key,
                           const std::string& name) const {
    const toml::node& n = need(t, key, name);
    if (!n.is_table()) fail(name, "must be a table", &n);
    return *n.as_table();
  }

  void each(const toml::table& t, std::string_view key, const std::string& name,
            const std::function<void(const toml::table&, const std::string&)>& f) const {
    const toml::node* n = t.get(key);
    if (!n) return;
    if (!n->is_array()) fail(name, "must be a list of tables", n);
    size_t i = 0;
    for (const toml::node& item : *n->as_array()) {
      const std::string item_name = name + "[" + std::to_string(i++) + "]";
      if (!item.is_table()) fail(item_name, "must be a table", &item);
      f(*item.as_table(), item_name + ".");
    }
  }

 private:
  std::string path_;
  toml::table root_;
};

constexpr double kMany = 1e9;

double optional_number(const TomlReader& in, const toml::table& table, const char* key,
                       const std::string& at, double fallback) {
  return table.contains(key) ? in.number(table, key, at + key, 0, kMany) : fallback;
}

Seconds duration(const TomlReader& in, const toml::table& table, const char* key,
                 const std::string& at, double least) {
  return Seconds(in.number(table, key, at + key, least, 86'400));
}

void read_addresses(const TomlReader& in, Platform& platform) {
  const toml::table& root = in.root();
  platform.node = in.text(root, "node", "node");
  platform.zone = in.text(root, "zone", "zone");
  platform.listen = in.endpoint(root, "listen", "listen");
  platform.back = in.endpoint(root, "back", "back");
  in.each(root, "seeds", "seeds", [&](const toml::table& t, const std::string& at) {
    Peer peer;
    peer.node = in.text(t, "node", at + "node");
    peer.zone = in.text(t, "zone", at + "zone");
    peer.address = in.endpoint(t, "addr", at + "addr");
    if (peer.node != platform.node) platform.peers.push_back(std::move(peer));
  });
  const toml::table& services = in.table(root, "services", "services");
  platform.cloud = in.endpoint(services, "cloud", "services.cloud");
  platform.key_value_store = in.endpoint(services, "state", "services.state");
}

void read_zones(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::node& zones = in.need(params, "zones", "params.zones");
  if (!zones.is_array() || zones.as_array()->empty()) {
    in.fail("params.zones", "must be a list of zone names", &zones);
  }
  for (const toml::node& z : *zones.as_array()) {
    const auto v = z.value_exact<std::string>();
    if (!v) in.fail("params.zones", "must be a list of zone names", &z);
    platform.zones.push_back(*v);
  }
}

Team read_team(const TomlReader& in, const toml::table& t, const std::string& at) {
  Team team;
  team.name = in.text(t, "name", at + "name");
  team.cpus = optional_number(in, t, "cpus", at, 0);
  team.cpus_max = optional_number(in, t, "cpus_max", at, 0);
  team.gpus = optional_number(in, t, "gpus", at, 0);
  team.gpus_max = optional_number(in, t, "gpus_max", at, 0);
  if (team.cpus_max > 0 && team.cpus > team.cpus_max) in.fail(at + "cpus", "exceeds cpus_max", &t);
  if (team.gpus_max > 0 && team.gpus > team.gpus_max) in.fail(at + "gpus", "exceeds gpus_max", &t);
  return team;
}

void read_teams(const TomlReader& in, const toml::table& params, Platform& platform) {
  in.each(params, "teams", "params.teams", [&](const toml::table& t, const std::string& at) {
    Team team = read_team(in, t, at);
    for (const Team& other : platform.teams) {
      if (other.name == team.name) in.fail(at + "name", "names a team a second time", &t);
    }
    platform.teams.push_back(std::move(team));
  });
  if (platform.teams.empty()) in.fail("params.teams", "is missing");
}

Objective read_objective(const TomlReader& in, const toml::table& t, const std::string& at) {
  Objective objective;
  objective.kind = in.text(t, "kind", at + "kind");
  if (t.contains("class")) objective.job_class = in.text(t, "class", at + "class");
  objective.within = Seconds(optional_number(in, t, "within_s", at, 0));
  objective.share = optional_number(in, t, "share", at, 0);
  objective.times = optional_number(in, t, "times", at, 1);
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
  limits.rps = in.number(state, "rps", "params.state.rps", 1, kMany);
  limits.write_rps = in.number(state, "write_rps", "params.state.write_rps", 1, kMany);
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
    return next.contains(key) ? in.number(next, key, name, least, kMany) : fallback;
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

// The limits of the key-value store and the cloud, and of this process.
void read_limits(const TomlReader& in, const toml::table& params, Platform& platform) {
  const toml::table& state = in.table(params, "state", "params.state");
  platform.store_limits = read_store_limits(in, state);
  if (state.contains("next")) {
    const toml::table& next = in.table(state, "next", "params.state.next");
    platform.next_store_limits = read_next_store_limits(in, next, platform.store_limits);
  }

  const toml::table& cloud = in.table(params, "cloud", "params.cloud");
  platform.cloud_rps = in.number(cloud, "rps", "params.cloud.rps", 0.01, kMany);
  platform.list_lag = duration(in, cloud, "list_lag_s", "params.cloud.", 0);

  const toml::table& quota = in.table(params, "quota", "params.quota");
  platform.cpu_share = in.number(quota, "cpu", "params.quota.cpu", 0.001, 1000);
  platform.memory_mb = in.number(quota, "memory_mb", "params.quota.memory_mb", 16, kMany);
  platform.max_connections = static_cast<uint32_t>(
      in.number(quota, "max_connections", "params.quota.max_connections", 32, kMany));
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
          [&](const toml::table& t, const std::string& at) {
            platform.objectives.push_back(read_objective(in, t, at));
          });
  read_workers(in, params, platform);
  read_limits(in, params, platform);
  return platform;
}

namespace {

struct Field {
  double least;
  double most;
  std::function<void(Operator&, double)> set;
  const char* unit;  // "" for a plain number
  bool whole;
};

Field seconds(double least, double most, Seconds Operator::*at) {
  return {least, most, [at](Operator& o, double v) { o.*at = Seconds(v); }, "s", false};
}
Field whole(double least, double most, uint32_t Operator::*at) {
  return {least, most, [at](Operator& o, double v) { o.*at = static_cast<uint32_t>(v); }, "", true};
}
Field on_or_off(bool Operator::*at) {
  return {0, 1, [at](Operator& o, double v) { o.*at = v != 0; }, "", true};
}
Field ratio(double least, double most, double Operator::*at) {
  return {least, most, [at](Operator& o, double v) { o.*at = v; }, "", false};
}

const std::map<std::string, std::map<std::string, Field>>& fields() {
  static const std::map<std::string, std::map<std::string, Field>> all = {
      {"leadership", {{"ttl", seconds(1, 30, &Operator::leader_ttl)}}},
      {"api",
       {{"max-submissions", whole(1, 10'000, &Operator::max_submissions)},
        {"max-polls", whole(1, 10'000, &Operator::max_polls)},
        {"final-cache", whole(0, 1'000'000, &Operator::final_cache)}}},
      {"fleet",
       {{"idle-return", seconds(0, 86'400, &Operator::idle_return)},
        {"boot-patience", ratio(1, 100, &Operator::boot_patience)},
        {"lost-return", seconds(0, 86'400, &Operator::lost_return)},
        {"refusal-pause", seconds(1, 3600, &Operator::refusal_pause)},
        {"max-machines", whole(1, 100'000, &Operator::max_machines)},
        {"faults-to-drain", whole(1, 1000, &Operator::faults_to_drain)}}},
      {"duties",
       {{"on", on_or_off(&Operator::roles)},
        {"ttl", seconds(1, 60, &Operator::roles_ttl)},
        {"renew-every", seconds(0.1, 20, &Operator::roles_renew)}}},
      {"scheduler",
       {{"round-pause", seconds(0.01, 10, &Operator::cycle_pause)},
        {"backoff-first", seconds(0.1, 3600, &Operator::backoff_first)},
        {"backoff-most", seconds(1, 86'400, &Operator::backoff_most)},
        {"failing-machines", whole(1, 1000, &Operator::failing_machines)}}},
  };
  return all;
}

}  // namespace

Operator load_operator(const std::string& path) {
  const std::string text = read_file(path);
  const auto line_of = [&](ptrdiff_t offset) {
    const auto end = text.begin() + std::clamp<ptrdiff_t>(offset, 0, std::ssize(text));
    return std::to_string(1 + std::count(text.begin(), end, '\n'));
  };
  pugi::xml_document doc;
  const auto parsed = doc.load_buffer(text.data(), text.size());
  if (!parsed) throw Error(path + ":" + line_of(parsed.offset) + ": " + parsed.description());
  const auto fail = [&](const pugi::xml_node& at, const std::string& what) -> void {
    throw Error(path + ":" + line_of(at.offset_debug()) + ": " + what);
  };
  const pugi::xml_node root = doc.document_element();
  if (std::string_view(root.name()) != "dunlinknot") {
    fail(root, "the outermost element must be <dunlinknot>");
  }
  Operator out;
  for (const pugi::xml_node group : root.children()) {
    if (group.type() != pugi::node_element) continue;
    const auto known = fields().find(group.name());
    if (known == fields().end()) fail(group, "unknown group <" + std::string(group.name()) + ">");
    for (const pugi::xml_node item : group.children()) {
      if (item.type() != pugi::node_element) continue;
      const std::string name = std::string(group.name()) + "/" + item.name();
      const auto field = known->second.find(item.name());
      if (field == known->second.end()) fail(item, "unknown setting " + name);
      const Field& f = field->second;
      const std::string unit = item.attribute("unit").as_string(f.unit);
      if (unit != f.unit) fail(item, name + ": the unit must be \"" + f.unit + "\"");
      std::istringstream value(item.text().as_string());
      double v = 0;
      std::string rest;
      if (!(value >> v) || (value >> rest)) fail(item, name + ": must be a number");
      if (f.whole && v != std::floor(v)) fail(item, name + ": must be a whole number");
      if (!std::isfinite(v) || v < f.least || v > f.most) {
        std::ostringstream range;
        range << name << ": must be between " << f.least << " and " << f.most;
        fail(item, range.str());
      }
      f.set(out, v);
    }
  }
  // A lease that one or two lost renewals end would change hands on a healthy cluster.
  constexpr double kLeastRenewals = 3;
  if (out.roles && out.roles_ttl < out.roles_renew * kLeastRenewals) {
    std::ostringstream what;
    what << "duties/ttl: must be at least " << kLeastRenewals << " times duties/renew-every ("
         << out.roles_renew.count() << " s)";
    fail(root.child("duties"), what.str());
  }
  return out;
}

}  // namespace dunlinknot::settings
