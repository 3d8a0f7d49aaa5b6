// Reading and validation of the two settings files, and the texts of their errors.
#include "dunlinknot/settings/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "dunlinknot/node/connection_limit.hpp"
#include "site.hpp"

namespace dunlinknot::settings {
namespace {

// A file with the given text, deleted in the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    static int count = 0;
    path_ = testing::TempDir() + "dunlinknot-" + std::to_string(::getpid()) + "-" +
            std::to_string(count++);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

const std::string kValidFile = R"(node = "dunlin-0"
zone = "a"
listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unknown_field = 3
[[seeds]]
node = "dunlin-1"
zone = "b"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
nodes = 2
zones = ["a", "b"]
skew_ms = 5.0
[[params.teams]]
name = "red"
cpus = 8
cpus_max = 16.0
[params.workers]
report_s = 2.5
lease_s = 14
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 39.0
[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 4.0
list_lag_s = 10.0
[params.quota]
cpu = 0.2
memory_mb = 104.0
max_connections = 1800
)";

// The error, without the path, of the valid file after replacing `from` by `to`; empty if none.
std::string platform_error(std::string text, const std::string& from, const std::string& to) {
  const auto position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  text.replace(position, from.size(), to);
  const TemporaryFile file(text);
  try {
    (void)load_platform(file.path());
  } catch (const Error& error) {
    return std::string(error.what()).substr(file.path().size());
  }
  return "";
}

TEST(PlatformFile, ReadsValuesAndIgnoresUnknownFields) {
  const TemporaryFile file(kValidFile);
  const Platform platform = load_platform(file.path());
  EXPECT_EQ(platform.peers.size(), 1u);
  EXPECT_EQ(platform.worker_lease, Seconds(14));
  EXPECT_EQ(platform.teams[0].cpus_max, 16);
  EXPECT_EQ(platform.store_limits.value_bytes, 8192u);
  EXPECT_FALSE(platform.next_store_limits);
}

TEST(PlatformFile, NextStoreLimitsAreOptionalAndValidated) {
  const std::string next_section = "[params.cloud]";
  const auto with_next = [&](const std::string& next) {
    std::string text = kValidFile;
    text.insert(text.find(next_section), "[params.state.next]\n" + next);
    return text;
  };
  const TemporaryFile file(with_next("value_kb = 2.0\ntxn_ops = 5\nlater = 1\n"));
  const Platform platform = load_platform(file.path());
  ASSERT_TRUE(platform.next_store_limits);
  EXPECT_EQ(platform.next_store_limits->value_bytes, 2048u);
  EXPECT_EQ(platform.next_store_limits->txn_ops, 5u);
  EXPECT_EQ(platform.next_store_limits->write_rps, 80)
      << "a limit that is not given keeps its present value";
  EXPECT_EQ(platform.next_store_limits->rps, 200);
  EXPECT_EQ(platform.lowest_store_write_rps(), 80);
  EXPECT_NE(
      platform_error(kValidFile, next_section, "[params.state.next]\ntxn_ops = 2\n" + next_section)
          .find("params.state.next.txn_ops: must be between 3"),
      std::string::npos);
  EXPECT_NE(
      platform_error(kValidFile, next_section, "[params.state.next]\nvalue_kb = 1\n" + next_section)
          .find("params.state.next.value_kb"),
      std::string::npos);
  EXPECT_NE(
      platform_error(kValidFile, "txn_ops = 16", "txn_ops = 16\nnext = 3").find("must be a table"),
      std::string::npos);
}

TEST(PlatformFile, ErrorsStateFieldAndLine) {
  EXPECT_EQ(platform_error(kValidFile, "listen = \"10.0.0.1:8080\"\n", ""), ": listen: is missing");
  EXPECT_EQ(platform_error(kValidFile, "10.0.0.1:8080", "host:8080"),
            ":3: listen: must be an IPv4 address with a port, such as 10.0.0.1:8080");
  EXPECT_EQ(platform_error(kValidFile, "lease_s = 14", "lease_s = \"14\""),
            ":23: params.workers.lease_s: must be a number");
  EXPECT_EQ(platform_error(kValidFile, "lease_s = 14", "lease_s = 2"),
            ": params.workers.lease_s: must be greater than params.workers.report_s");
  EXPECT_NE(platform_error(kValidFile, "rps = 200.0", "rps = -1").find("params.state.rps"),
            std::string::npos);
  EXPECT_NE(platform_error(kValidFile, "cpus = 8", "cpus = 80").find("must not exceed cpus_max"),
            std::string::npos);
  EXPECT_NE(platform_error(kValidFile, "node = \"dunlin-0\"", "node = ").find(":1: "),
            std::string::npos);
}

// The error, without the path, of a file with this text; empty if none.
std::string operator_error(const std::string& text) {
  const TemporaryFile file(text);
  try {
    (void)load_operator(file.path());
  } catch (const Error& error) {
    return std::string(error.what()).substr(file.path().size());
  }
  return "";
}

TEST(ConnectionLimit, ServerLimitLeavesConnectionsForOwnCalls) {
  // Guards against a server limit of three quarters of all connections: with it, the leader of a
  // large cluster had only a hundred connections left for users.
  settings::Platform settings = test::Site::platform(0, 3);
  const settings::Operator operator_settings;
  settings.max_connections = 4000;
  const size_t server_limit = node::max_server_connections(settings, operator_settings);
  EXPECT_GT(server_limit, 3600u);
  EXPECT_GE(settings.max_connections - server_limit, operator_settings.max_submissions +
                                                         operator_settings.max_polls +
                                                         2 * settings.peers.size() + 20);
  settings.max_connections = 800;
  EXPECT_EQ(node::max_server_connections(settings, operator_settings), 600u);
  settings.max_connections = 32;
  EXPECT_EQ(node::max_server_connections(settings, operator_settings), 24u);
}

TEST(OperatorFile, ValuesAreReadAndValidated) {
  const TemporaryFile file(
      "<dunlinknot>\n<fleet>\n<idle-return unit=\"s\">12.5</idle-return>\n</fleet>\n"
      "<!-- a note --><api><max-polls>9</max-polls></api></dunlinknot>\n");
  const Operator operator_settings = load_operator(file.path());
  EXPECT_EQ(operator_settings.idle_return, Seconds(12.5));
  EXPECT_EQ(operator_settings.max_polls, 9u);
  EXPECT_EQ(operator_error("<dunlinknot>\n<fleet>\n<idle>3</idle></fleet></dunlinknot>"),
            ":3: unknown setting fleet/idle");
  EXPECT_EQ(operator_error("<dunlinknot>\n<flee/></dunlinknot>"), ":2: unknown group <flee>");
  EXPECT_EQ(operator_error("<dunlinknot><api>\n<max-polls>2.5</max-polls></api></dunlinknot>"),
            ":2: api/max-polls: must be a whole number");
  EXPECT_EQ(operator_error("<dunlinknot><api><max-polls>x</max-polls></api></dunlinknot>"),
            ":1: api/max-polls: must be a number");
  EXPECT_EQ(operator_error("<dunlinknot><api><max-polls>0</max-polls></api></dunlinknot>"),
            ":1: api/max-polls: must be between 1 and 10000");
  EXPECT_EQ(operator_error(
                "<dunlinknot><fleet><idle-return unit=\"ms\">1</idle-return></fleet></dunlinknot>"),
            ":1: fleet/idle-return: the unit must be \"s\"");
  EXPECT_NE(operator_error("<dunlinknot>\n<fleet>\n</dunlinknot>").find(":3: "), std::string::npos);
}

TEST(OperatorFile, RolesTtlMustBeAtLeastThreeRenewalIntervals) {
  const auto roles = [](const std::string& on, const std::string& ttl, const std::string& renew) {
    return "<dunlinknot>\n<duties><on>" + on + "</on><ttl>" + ttl + "</ttl><renew-every>" + renew +
           "</renew-every></duties></dunlinknot>";
  };
  const TemporaryFile file(roles("1", "3", "1"));
  const Operator operator_settings = load_operator(file.path());
  EXPECT_TRUE(operator_settings.roles);
  EXPECT_EQ(operator_settings.roles_ttl, Seconds(3));
  EXPECT_EQ(operator_error(roles("1", "2.9", "1")),
            ":2: duties/ttl: must be at least 3 times duties/renew-every (1 s)");
  EXPECT_EQ(operator_error(roles("0", "2.9", "1")), "")
      << "the ttl is not checked while the roles are disabled";
  EXPECT_EQ(operator_error(roles("2", "3", "1")), ":2: duties/on: must be between 0 and 1");
  EXPECT_EQ(operator_error("<dunlinknot><duties><lease>3</lease></duties></dunlinknot>"),
            ":1: unknown setting duties/lease");
}

}  // namespace
}  // namespace dunlinknot::settings
