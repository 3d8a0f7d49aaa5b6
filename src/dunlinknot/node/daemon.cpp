#include "dunlinknot/node/daemon.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/node/cluster_summary.hpp"
#include "dunlinknot/scheduler/apply.hpp"

namespace dunlinknot::node {

namespace {

using cluster::Effects;
using cluster::Job;
using cluster::LeaderState;
using http::Outcome;
using http::Response;

constexpr auto kTick = Millis(500);
constexpr int kCycleRestFactor = 3;  // times what the last cycle took
constexpr auto kHeartbeatSilence = std::chrono::seconds(5);
constexpr auto kStoreSilence = Millis(1500);
constexpr auto kStoreIdle = Millis(700);
constexpr auto kProbeTime = Millis(600);  // the load balancer waits 1 s
constexpr size_t kOtherCalls = 64;
constexpr auto kWaitingLogEvery = std::chrono::seconds(10);
constexpr Seconds kLongWait{60};
constexpr double kBudgetShare = 0.85;  // of the key-value store's limits, for one node

}  // namespace

// Calls on the users' behalf, one socket each at most; links with the other controllers, both ways;
// the rest is for stops, the cloud and the allocation store. On a large quota all else is for
// workers and users: a leader holds a connection of every machine.
size_t server_connections(const settings::Platform& platform,
                          const settings::Operator& operator_settings) {
  const size_t own = operator_settings.max_submissions + operator_settings.max_polls +
                     2 * platform.peers.size() + kOtherCalls;
  const size_t most = platform.max_connections;
  return std::max(most * 3 / 4, most > own ? most - own : 0);
}

Daemon::Daemon(EventLoop& loop, const settings::Platform& platform,
               const settings::Operator& operator_settings, http::Transport& transport,
               uint32_t seed)
    : loop_(loop),
      platform_(platform),
      op_(operator_settings),
      began_(loop.now()),
      store_(loop, transport, platform.key_value_store,
             kv::Limits(platform.store_limits, platform.next_store_limits), kBudgetShare),
      cloud_(loop, transport, platform.cloud, platform.cloud_rps),
      context_(loop, platform, operator_settings),
      elector_(loop, store_, platform, to_nanos(operator_settings.leader_ttl), *this),
      peers_(loop, platform, *this),
      jobs_(loop, store_, platform, operator_settings, seed,
            [this](const std::string& id) { on_user_cancellation(id); }),
      workers_(
          context_, elector_, [this] { return may_renew(); }, transport),
      allocation_store_(context_, store_, *this),
      roles_(operator_settings.roles ? std::make_unique<roles::SingletonRoles>(context_, store_)
                                     : nullptr),
      autoscaler_(context_, cloud_, roles_.get()) {}

void Daemon::start() {
  http::ServerOptions options;
  options.max_connections = server_connections(platform_, op_);
  server_ = std::make_unique<http::Server>(
      loop_, platform_.listen, options,
      [this](http::Request request) { return handle(std::move(request)); });
  loop_.spawn(server_->serve());
  peers_.start();
  start_parts();
}

void Daemon::start_parts() {
  loop_.spawn(learn_catalog());
  loop_.spawn(elector_.run());
  loop_.spawn(log_counters());
}

Task<Response> Daemon::handle(http::Request request) {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  Response out;
  if (path == "/agent/beat") {
    if (post) co_return co_await workers_.handle(std::move(request.body));
    out.status = 405;
  } else if (path == "/ready") {
    out.status = 405;
    if (get) {
      const bool is_ready = co_await ready();
      out.status = is_ready ? 200 : 503;
    }
    if (out.status == 503) out.retry_after_s = 1;
  } else if (path == "/v1/jobs") {
    if (post) co_return co_await jobs_.submit(std::move(request.body));
    out.status = 405;
  } else if (path.starts_with("/v1/jobs/")) {
    std::string_view id = path.substr(9);
    constexpr std::string_view kWithdraw = "/withdraw";
    if (id.ends_with(kWithdraw)) {
      id.remove_suffix(kWithdraw.size());
      if (post) co_return co_await jobs_.withdraw(std::string(id));
      out.status = 405;
    } else if (get) {
      co_return co_await jobs_.poll(std::string(id));
    } else {
      out.status = 405;
    }
  } else {
    out.status = 404;
  }
  co_return out;
}

// Not ready: machine types unknown yet, or the key-value store serves our peers but not us. When it
// serves nobody, being taken off the load balancer would only cost time afterwards.
Task<bool> Daemon::ready() {
  if (!jobs_.catalog_known() || !store_.ever_served()) co_return false;
  if (loop_.now() - store_.last_served() > kStoreIdle) {
    // A node that nobody asked anything for a while has not heard of the key-value store either:
    // that is no sign of trouble, and is found out before it is taken for one.
    (void)co_await store_.get(std::string(wire::kLeaderKey), kProbeTime, kv::Importance::essential);
  }
  if (loop_.now() - store_.last_served() < kStoreSilence) co_return true;
  co_return !peers_.any_peer_reaches_store();
}

wire::peer::Status Daemon::status() const {
  const Instant now = loop_.now();
  wire::peer::Status status;
  status.node = platform_.node;
  status.epoch = elector_.known_epoch();
  status.leader = elector_.known_leader().value_or("");
  status.up = to_millis(now - began_);
  status.store_known = store_.ever_served();
  if (status.store_known) status.store_silent = to_millis(now - store_.last_served());
  status.heartbeats_known = workers_.ever_received();
  if (status.heartbeats_known)
    status.heartbeats_silent = to_millis(now - workers_.last_heartbeat());
  status.leading = elector_.leading();
  status.cancel_revision = jobs_.cancel_revision();
  return status;
}

// Safety 2. While the key-value store is away for all, nobody can confirm a cancellation; that all
// nodes, this one too, have told of none that the cluster state lacks stands in for a read.
bool Daemon::may_renew() const {
  if (elector_.may_renew(std::nullopt)) return true;
  const uint64_t revision = allocation_store_.jobs_revision();
  if (jobs_.cancel_revision() > revision) return false;
  return elector_.may_renew(
      peers_.no_unknown_cancellation_until(elector_.renewal_window_start(), revision));
}

// The leader stops the job's tasks at once, wherever the user asked: a leader that the state
// service refuses would hear of it too late to save the work. Only for speed.
void Daemon::on_user_cancellation(const std::string& id) {
  if (elector_.leading()) {
    on_peer_cancellation(id);
  } else {
    peers_.announce_cancellation(id);
  }
}

void Daemon::on_peer_cancellation(const std::string& id) {
  if (elector_.leading() && context_.loaded) allocation_store_.cancelled(id);
}

void Daemon::on_peer_status(const wire::peer::Status& status) {
  elector_.observe_epoch(status.epoch,
                         status.leader.empty() ? std::nullopt : std::optional(status.leader),
                         status.node);
}

void Daemon::on_peer_progress(const wire::peer::Progress& progress) {
  if (!elector_.leading()) jobs_.progress().replace(progress);
}

wire::peer::Progress Daemon::progress() {
  wire::peer::Progress progress;
  if (!elector_.leading() || !context_.loaded) return progress;
  progress.epoch = context_.epoch;
  context_.leader_state.with([&](LeaderState& pic) {
    for (const auto& [id, job] : pic.cluster.jobs()) {
      if (progress.entries.size() >= wire::peer::kMaxEntries) break;
      if (job->done_count() > 0 || job->running > 0)
        progress.entries.push_back({id, job->done_count(), job->running});
    }
  });
  return progress;
}

// Every node needs the machine types to tell a job that can run from one that never can. They come
// from the cloud, or, while that is in trouble, from what a leader wrote down.
Task<void> Daemon::learn_catalog() {
  while (catalog_.empty()) {
    kv::GetResult got = co_await store_.get(std::string(wire::kCatalogKey), Millis(800));
    std::optional<std::vector<MachineType>> types;
    if (got.outcome == Outcome::ok && got.found) types = wire::read_catalog(got.item.value);
    if (!types) types = co_await cloud_.catalog();
    if (types) {
      catalog_ = std::move(*types);
    } else {
      co_await loop_.sleep(Millis(700));
    }
  }
  jobs_.set_catalog(catalog_);
  if (elector_.leading()) {
    context_.leader_state.with([&](LeaderState& leader) {
      if (leader.cluster.catalog().empty()) leader.cluster.set_catalog(catalog_);
    });
    context_.schedule.notify();
  }
}

// The leader writes the machine types down once, for nodes that start while the cloud is away.
Task<void> Daemon::keep_catalog(uint64_t term) {
  while (context_.in_term(term)) {
    if (!catalog_.empty()) {
      const std::string value = wire::write_catalog(catalog_);
      const auto stored = wire::Document::parse(value);
      if (!stored || wire::json_size(stored->root()) > store_.limits().value_bytes()) {
        spdlog::info("the catalog of {} machine types is too large to be stored", catalog_.size());
        co_return;
      }
      kv::Transaction txn;
      txn.compares.push_back(context_.epoch_compare());
      txn.compares.push_back({std::string(wire::kCatalogKey), 0});
      txn.writes.push_back({std::string(wire::kCatalogKey), value, 0});
      kv::TransactionResult result =
          co_await store_.commit(std::move(txn), std::chrono::seconds(1));
      if (result.outcome == Outcome::ok) co_return;
    }
    co_await loop_.sleep(std::chrono::seconds(5));
  }
}

void Daemon::elected(const leadership::Term& term) {
  ++context_.term;
  context_.epoch = term.epoch;
  context_.epoch_mod_revision = term.epoch_mod_revision;
  context_.loaded = false;
  context_.leader_state.with([&](LeaderState& leader) {
    leader.cluster.begin_term(term.epoch, loop_.now());
    leader.cluster.set_catalog(catalog_);
    leader.nominations.clear();
  });
  autoscaler_.begin_term();
  loop_.spawn(fail_over(context_.term));
}

void Daemon::on_epoch_superseded() {
  elector_.observe_epoch(context_.epoch + 1, std::nullopt, "a transaction met a later epoch");
}

void Daemon::on_job_finished(const std::string& id, uint32_t tasks) {
  jobs_.finals().put(id, {false, tasks});
}

void Daemon::on_cancellations_applied(Instant sent) {
  elector_.cancellations_read(sent);
}

// What a removal of records has to guard; nothing while this node may not do it.
std::optional<std::vector<kv::Compare>> Daemon::cleanup_compares() const {
  if (!roles_) return {{context_.epoch_compare()}};
  if (!roles_->holder.may_act(roles::Role::cleanup)) return std::nullopt;
  return roles_->holder.compares(roles::Role::cleanup);
}

void Daemon::apply_cleanup_result(const kv::TransactionResult& result, Instant sent) {
  if (roles_) roles_->holder.apply_result(roles::Role::cleanup, result, sent);
}

void Daemon::deposed() {
  if (roles_) {
    roles_->holder.lose();
    loop_.spawn(roles_->holder.release());
  }
  context_.epoch = 0;
  context_.loaded = false;
  ++context_.term;
  // Whoever waits for a signal wakes up, sees that its term is over and ends.
  for (AutoResetEvent* s : {&context_.schedule, &context_.store_machines, &context_.store_done,
                            &context_.stops, &context_.runs, &context_.scaling}) {
    s->notify();
  }
}

Task<void> Daemon::fail_over(uint64_t term) {
  const Instant started = loop_.now();
  if (!co_await allocation_store_.load(term)) co_return;
  const bool roles_acquired = co_await autoscaler_.acquire_roles(term);
  if (!roles_acquired) co_return;
  context_.loaded = true;
  const auto [jobs, machines, allocations] = context_.leader_state.with([](LeaderState& leader) {
    return std::tuple(leader.cluster.jobs().size(), leader.cluster.machines().size(),
                      leader.cluster.allocation_count());
  });
  spdlog::info(
      "failover to epoch {} done in {} ms: {} open jobs, {} machines with allocations, {} "
      "allocations",
      context_.epoch, to_millis(loop_.now() - started).count(), jobs, machines, allocations);
  loop_.spawn(allocation_store_.watch_jobs(term));
  loop_.spawn(allocation_store_.store_machines(term));
  loop_.spawn(allocation_store_.store_done(term));
  loop_.spawn(workers_.call_stops(term));
  loop_.spawn(workers_.release_responses(term));
  loop_.spawn(autoscaler_.work(term));
  loop_.spawn(autoscaler_.watch_machines(term));
  loop_.spawn(scheduling_loop(term));
  loop_.spawn(keep_catalog(term));
}

Task<void> Daemon::scheduling_loop(uint64_t term) {
  Instant began = loop_.now();
  Instant next_tick = began;
  while (context_.in_term(term)) {
    (void)co_await context_.schedule.wait_until(next_tick);
    if (!context_.in_term(term)) co_return;
    const Instant now = loop_.now();
    if (now >= next_tick) {
      next_tick = now + kTick;
      Effects effects = context_.leader_state.with([&](LeaderState& leader) {
        Effects combined = leader.cluster.expire(now);
        combined |= leader.cluster.tick(now);
        return combined;
      });
      context_.follow_up(effects);
      // Cut off from the workers while they reach our peers: another node can serve them. That they
      // leave a leader that may not renew their leases is another matter.
      if (!may_renew()) began = now;
      const Instant last_heartbeat = std::max(workers_.last_answered_heartbeat(), began);
      if (now - last_heartbeat > kHeartbeatSilence && peers_.any_peer_receives_heartbeats()) {
        elector_.resign("no worker reaches this node, but they reach others");
        co_return;
      }
    }
    if (elector_.may_start()) run_scheduling_cycle(now);
    // The more a cycle takes, the longer the pause: cycles leave most of the processor to the
    // workers' heartbeats and the users, however large the cluster.
    const Nanos took = loop_.now() - now;
    co_await loop_.sleep(
        std::clamp<Nanos>(took * kCycleRestFactor, to_nanos(op_.cycle_pause), kTick * 3));
  }
}

void Daemon::run_scheduling_cycle(Instant now) {
  Effects effects;
  const scheduler::Plan plan = context_.leader_state.with([&](LeaderState& leader) {
    leader.nominations.settle(leader.cluster);
    scheduler::CloudCapacity cloud_capacity = autoscaler_.cloud_capacity(now);
    cloud_capacity.machines = leader.cluster.machines().size();
    scheduler::Plan decided = scheduler::plan(leader.cluster, leader.nominations, cloud_capacity,
                                              platform_, op_, loop_.wall(), now);
    effects = scheduler::apply(decided, leader, now);
    return decided;
  });
  preemptions_ += plan.preemptions.size();
  context_.follow_up(effects);
  log_waiting(plan, now);
  autoscaler_.order(plan.capacity_requests);
  autoscaler_.scan(plan.wanted, plan.waiting_tasks, now);
}

// At `debug`, now and then, what each job waits for that should have begun long ago.
void Daemon::log_waiting(const scheduler::Plan& plan, Instant now) {
  if (!spdlog::should_log(spdlog::level::debug) || now < next_waiting_log_) return;
  next_waiting_log_ = now + kWaitingLogEvery;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& [id, cause] : plan.waiting_jobs) {
      const Job* job = leader.cluster.job(id);
      if (!job) continue;
      const std::chrono::duration<double> waited = loop_.wall() - job->submitted();
      if (waited < kLongWait) continue;
      spdlog::debug("job {} of {} waits for {:.0f} s: {}", id, job->spec().job_class,
                    waited.count(), scheduler::text(cause));
    }
  });
}

void Daemon::log_cluster_summary() {
  const bool by_type = spdlog::should_log(spdlog::level::debug);
  ClusterTotals totals;
  std::map<std::string, MachineTypeTotals> types;
  cluster::ReplicaRestarts restarts;
  context_.leader_state.with([&](LeaderState& leader) {
    totals = total(leader.cluster);
    if (by_type) types = totals_by_type(leader.cluster);
    restarts = leader.cluster.replica_restarts();
  });
  log_totals_by_type(types);
  log_totals(totals);
  log_restarts(restarts);
}

// Refusals and the like are counted, not told one by one.
Task<void> Daemon::log_counters() {
  uint64_t accepted = 0, refused = 0, throttled = 0, away = 0, preemptions = 0;
  for (;;) {
    co_await loop_.sleep(std::chrono::seconds(30));
    const uint64_t a = jobs_.accepted(), r = jobs_.refused(), t = store_.throttled(),
                   w = server_ ? server_->turned_away() : 0, e = preemptions_;
    spdlog::info(
        "last 30 s: {} accepted, {} put off, {} store calls over budget, {} connections turned "
        "away, "
        "{} preemptions; {} connections open",
        a - accepted, r - refused, t - throttled, w - away, e - preemptions,
        server_ ? server_->connections() : 0);
    if (elector_.leading() && context_.loaded) log_cluster_summary();
    accepted = a, refused = r, throttled = t, away = w, preemptions = e;
  }
}

}  // namespace dunlinknot::node
