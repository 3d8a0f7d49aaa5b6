// Logs this node's counters periodically.
#include "dunlinknot/node/counters.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/node/cluster_summary.hpp"

namespace dunlinknot::node {

namespace {

constexpr auto kInterval = std::chrono::seconds(30);  // the log line below contains this number

}  // namespace

CounterLog::CounterLog(cluster::LeaderContext& context, const leadership::Elector& elector,
                       const jobs::RequestHandler& jobs, const kv::Client& store,
                       const LeaderLoop& leader_loop)
    : context_(context), elector_(elector), jobs_(jobs), store_(store), leader_loop_(leader_loop) {}

Task<void> CounterLog::run() {
  Counters last;
  for (;;) {
    co_await context_.loop.sleep(kInterval);
    const Counters now = read();
    spdlog::info(
        "last 30 s: {} accepted, {} put off, {} store calls over budget, {} connections turned "
        "away, {} preemptions; {} connections open",
        now.accepted_jobs - last.accepted_jobs, now.unavailable - last.unavailable,
        now.store_calls.throttled - last.store_calls.throttled,
        now.rejected_connections - last.rejected_connections, now.preemptions - last.preemptions,
        server_ ? server_->connections() : 0);
    log_store_calls(last.store_calls, now.store_calls);
    if (elector_.leading() && context_.loaded) log_cluster();
    last = now;
  }
}

Counters CounterLog::read() const {
  Counters counters;
  counters.accepted_jobs = jobs_.accepted_count();
  counters.unavailable = jobs_.unavailable_count();
  counters.store_calls = store_.counts();
  counters.rejected_connections = server_ ? server_->rejected_connections() : 0;
  counters.preemptions = leader_loop_.preemptions();
  return counters;
}

// Essential calls beyond the budget, which users' requests then lack, and expired watches are rare.
void CounterLog::log_store_calls(const kv::CallCounts& last, const kv::CallCounts& now) const {
  const uint64_t over_budget = now.over_budget - last.over_budget;
  const uint64_t expired_watches = now.expired_watches - last.expired_watches;
  if (over_budget == 0 && expired_watches == 0) return;
  spdlog::info(
      "key-value store, last 30 s: {} calls sent, {} of them beyond the budget of {:.0f}/s, {} "
      "watches of changes that are no longer kept",
      now.sent - last.sent, over_budget, store_.request_budget(), expired_watches);
}

// Computes the totals under the lock and logs them after it is released.
void CounterLog::log_cluster() {
  const bool by_type = spdlog::should_log(spdlog::level::debug);
  ClusterTotals totals;
  std::map<std::string, MachineTypeTotals> types;
  cluster::ReplicaRestarts restarts;
  context_.leader_state.with([&](cluster::LeaderState& leader) {
    totals = cluster_totals(leader.cluster);
    if (by_type) types = totals_by_type(leader.cluster);
    restarts = leader.cluster.replica_restarts();
  });
  log_totals_by_type(types);
  log_totals(totals);
  log_restarts(restarts);
}

}  // namespace dunlinknot::node
