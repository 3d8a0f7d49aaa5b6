// Carries a plan out on the leader's state: allocations, nominations and preemptions.
#pragma once
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

// Called by the leader right after plan(): nothing may change the state between the two, so both
// are under the lock that guards it. Returns what the caller has to wake: the writing of
// allocations, stop calls, another cycle.
cluster::Effects apply(const Plan& plan, cluster::LeaderState& state, Instant now);

}  // namespace dunlinknot::scheduler
