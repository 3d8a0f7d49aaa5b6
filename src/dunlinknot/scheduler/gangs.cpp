// Decides how long a gang waits for machines without accelerators before it takes or launches more
// expensive ones.
#include "dunlinknot/scheduler/gangs.hpp"

#include <algorithm>
#include <limits>

#include "dunlinknot/scheduler/gang_placement.hpp"

namespace dunlinknot::scheduler {

namespace {

// Maximum number of overdue gangs with a reservation at a time: more would leave no room for other
// jobs.
constexpr size_t kMaxOverdueReservations = 3;
// The share of its target wait that a gang waits for room on machines without accelerators.
constexpr double kMaxReservationWaitShare = 0.25;
// Lower bound in seconds for the remaining target wait.
constexpr double kMinSecondsLeft = 0.1;

// The shortest wait, in seconds after submission, within which an objective expects the job to
// start; at most a tenth of the default due time.
double target_wait_seconds(const CycleInputs& inputs, const QueueEntry& entry) {
  double target_wait = kDefaultDueTime.count() / 10;
  for (const auto& objective : inputs.platform.objectives) {
    const bool wait =
        objective.kind == "wait" && objective.job_class == entry.job->spec().job_class;
    if (wait || (objective.kind == "guarantee" && entry.guaranteed))
      target_wait = std::min(target_wait, objective.time_limit.count());
  }
  return target_wait;
}

// Seconds until a machine of a type that the job may use would be up if it were launched now.
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

// A gang that was held back may also retry on machines where its tasks failed.
std::unique_ptr<ReservationWaiver> GangScheduling::waive_if_held_back(const Job& job) {
  if (!state_.is_held_back(job)) return nullptr;
  state_.allow_retry(job);
  return std::make_unique<ReservationWaiver>(state_, job);
}

bool GangScheduling::place_or_reserve(const Job& job) {
  const auto waiver = waive_if_held_back(job);
  const bool within_limit = state_.quotas.tasks_allowed(job) >= job.spec().tasks;
  if (within_limit && place_gang(state_, job, Borrowing::any)) {
    placed_overdue_.insert(&job);
    return false;
  }
  // Room that the team's limit will not let the gang use is left to other jobs.
  if (!within_limit && !state_.quotas.allows_once_jobs_end(job)) return false;
  return reservations_.reserve(job, Borrowing::any);
}

std::optional<WaitCause> GangScheduling::schedule(const QueueEntry& entry) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  const auto waiver = waive_if_held_back(job);
  if (state_.quotas.tasks_allowed(job) < spec.tasks) {
    state_.plan.jobs_at_limit.push_back(spec.id);
    reserve_quota(job);
    return WaitCause::team_limit;
  }
  auto cause = schedule_within_limit(entry);
  if (cause == WaitCause::no_room && state_.allow_retry(job)) cause = schedule_within_limit(entry);
  return cause;
}

// The team's limit does not allow all of the gang's tasks now. It is reserved for the gang:
// otherwise jobs behind it in the queue would take what becomes free piece by piece and the gang
// would never start. It is not reserved if the gang cannot start when jobs of the team have ended,
// because a service uses the limit or because there are too few machines.
void GangScheduling::reserve_quota(const Job& job) {
  const PlacementConstraints constraints = state_.cluster().constraints_of(job);
  if (scale_out_.possible(job, constraints) || reservations_.fits_once_jobs_end(job))
    state_.quotas.reserve_for_gang(job, state_.inputs.now);
}

std::optional<WaitCause> GangScheduling::schedule_within_limit(const QueueEntry& entry) {
  const Job& job = *entry.job;
  const JobSpec& spec = job.spec();
  // Machines with accelerators are borrowed last: a gang's task there strands accelerators for as
  // long as it runs. While other tasks wait for them, the gang first waits a short time for room on
  // other machines, and it uses expensive accelerator machines only when there is no other room. It
  // waits for a machine to boot only if that machine is up within the target wait, or if the target
  // wait has passed already.
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
    // Do not reserve machines where the gang's tasks would strand several accelerators.
    if (may_wait && reservations_.reserve(job, last ? Borrowing::cheap : borrowing, max_seconds))
      return WaitCause::room_reserved;
  }
  return WaitCause::no_room;
}

}  // namespace dunlinknot::scheduler
