// Constructs the components in the order of their dependencies and passes events between them.
#include "dunlinknot/node/daemon.hpp"

#include "dunlinknot/node/connection_limit.hpp"

namespace dunlinknot::node {

namespace {

// Share of the key-value store's rate limits that this node may use.
constexpr double kBudgetShare = 0.85;

}  // namespace

// Components receive *this before all members are constructed, and do not call it before
// start_components().
Daemon::Daemon(EventLoop& loop, const settings::Platform& platform,
               const settings::Operator& operator_settings, http::Transport& transport,
               uint32_t seed)
    : loop_(loop),
      platform_(platform),
      operator_settings_(operator_settings),
      store_(loop, transport, platform.key_value_store,
             kv::Limits(platform.store_limits, platform.next_store_limits), kBudgetShare),
      cloud_(loop, transport, platform.cloud, platform.cloud_rps),
      context_(loop, platform, operator_settings),
      elector_(loop, store_, platform, to_nanos(operator_settings.leader_ttl), *this),
      peers_(loop, platform, *this),
      jobs_(loop, store_, platform, operator_settings, seed,
            [this](const std::string& id) { on_user_cancellation(id); }),
      allocation_store_(context_, store_, *this),
      renewal_policy_(elector_, peers_, jobs_, allocation_store_),
      heartbeats_(context_, elector_, renewal_policy_),
      stop_caller_(context_, elector_, transport),
      roles_(operator_settings.roles ? std::make_unique<roles::SingletonRoles>(context_, store_)
                                     : nullptr),
      autoscaler_(context_, cloud_, roles_.get()),
      local_status_(context_, elector_, store_, jobs_, heartbeats_),
      catalog_keeper_(context_, elector_, store_, cloud_, jobs_),
      leader_loop_(context_, elector_, peers_, heartbeats_, renewal_policy_, autoscaler_),
      failover_(context_, {allocation_store_, heartbeats_, stop_caller_, autoscaler_, roles_.get(),
                           leader_loop_, catalog_keeper_}),
      readiness_(loop, store_, peers_, jobs_),
      router_(jobs_, heartbeats_, readiness_),
      counter_log_(context_, elector_, jobs_, store_, leader_loop_) {}

void Daemon::start() {
  http::ServerOptions options;
  options.max_connections = max_server_connections(platform_, operator_settings_);
  server_ = std::make_unique<http::Server>(
      loop_, platform_.listen, options,
      [this](http::Request request) { return handle(std::move(request)); });
  counter_log_.set_server(*server_);
  loop_.spawn(server_->serve());
  peers_.start();
  start_components();
}

void Daemon::start_components() {
  loop_.spawn(catalog_keeper_.load());
  loop_.spawn(elector_.run());
  loop_.spawn(counter_log_.run());
}

// Notifies the leader of a cancellation acknowledged by any node, so that it stops the job's tasks
// at once. This only reduces latency: a leader that cannot reach the key-value store would
// otherwise learn of the cancellation too late to save work in progress.
void Daemon::on_user_cancellation(const std::string& id) {
  if (elector_.leading()) {
    on_peer_cancellation(id);
  } else {
    peers_.announce_cancellation(id);
  }
}

void Daemon::on_peer_cancellation(const std::string& id) {
  if (elector_.leading() && context_.loaded) allocation_store_.apply_cancellation(id);
}

void Daemon::on_elected(const leadership::Term& term) {
  failover_.begin_term(term);
}

void Daemon::on_leadership_lost() {
  failover_.end_term();
}

void Daemon::on_peer_status(const wire::peer::Status& status) {
  elector_.observe_epoch(status.epoch,
                         status.leader.empty() ? std::nullopt : std::optional(status.leader),
                         status.node);
}

void Daemon::on_peer_progress(const wire::peer::Progress& progress) {
  if (!elector_.leading()) jobs_.progress().replace(progress);
}

void Daemon::on_epoch_superseded() {
  elector_.observe_epoch(context_.epoch + 1, std::nullopt, "a failed compare on the key epoch");
}

void Daemon::on_job_finished(const std::string& id, uint32_t tasks) {
  jobs_.final_cache().put(id, {false, tasks});
}

void Daemon::on_cancellations_applied(Instant sent) {
  elector_.on_cancellations_read(sent);
}

// The compares of a transaction that deletes records; empty while this node may not delete any.
// With singleton roles disabled, the epoch alone decides which node may delete records.
std::optional<std::vector<kv::Compare>> Daemon::cleanup_compares() const {
  if (!roles_) return {{context_.epoch_compare()}};
  if (!roles_->holder.may_act(roles::Role::cleanup)) return std::nullopt;
  return roles_->holder.compares(roles::Role::cleanup);
}

void Daemon::apply_cleanup_result(const kv::TransactionResult& result, Instant sent) {
  if (roles_) roles_->holder.apply_result(roles::Role::cleanup, result, sent);
}

}  // namespace dunlinknot::node
