// Headroom: room kept free for classes of jobs that are expected to start soon after they arrive.
#pragma once
#include "dunlinknot/scheduler/cycle_state.hpp"

namespace dunlinknot::scheduler {

// For each class whose objective for the start leaves no time to make room: reserves room on
// machines for the tasks that are expected, by the demand forecast. Other work of no higher
// priority leaves that room alone, and the machines are not returned while they are idle. The first
// stage of a cycle: candidates must not have been changed yet.
void reserve_headroom(CycleState& state);

}  // namespace dunlinknot::scheduler
