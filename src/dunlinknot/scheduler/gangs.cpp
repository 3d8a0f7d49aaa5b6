// How long a gang waits for cheap room before it takes or launches what costs more.
#include "dunlinknot/scheduler/gangs.hpp"

#include <algorithm>
#include <limits>

#include "dunlinknot/scheduler/gang_placement.hpp"

namespace dunlinknot::scheduler {

namespace {

// Overdue gangs that room is reserved for at a time: more of them would leave none to others.
constexpr size_t kMaxOverdueReservations = 3;
// The share of the time for its start that a gang waits for room without accelerators.
constexpr double kMaxReservationWaitShare = 0.25;
// What is left of that time counts as at least so many seconds.
constexpr double kMinSecondsLeft = 0.1;

// The shortest time in which the job is expected to start, in seconds from its submission.
double target_wait_seconds(const CycleInputs& inputs, const QueueEntry& entry) {
  double target_wait = kDefaultDueTime.count() / 10;
  for (const auto& objective : inputs.platform.objectives) {
    const bool wait =
        objective.kind == "wait" && objective.job_class == entry.job->spec().job_class;
    if (wait || (objective.kind == "guarantee" && entry.guaranteed))
      target_wait = std::min(target_wait, objective.within.count());
  }
  return target_wait;
}

// Seconds until a machine of a type that the job may use is up, were it launched now.
double shortest_boot_seconds(const CycleState& state, const JobSpec& spec, Borrowing borrowing) {
  double shortest = std::numeric_limits<double>::max();
  for (const MachineType& type : state.cluster().catalog()) {
    if (!cluster::type_allowed(spec, type.name) || !spec.need.fits_in(type.size)) continue;
    if (may_borrow(state, spec, &type, borrowing)) shortest = std::min(shortest, type.boot.count());
  }
  return shortest;
}

}  // namespace

void GangScheduling::schedule_overdue(const std::vector<QueueEntry>& queue) {
  size_t reserved = 0;
  for (const QueueEntry& entry : queue) {
    if (reserved == kMaxOverdueReservations) return;
    if (entry.overdue && entry.job->spec().gang && !entry.job->any_live())
      reserved += place_or_reserve(*entry.job) ? 1 : 0;
  }
}

bool GangScheduling::place_or_reserve(const Job& job) {
  if (state_.quotas.tasks_allowed(job) >= job.spec().tasks &&
      place_gang(state_, job, Borrowing::any)) {
    placed_overdue_.insert(&job);
    return false;
  }
  return reservations_.reserve(job, Borrowing::any);
}

std::optional<WaitCause> GangScheduling::schedule(const QueueEntry& entry) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  if (state_.quotas.tasks_allowed(job) < spec.tasks) {
    // Its team's limit is used up by work behind it in the queue: what that leaves is saved up
    // for the gang, else smaller tasks take it piece by piece and the gang never starts.
    state_.quotas.charge(job, spec.tasks);
    state_.plan.reserved_quota[static_cast<size_t>(job.team())] += spec.need * spec.tasks;
    return WaitCause::team_limit;
  }
  // Machines with accelerators are borrowed last: a gang's task there strands accelerators for
  // as long as it runs. While other work waits for them, it first waits a moment for the room
  // that short work leaves elsewhere, and for expensive ones until there is no other room.
  // It waits for a machine to come up only where that is in time for its start, or too late in
  // any case.
  const double target_wait = target_wait_seconds(state_.inputs, entry);
  const double seconds_left = target_wait - waiting_seconds(state_.inputs, job);
  for (const Borrowing borrowing : {Borrowing::none, Borrowing::cheap, Borrowing::any}) {
    if (place_gang(state_, job, borrowing)) return std::nullopt;
    const bool last = borrowing == Borrowing::any;
    const double boot_seconds =
        last || seconds_left <= 0 ? 0 : shortest_boot_seconds(state_, spec, borrowing);
    if (boot_seconds < std::max(seconds_left, kMinSecondsLeft) &&
        (reserve_upcoming_for_gang(state_, job, borrowing) ||
         scale_out_.request_for_gang(entry, borrowing))) {
      return WaitCause::machine_upcoming;
    }
    const bool may_wait =
        borrowing != Borrowing::none ||
        (state_.accelerators_wanted &&
         waiting_seconds(state_.inputs, job) < target_wait * kMaxReservationWaitShare);
    const double max_seconds =
        last ? std::numeric_limits<double>::max() : std::max(seconds_left, 0.0);
    // Machines where its tasks strand several accelerators are not what it waits for longer.
    if (may_wait && reservations_.reserve(job, last ? Borrowing::cheap : borrowing, max_seconds))
      return WaitCause::room_reserved;
  }
  return WaitCause::no_room;
}

}  // namespace dunlinknot::scheduler
