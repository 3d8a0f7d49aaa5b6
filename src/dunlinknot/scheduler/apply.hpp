// Applies a plan to the leader's state: allocations, nominations and preemptions.
#pragma once
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

// Applies the plan to the state. The leader calls it right after plan(), under the same lock: the
// state must not change between the two calls. Returns the follow-up work for the caller:
// allocations to write, stop calls to send, or another scheduling cycle to run.
cluster::Effects apply(const Plan& plan, cluster::LeaderState& state, Instant now);

}  // namespace dunlinknot::scheduler
