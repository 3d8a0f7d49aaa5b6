// Placement of gangs: all tasks or none, on the machines where the slowest of them starts soonest.
#pragma once
#include "dunlinknot/scheduler/placement.hpp"

namespace dunlinknot::scheduler {

// Places the gang on machines that are ready. False, and nothing is changed, when there is no room
// for all of its tasks. Its team's limit is the caller's concern.
bool place_gang(CycleState& state, const Job& job, Borrowing borrowing);

// The same with machines that are coming: takes the room and charges the team, so that nothing is
// launched or placed there in this cycle, but places nothing.
bool reserve_upcoming_for_gang(CycleState& state, const Job& job, Borrowing borrowing);

}  // namespace dunlinknot::scheduler
