// Loads the cluster state when this node is elected, before it responds to workers, and ends the
// leader's work when the term is over.
#include "dunlinknot/node/failover.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::node {

using cluster::LeaderState;

void Failover::begin_term(const leadership::Term& term) {
  ++context_.term;
  context_.epoch = term.epoch;
  context_.epoch_mod_revision = term.epoch_mod_revision;
  context_.loaded = false;
  context_.leader_state.with([&](LeaderState& leader) {
    leader.cluster.begin_term(term.epoch, context_.loop.now());
    leader.cluster.set_catalog(components_.catalog_keeper.machine_types());
    leader.nominations.clear();
  });
  components_.autoscaler.begin_term();
  context_.loop.spawn(load_state(context_.term));
}

void Failover::end_term() {
  if (components_.roles) {
    components_.roles->holder.on_term_ended();
    context_.loop.spawn(components_.roles->holder.release());
  }
  context_.epoch = 0;
  context_.loaded = false;
  ++context_.term;
  // Wakes all coroutines that wait for an event, so that they notice the end of the term and
  // return.
  for (AutoResetEvent* event :
       {&context_.schedule, &context_.store_machines, &context_.store_progress, &context_.stops,
        &context_.runs, &context_.scaling}) {
    event->notify();
  }
}

Task<void> Failover::load_state(uint64_t term) {
  const Instant started = context_.loop.now();
  if (!co_await components_.allocation_store.load(term)) co_return;
  const bool roles_acquired = co_await components_.autoscaler.acquire_roles(term);
  if (!roles_acquired) co_return;
  context_.loaded = true;
  log_failover(context_.loop.now() - started);
  spawn_term_coroutines(term);
}

void Failover::log_failover(Nanos duration) {
  struct LoadedCounts {
    size_t jobs;
    size_t machines;
    size_t allocations;
  };
  const LoadedCounts loaded = context_.leader_state.with([](LeaderState& leader) {
    return LoadedCounts{leader.cluster.jobs().size(), leader.cluster.machines().size(),
                        leader.cluster.allocation_count()};
  });
  spdlog::info(
      "failover to epoch {} done in {} ms: {} open jobs, {} machines with allocations, {} "
      "allocations",
      context_.epoch, to_millis(duration).count(), loaded.jobs, loaded.machines,
      loaded.allocations);
}

// Each coroutine runs to its first suspension when it is spawned, so the order determines the first
// actions of a term.
void Failover::spawn_term_coroutines(uint64_t term) {
  EventLoop& loop = context_.loop;
  loop.spawn(components_.allocation_store.watch_jobs(term));
  loop.spawn(components_.allocation_store.store_machines(term));
  loop.spawn(components_.allocation_store.store_progress(term));
  loop.spawn(components_.stop_caller.run(term));
  loop.spawn(components_.heartbeats.release_responses(term));
  loop.spawn(components_.autoscaler.run(term));
  loop.spawn(components_.autoscaler.watch_machines(term));
  loop.spawn(components_.leader_loop.run(term));
  loop.spawn(components_.catalog_keeper.store(term));
}

}  // namespace dunlinknot::node
