// The periodic log line of what this node did.
#include "dunlinknot/node/counters.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/node/cluster_summary.hpp"

namespace dunlinknot::node {

namespace {

constexpr auto kInterval = std::chrono::seconds(30);  // the log line below names it

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
        now.accepted - last.accepted, now.refused - last.refused, now.throttled - last.throttled,
        now.turned_away - last.turned_away, now.preemptions - last.preemptions,
        server_ ? server_->connections() : 0);
    if (elector_.leading() && context_.loaded) log_cluster();
    last = now;
  }
}

Counters CounterLog::read() const {
  Counters counters;
  counters.accepted = jobs_.accepted_count();
  counters.refused = jobs_.unavailable_count();
  counters.throttled = store_.throttled();
  counters.turned_away = server_ ? server_->turned_away() : 0;
  counters.preemptions = leader_loop_.preemptions();
  return counters;
}

// Totals are computed under the lock and logged after it.
void CounterLog::log_cluster() {
  const bool by_type = spdlog::should_log(spdlog::level::debug);
  ClusterTotals totals;
  std::map<std::string, MachineTypeTotals> types;
  cluster::ReplicaRestarts restarts;
  context_.leader_state.with([&](cluster::LeaderState& leader) {
    totals = total(leader.cluster);
    if (by_type) types = totals_by_type(leader.cluster);
    restarts = leader.cluster.replica_restarts();
  });
  log_totals_by_type(types);
  log_totals(totals);
  log_restarts(restarts);
}

}  // namespace dunlinknot::node
