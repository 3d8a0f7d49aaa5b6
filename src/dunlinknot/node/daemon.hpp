// One controller: all parts together, and the leader's cycles.
#pragma once
#include <memory>

#include "dunlinknot/autoscaler/autoscaler.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/allocation_store.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"

namespace dunlinknot::node {

// How many connections the server may hold, so that the calls of this node find sockets too.
size_t server_connections(const settings::Platform& platform,
                          const settings::Operator& operator_settings);

class Daemon : private leadership::LeadershipObserver,
               private leadership::PeerHandler,
               private cluster::AllocationStoreHandler {
 public:
  Daemon(EventLoop& loop, const settings::Platform& platform,
         const settings::Operator& operator_settings, http::Transport& transport, uint32_t seed);
  // Opens the listening sockets (throws when that fails) and starts all parts.
  void start();
  // The parts alone, without any socket of their own.
  void start_parts();

  Task<http::Response> handle(http::Request request);
  const leadership::Elector& elector() const { return elector_; }
  cluster::LeaderContext& context() { return context_; }
  leadership::Peers& peers() { return peers_; }
  const roles::SingletonRoles* roles() const { return roles_.get(); }
  wire::peer::Status status() const override;
  void on_peer_cancellation(const std::string& id) override;

 private:
  void elected(const leadership::Term& term) override;
  void deposed() override;
  Task<void> fail_over(uint64_t term);
  Task<void> scheduling_loop(uint64_t term);
  void run_scheduling_cycle(Instant now);
  void log_waiting(const scheduler::Plan& plan, Instant now);
  Task<void> learn_catalog();
  Task<void> keep_catalog(uint64_t term);
  Task<void> log_counters();
  void log_cluster_summary();
  Task<bool> ready();
  void on_epoch_superseded() override;
  void on_job_finished(const std::string& id, uint32_t tasks) override;
  void on_cancellations_applied(Instant sent) override;
  std::optional<std::vector<kv::Compare>> cleanup_compares() const override;
  void apply_cleanup_result(const kv::TransactionResult& result, Instant sent) override;
  wire::peer::Progress progress() override;
  void on_peer_status(const wire::peer::Status& status) override;
  void on_peer_progress(const wire::peer::Progress& progress) override;
  bool may_renew() const;
  void on_user_cancellation(const std::string& id);

  EventLoop& loop_;
  const settings::Platform& platform_;
  const settings::Operator& op_;
  Instant began_;
  kv::Client store_;
  cloud::Client cloud_;
  cluster::LeaderContext context_;
  leadership::Elector elector_;
  leadership::Peers peers_;
  jobs::RequestHandler jobs_;
  workers::HeartbeatHandler workers_;
  cluster::AllocationStore allocation_store_;
  std::unique_ptr<roles::SingletonRoles> roles_;  // null when they are off
  autoscaler::Autoscaler autoscaler_;
  std::vector<MachineType> catalog_;
  std::unique_ptr<http::Server> server_;
  uint64_t preemptions_ = 0;
  Instant next_waiting_log_{};
};

}  // namespace dunlinknot::node
