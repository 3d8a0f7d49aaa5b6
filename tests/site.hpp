// A whole scripted site: controllers, workers, key-value store, cloud and users on one fake clock.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "dunlinknot/node/daemon.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/records.hpp"
#include "rules.hpp"
#include "scripted_cloud.hpp"
#include "scripted_store.hpp"
#include "scripted_worker.hpp"

namespace dunlinknot::test {

// Everything together: any number of controllers over one key-value store and one cloud.
class Site : public World {
 public:
  explicit Site(size_t controllers = 1);
  ~Site() { loop.abandon(); }

  // One process of one controller. A crashed one stays in memory, but nothing goes in or out of it.
  struct Node : http::Transport {
    Node(Site& site, size_t index);
    Task<http::Reply> exchange(http::Call call) override;
    Task<http::Reply> deliver(http::Call call);
    Site& site;
    settings::Platform platform;
    std::unique_ptr<node::Daemon> daemon;
    bool crashed = false;
    bool cut_from_store = false;
    bool refused_by_store = false;  // 503, while others may be served
    bool cut_from_peers = false;
    bool cut_from_cloud = false;
    // Stands still: what it is about to send goes out when it goes on, without another look.
    bool paused = false;
  };
  void crash(size_t i) { nodes[i]->crashed = true; }
  void restart(size_t i);
  Task<http::Response> handle(size_t i, http::Request request);

  static settings::Platform platform(size_t index, size_t count);
  node::Daemon& daemon(size_t i) { return *nodes[i]->daemon; }
  std::optional<size_t> leader() const;
  void add_worker(const ScriptedCloud::Machine& machine);
  // One user's request, watched by the rules.
  Task<http::Response> request(size_t node, std::string method, std::string target,
                               std::string body = "");
  http::Response ask(size_t node, std::string method, std::string target, std::string body = "");
  http::Response cancel(const std::string& id, size_t node = 0) {
    return ask(node, "POST", "/v1/jobs/" + id + "/withdraw");
  }
  http::Response submit(const JobSpec& spec, size_t node = 0);
  std::string job_state(const std::string& id, size_t node = 0);
  // How many machines the task is on at this moment.
  size_t copies(const TaskRef& task) const;

  settings::Operator operator_settings;
  // Applied to the platform's settings of every process that starts from now on.
  std::function<void(settings::Platform&)> adjust_platform;
  const settings::Platform rules_platform = platform(0, 3);
  RuleChecker rules{clock, rules_platform};
  ScriptedStore store{loop};
  ScriptedCloud cloud{loop};
  std::map<std::string, JobSpec> specs;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Node>> graveyard;
  std::set<std::pair<size_t, std::string>>
      blocked_links;  // node and machine that do not reach one another
  std::map<std::string, std::unique_ptr<ScriptedWorker>> workers;
  size_t duplicate_starts = 0;
  size_t starts = 0;
  std::function<void(ScriptedWorker&)> on_worker;  // each new one
  // Each call of a controller, as it is about to be sent.
  std::function<void(Node&, const http::Call&)> on_send;
  // What passes between the peers and a controller; for measuring what its encoding costs.
  std::function<http::Request(http::Request)> on_request;
  std::function<void(const http::Response&)> on_response;

 private:
  Task<void> scan_rules();
  Task<void> exchange_statuses();
};

JobSpec job(const std::string& id, uint32_t tasks = 1);
// A transaction that has to do with this key.
bool is_transaction_on(const http::Call& call, std::string_view key);
// Fails the test that calls it with every rule that was broken in the scenario so far.
void expect_no_violations(const Site& site);

}  // namespace dunlinknot::test
