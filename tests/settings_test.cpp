// The two settings files: what is read, and how faults in them are named.
#include "dunlinknot/settings/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "dunlinknot/node/connection_limit.hpp"
#include "site.hpp"

namespace dunlinknot::settings {
namespace {

class File {
 public:
  explicit File(const std::string& text) {
    static int count = 0;
    path_ = testing::TempDir() + "dunlinknot-" + std::to_string(::getpid()) + "-" +
            std::to_string(count++);
    std::ofstream(path_) << text;
  }
  ~File() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

const std::string kGood = R"(node = "dunlin-0"
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

std::string problem(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  const File file(text);
  try {
    (void)load_platform(file.path());
  } catch (const Error& error) {
    return std::string(error.what()).substr(file.path().size());
  }
  return "";
}

TEST(PlatformFile, IsReadAndUnknownFieldsAreIgnored) {
  const File file(kGood);
  const Platform platform = load_platform(file.path());
  EXPECT_EQ(platform.peers.size(), 1u);
  EXPECT_EQ(platform.lease, Seconds(14));
  EXPECT_EQ(platform.teams[0].cpus_max, 16);
  EXPECT_EQ(platform.store_limits.value_bytes, 8192u);
  EXPECT_FALSE(platform.next_store_limits);
}

TEST(PlatformFile, TheStateServicesNextLimitsAreOptionalAndChecked) {
  const std::string at = "[params.cloud]";
  const auto with = [&](const std::string& next) {
    std::string text = kGood;
    text.insert(text.find(at), "[params.state.next]\n" + next);
    return text;
  };
  const File file(with("value_kb = 2.0\ntxn_ops = 5\nlater = 1\n"));
  const Platform platform = load_platform(file.path());
  ASSERT_TRUE(platform.next_store_limits);
  EXPECT_EQ(platform.next_store_limits->value_bytes, 2048u);
  EXPECT_EQ(platform.next_store_limits->txn_ops, 5u);
  EXPECT_EQ(platform.next_store_limits->write_rps, 80) << "what is not named stays as it is";
  EXPECT_EQ(platform.next_store_limits->rps, 200);
  EXPECT_EQ(platform.lowest_store_write_rps(), 80);
  EXPECT_NE(problem(kGood, at, "[params.state.next]\ntxn_ops = 2\n" + at)
                .find("params.state.next.txn_ops: must be between 3"),
            std::string::npos);
  EXPECT_NE(problem(kGood, at, "[params.state.next]\nvalue_kb = 1\n" + at)
                .find("params.state.next.value_kb"),
            std::string::npos);
  EXPECT_NE(problem(kGood, "txn_ops = 16", "txn_ops = 16\nnext = 3").find("must be a table"),
            std::string::npos);
}

TEST(PlatformFile, ProblemsAreNamedWithTheirLine) {
  EXPECT_EQ(problem(kGood, "listen = \"10.0.0.1:8080\"\n", ""), ": listen: is missing");
  EXPECT_EQ(problem(kGood, "10.0.0.1:8080", "host:8080"),
            ":3: listen: must be an IPv4 address with a port, such as 10.0.0.1:8080");
  EXPECT_EQ(problem(kGood, "lease_s = 14", "lease_s = \"14\""),
            ":23: params.workers.lease_s: must be a number");
  EXPECT_EQ(problem(kGood, "lease_s = 14", "lease_s = 2"),
            ": params.workers.lease_s: must be longer than report_s");
  EXPECT_NE(problem(kGood, "rps = 200.0", "rps = -1").find("params.state.rps"), std::string::npos);
  EXPECT_NE(problem(kGood, "cpus = 8", "cpus = 80").find("exceeds cpus_max"), std::string::npos);
  EXPECT_NE(problem(kGood, "node = \"dunlin-0\"", "node = ").find(":1: "), std::string::npos);
}

std::string operator_problem(const std::string& text) {
  const File file(text);
  try {
    (void)load_operator(file.path());
  } catch (const Error& error) {
    return std::string(error.what()).substr(file.path().size());
  }
  return "";
}

TEST(Sockets, WorkersUsersAndOurOwnCallsEachHaveRoom) {
  // Three quarters for the server left a leader of a large cluster a hundred sockets for its users.
  settings::Platform settings = test::Site::platform(0, 3);
  const settings::Operator operator_settings;
  settings.max_connections = 4000;
  const size_t large = node::max_server_connections(settings, operator_settings);
  EXPECT_GT(large, 3600u);
  EXPECT_GE(settings.max_connections - large, operator_settings.max_submissions +
                                                  operator_settings.max_polls +
                                                  2 * settings.peers.size() + 20);
  settings.max_connections = 800;
  EXPECT_EQ(node::max_server_connections(settings, operator_settings), 600u);
  settings.max_connections = 32;
  EXPECT_EQ(node::max_server_connections(settings, operator_settings), 24u);
}

TEST(OperatorFile, IsReadAndEveryValueChecked) {
  const File file(
      "<dunlinknot>\n<fleet>\n<idle-return unit=\"s\">12.5</idle-return>\n</fleet>\n"
      "<!-- a note --><api><max-polls>9</max-polls></api></dunlinknot>\n");
  const Operator operator_settings = load_operator(file.path());
  EXPECT_EQ(operator_settings.idle_return, Seconds(12.5));
  EXPECT_EQ(operator_settings.max_polls, 9u);
  EXPECT_EQ(operator_problem("<dunlinknot>\n<fleet>\n<idle>3</idle></fleet></dunlinknot>"),
            ":3: unknown setting fleet/idle");
  EXPECT_EQ(operator_problem("<dunlinknot>\n<flee/></dunlinknot>"), ":2: unknown group <flee>");
  EXPECT_EQ(operator_problem("<dunlinknot><api>\n<max-polls>2.5</max-polls></api></dunlinknot>"),
            ":2: api/max-polls: must be a whole number");
  EXPECT_EQ(operator_problem("<dunlinknot><api><max-polls>x</max-polls></api></dunlinknot>"),
            ":1: api/max-polls: must be a number");
  EXPECT_EQ(operator_problem("<dunlinknot><api><max-polls>0</max-polls></api></dunlinknot>"),
            ":1: api/max-polls: must be between 1 and 10000");
  EXPECT_EQ(operator_problem(
                "<dunlinknot><fleet><idle-return unit=\"ms\">1</idle-return></fleet></dunlinknot>"),
            ":1: fleet/idle-return: the unit must be \"s\"");
  EXPECT_NE(operator_problem("<dunlinknot>\n<fleet>\n</dunlinknot>").find(":3: "),
            std::string::npos);
}

TEST(OperatorFile, ALeaseOfTheRolesLastsSeveralRenewals) {
  const auto roles = [](const std::string& on, const std::string& ttl, const std::string& renew) {
    return "<dunlinknot>\n<duties><on>" + on + "</on><ttl>" + ttl + "</ttl><renew-every>" + renew +
           "</renew-every></duties></dunlinknot>";
  };
  const File file(roles("1", "3", "1"));
  const Operator operator_settings = load_operator(file.path());
  EXPECT_TRUE(operator_settings.roles);
  EXPECT_EQ(operator_settings.roles_ttl, Seconds(3));
  EXPECT_EQ(operator_problem(roles("1", "2.9", "1")),
            ":2: duties/ttl: must be at least 3 times duties/renew-every (1 s)");
  EXPECT_EQ(operator_problem(roles("0", "2.9", "1")), "") << "they are off";
  EXPECT_EQ(operator_problem(roles("2", "3", "1")), ":2: duties/on: must be between 0 and 1");
  EXPECT_EQ(operator_problem("<dunlinknot><duties><lease>3</lease></duties></dunlinknot>"),
            ":1: unknown setting duties/lease");
}

}  // namespace
}  // namespace dunlinknot::settings
