// What a new leader does before it answers workers, and what a deposed one undoes.
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
    leader.cluster.set_catalog(parts_.catalog_keeper.machine_types());
    leader.nominations.clear();
  });
  parts_.autoscaler.begin_term();
  context_.loop.spawn(take_over(context_.term));
}

void Failover::end_term() {
  if (parts_.roles) {
    parts_.roles->holder.on_term_ended();
    context_.loop.spawn(parts_.roles->holder.release());
  }
  context_.epoch = 0;
  context_.loaded = false;
  ++context_.term;
  // A coroutine that waits for an event wakes up, finds that its term is over and ends.
  for (AutoResetEvent* event :
       {&context_.schedule, &context_.store_machines, &context_.store_progress, &context_.stops,
        &context_.runs, &context_.scaling}) {
    event->notify();
  }
}

Task<void> Failover::take_over(uint64_t term) {
  const Instant started = context_.loop.now();
  if (!co_await parts_.allocation_store.load(term)) co_return;
  const bool roles_acquired = co_await parts_.autoscaler.acquire_roles(term);
  if (!roles_acquired) co_return;
  context_.loaded = true;
  log_taken_over(context_.loop.now() - started);
  start_parts(term);
}

void Failover::log_taken_over(Nanos took) {
  struct Sizes {
    size_t jobs;
    size_t machines;
    size_t allocations;
  };
  const Sizes loaded = context_.leader_state.with([](LeaderState& leader) {
    return Sizes{leader.cluster.jobs().size(), leader.cluster.machines().size(),
                 leader.cluster.allocation_count()};
  });
  spdlog::info(
      "failover to epoch {} done in {} ms: {} open jobs, {} machines with allocations, {} "
      "allocations",
      context_.epoch, to_millis(took).count(), loaded.jobs, loaded.machines, loaded.allocations);
}

// Each coroutine runs to its first suspension when it is spawned, so their order is part of what a
// term does first.
void Failover::start_parts(uint64_t term) {
  EventLoop& loop = context_.loop;
  loop.spawn(parts_.allocation_store.watch_jobs(term));
  loop.spawn(parts_.allocation_store.store_machines(term));
  loop.spawn(parts_.allocation_store.store_progress(term));
  loop.spawn(parts_.stop_caller.run(term));
  loop.spawn(parts_.heartbeats.release_responses(term));
  loop.spawn(parts_.autoscaler.run(term));
  loop.spawn(parts_.autoscaler.watch_machines(term));
  loop.spawn(parts_.leader_loop.run(term));
  loop.spawn(parts_.catalog_keeper.store(term));
}

}  // namespace dunlinknot::node
