// One controller: constructs all components and connects them.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/autoscaler.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/allocation_store.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/node/catalog_keeper.hpp"
#include "dunlinknot/node/counters.hpp"
#include "dunlinknot/node/failover.hpp"
#include "dunlinknot/node/leader_loop.hpp"
#include "dunlinknot/node/local_status.hpp"
#include "dunlinknot/node/readiness.hpp"
#include "dunlinknot/node/renewal_policy.hpp"
#include "dunlinknot/node/router.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"
#include "dunlinknot/workers/stop_caller.hpp"

namespace dunlinknot::node {

// Contains no logic of its own except passing the events that one component raises to the others.
// Everything runs on one event loop.
class Daemon : private leadership::LeadershipObserver,
               private leadership::PeerHandler,
               private cluster::AllocationStoreHandler {
 public:
  // The referenced objects must outlive the daemon. `seed`: for the random Retry-After values.
  Daemon(EventLoop& loop, const settings::Platform& platform,
         const settings::Operator& operator_settings, http::Transport& transport, uint32_t seed);

  // Opens the listening sockets and starts all components. Throws std::runtime_error if a socket
  // cannot be opened.
  void start();
  // Starts the components without listening sockets; for tests with scripted peers.
  void start_components();

  // Serves one HTTP request. Called by the HTTP server and by tests.
  Task<http::Response> handle(http::Request request) { return router_.handle(std::move(request)); }

  // A peer acknowledged a cancellation to its user. If this node leads, it stops the job's tasks at
  // once.
  void on_peer_cancellation(const std::string& id) override;

  // For tests only.
  const leadership::Elector& elector() const { return elector_; }
  cluster::LeaderContext& context() { return context_; }
  leadership::Peers& peers() { return peers_; }
  const roles::SingletonRoles* roles() const { return roles_.get(); }
  wire::peer::Status status() const override { return local_status_.status(); }

 private:
  // leadership::LeadershipObserver
  void on_elected(const leadership::Term& term) override;
  void on_leadership_lost() override;

  // leadership::PeerHandler
  wire::peer::Progress progress() override { return local_status_.progress(); }
  void on_peer_status(const wire::peer::Status& status) override;
  void on_peer_progress(const wire::peer::Progress& progress) override;

  // cluster::AllocationStoreHandler
  void on_epoch_superseded() override;
  void on_job_finished(const std::string& id, uint32_t tasks) override;
  void on_cancellations_applied(Instant sent) override;
  std::optional<std::vector<kv::Compare>> cleanup_compares() const override;
  void apply_cleanup_result(const kv::TransactionResult& result, Instant sent) override;

  void on_user_cancellation(const std::string& id);

  EventLoop& loop_;
  const settings::Platform& platform_;
  const settings::Operator& operator_settings_;
  kv::Client store_;
  cloud::Client cloud_;
  cluster::LeaderContext context_;
  leadership::Elector elector_;
  leadership::Peers peers_;
  jobs::RequestHandler jobs_;
  cluster::AllocationStore allocation_store_;
  RenewalPolicy renewal_policy_;
  workers::HeartbeatHandler heartbeats_;
  workers::StopCaller stop_caller_;
  std::unique_ptr<roles::SingletonRoles> roles_;  // null when the singleton roles are disabled
  autoscaler::Autoscaler autoscaler_;
  LocalStatus local_status_;
  CatalogKeeper catalog_keeper_;
  LeaderLoop leader_loop_;
  Failover failover_;
  Readiness readiness_;
  Router router_;
  CounterLog counter_log_;
  std::unique_ptr<http::Server> server_;  // null until start()
};

}  // namespace dunlinknot::node
