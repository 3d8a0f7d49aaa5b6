// Entry point of the scheduler, and the texts of wait causes.
#include "dunlinknot/scheduler/scheduler.hpp"

#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

std::string_view text(WaitCause cause) {
  switch (cause) {
    case WaitCause::team_limit:
      return "room under its team's limit";
    case WaitCause::queued_on_machine:
      return "a task to end on the machine where it is queued";
    case WaitCause::machine_upcoming:
      return "a machine to be launched or to boot";
    case WaitCause::preemption:
      return "its victims to stop";
    case WaitCause::room_reserved:
      return "tasks to end on machines where room is reserved for it";
    case WaitCause::no_room:
      return "room on an allowed machine, as none can be launched";
    case WaitCause::quota_reserved:
      return "room under its team's limit that is reserved for a gang";
    case WaitCause::failed_machines:
      return "a machine on which its tasks have not failed; others have room";
    case WaitCause::reserved_by_others:
      return "room that is reserved for other jobs on machines where it is free";
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
