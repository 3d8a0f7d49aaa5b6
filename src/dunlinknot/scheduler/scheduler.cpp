// Entry point of the scheduler, and the texts of wait causes.
#include "dunlinknot/scheduler/scheduler.hpp"

#include "dunlinknot/scheduler/scheduling_cycle.hpp"

namespace dunlinknot::scheduler {

std::string_view text(WaitCause cause) {
  switch (cause) {
    case WaitCause::team_limit:
      return "its team's limit is used up";
    case WaitCause::queued_on_machine:
      return "queued on a machine until a task there ends";
    case WaitCause::machine_upcoming:
      return "a machine to be launched or to boot";
    case WaitCause::preemption:
      return "victims that are being stopped for it";
    case WaitCause::room_reserved:
      return "tasks to end on machines where room is reserved for it";
    case WaitCause::no_room:
      return "no allowed machine has room and none can be launched";
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
