// A complete scripted deployment: controllers, workers, key-value store, cloud and users on one
// fake clock.
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

// Any number of controllers with one key-value store and one cloud. The rule checker watches every
// start, end and answer to a user.
class Site : public Simulation {
 public:
  explicit Site(size_t controllers = 1);
  ~Site() { loop.destroy_coroutines(); }

  // One process of one controller. A crashed process stays in memory, but sends and receives
  // nothing.
  struct Node : http::Transport {
    Node(Site& owner, size_t index);
    Task<http::Reply> exchange(http::Call call) override;
    Task<http::Reply> deliver(http::Call call);
    Site& site;
    settings::Platform platform;
    std::unique_ptr<node::Daemon> daemon;
    bool crashed = false;
    bool cut_from_store = false;
    bool refused_by_store = false;  // answered 503, while other nodes may be served
    bool cut_from_peers = false;
    bool cut_from_cloud = false;
    // Suspended process: a request that it is about to send is sent when it resumes, without a new
    // check of leases or deadlines.
    bool paused = false;
  };
  void crash(size_t node) { nodes[node]->crashed = true; }
  // Crashes the node's process and starts a new one.
  void restart(size_t node);
  // Delivers a request to a node. The status is 0 if the node is crashed or paused.
  Task<http::Response> handle(size_t node, http::Request request);

  // The platform's settings of one of `count` controllers.
  static settings::Platform platform(size_t index, size_t count);
  node::Daemon& daemon(size_t node) { return *nodes[node]->daemon; }
  std::optional<size_t> leader() const;
  // Starts the worker of a machine: it boots for 2 s and then sends heartbeats every 1.5 s.
  void add_worker(const ScriptedCloud::Machine& machine);
  // A user's request; the rule checker sees the request and its answer.
  Task<http::Response> request(size_t node, std::string method, std::string target,
                               std::string body = "");
  // The same, run until the response has arrived.
  http::Response request_and_wait(size_t node, std::string method, std::string target,
                                  std::string body = "");
  http::Response cancel(const std::string& id, size_t node = 0) {
    return request_and_wait(node, "POST", "/v1/jobs/" + id + "/withdraw");
  }
  http::Response submit(const JobSpec& spec, size_t node = 0);
  // The job's state as the node reports it, or the status code of an answer other than 200.
  std::string job_state(const std::string& id, size_t node = 0);
  // The number of machines on which the task has started and not yet exited.
  size_t copies(const TaskRef& task) const;

  settings::Operator operator_settings;
  // Applied to the platform's settings of every process that is started after it is set.
  std::function<void(settings::Platform&)> adjust_platform;
  const settings::Platform rules_platform = platform(0, 3);
  RuleChecker rules{clock, rules_platform};
  ScriptedStore store{loop, rules_platform.store_limits};
  ScriptedCloud cloud{loop};
  std::map<std::string, JobSpec> specs;  // of all submitted jobs
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Node>> former_processes;  // replaced by restart()
  // Pairs of node and machine between which heartbeats are not delivered.
  std::set<std::pair<size_t, std::string>> blocked_links;
  std::map<std::string, std::unique_ptr<ScriptedWorker>> workers;
  size_t duplicate_starts = 0;                     // of tasks that were running on another machine
  size_t starts = 0;                               // of tasks on any machine
  std::function<void(ScriptedWorker&)> on_worker;  // called for each new worker
  // Called with each call of a controller before it is sent.
  std::function<void(Node&, const http::Call&)> on_send;
  // Called with each request to a controller and each response. The cost driver uses them to pass
  // every message through the HTTP serializer and parser.
  std::function<http::Request(http::Request)> on_request;
  std::function<void(const http::Response&)> on_response;

 private:
  Task<void> scan_rules_periodically();
  Task<void> exchange_peer_statuses();
};

// A job of class `train` and team `red` whose tasks take 2 cpus and are estimated at 5 s.
JobSpec job(const std::string& id, uint32_t tasks = 1);
// Whether the call is a transaction whose body contains this key or prefix.
bool is_transaction_on(const http::Call& call, std::string_view key);
// Adds a test failure for each violation in the scenario so far, and for duplicate starts.
void expect_no_violations(const Site& site);

}  // namespace dunlinknot::test
