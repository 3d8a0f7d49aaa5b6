// Carries a plan out on the leader's state: allocations, nominations and preemptions. Nothing may
// change the state between the plan and this, so both belong under one lock.
#pragma once
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

// Returns what the caller has to wake: the writing of allocations, stop calls, another round.
cluster::Effects apply(const Plan& plan, cluster::LeaderState& state, Instant now);

}  // namespace dunlinknot::scheduler
