// Entry of the scheduler, and the texts of what jobs wait for.
#include "dunlinknot/scheduler/scheduler.hpp"

#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

std::string_view text(WaitCause cause) {
  switch (cause) {
    case WaitCause::team_limit:
      return "its team's limit";
    case WaitCause::queued_on_machine:
      return "a task to end on the machine where it is allocated";
    case WaitCause::machine_upcoming:
      return "a machine that is coming";
    case WaitCause::preemption:
      return "tasks that are being stopped for it";
    case WaitCause::room_reserved:
      return "tasks to end where room is kept for it";
    case WaitCause::no_room:
      return "room, and none can be launched";
  }
  return "";
}

Plan plan(const Cluster& cluster, const preemption::Nominations& nominations,
          const CloudCapacity& cloud_capacity, const settings::Platform& platform,
          const settings::Operator& operator_settings, WallTime wall, Instant now) {
  return SchedulingCycle(CycleInputs{cluster, nominations, cloud_capacity, platform,
                                     operator_settings, wall, now})
      .run();
}

}  // namespace dunlinknot::scheduler
