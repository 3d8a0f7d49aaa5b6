// Placement of gangs: all tasks or none, on the machines where the slowest of them starts earliest.
#pragma once
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// Places the gang on ready machines. Returns false, and changes nothing, when there is no room for
// all of its tasks. The caller checks the team's limit.
bool place_gang(CycleState& state, const Job& job, Borrowing borrowing);

// The same on ready and upcoming machines: takes the room and charges the team, so that nothing
// else is placed or launched there in this cycle, but places no task.
bool reserve_upcoming_for_gang(CycleState& state, const Job& job, Borrowing borrowing);

}  // namespace dunlinknot::scheduler
