// Headroom: room kept free for classes of jobs whose objective is to start soon after submission.
#pragma once
#include "dunlinknot/scheduler/cycle_state.hpp"

namespace dunlinknot::scheduler {

// Reserves headroom on machines for each class whose target wait is too short to add capacity,
// sized by the demand forecast. Other jobs of the same or lower priority may not use that room, and
// the machines are not terminated while idle. The first stage of a cycle: no other stage may have
// changed the candidates.
void reserve_headroom(CycleState& state);

}  // namespace dunlinknot::scheduler
