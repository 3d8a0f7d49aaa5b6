// The rules on where tasks may be placed, and the cost by which machines are chosen.
#include "dunlinknot/scheduler/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "dunlinknot/cluster/accelerator_reserve.hpp"

namespace dunlinknot::scheduler {

namespace {

using cluster::FailureAdvice;

// The number of accelerators that one task may strand under Borrowing::cheap.
constexpr double kMaxCheapStrandedGpus = 1;
// Relative slowdown of a fetch for each other fetch in progress: they share the machine's rate.
constexpr double kSlowdownPerFetch = 0.5;
// Penalties in seconds, in addition to the fetch. Accelerators are kept for tasks that need them,
// spot machines are cheaper, and filling machines in use lets idle machines be terminated.
constexpr double kBorrowingCostSeconds = 20;
constexpr double kBorrowingCostSecondsPerGpu = 10;
constexpr double kOnDemandCostSeconds = 5;
constexpr double kEmptyMachineCostSeconds = 6;

// How many accelerators of an empty machine one task of the job, which needs none, would strand:
// the remaining cpus and memory no longer suffice to use them.
double stranded_gpus(const Cluster& cluster, const JobSpec& spec, const MachineType& type) {
  return type.size.gpus - cluster::usable_gpus(type.size - spec.need, cluster.resources_per_gpu());
}

double fetch_cost(const JobSpec& spec, const CandidateMachine& candidate) {
  const MachineType* type = candidate.pool->type;
  const bool cached = candidate.machine && candidate.machine->has_image(spec.image);
  if (cached || !type || type->fetch_gb_per_s <= 0) return 0;
  const bool image_is_being_fetched =
      std::find(candidate.fetching_images.begin(), candidate.fetching_images.end(), spec.image) !=
      candidate.fetching_images.end();
  double seconds = fetch_seconds(spec, *type);
  if (!image_is_being_fetched)
    seconds *= 1 + kSlowdownPerFetch * static_cast<double>(candidate.fetching_images.size());
  return seconds;
}

double place_cost(const JobSpec& spec, const CandidateMachine& candidate) {
  double cost = fetch_cost(spec, candidate);
  const MachineType* type = candidate.pool->type;
  if (!type) return cost;
  if (would_borrow(spec, type))
    cost += kBorrowingCostSeconds + kBorrowingCostSecondsPerGpu * type->size.gpus;
  if (spec.spot && !candidate.pool->offer.spot) cost += kOnDemandCostSeconds;
  if (type->size.cpus > 0)
    cost += kEmptyMachineCostSeconds * candidate.capacity.free().cpus / type->size.cpus;
  return cost;
}

// A job that fails on every machine avoids none: its delay keeps it from failing at a high rate.
FailureAdvice failure_advice(const CycleState& state, const Job& job,
                             const CandidateMachine& candidate) {
  if (!candidate.machine || job.failing || job.failures.empty()) return FailureAdvice::usable;
  return job.failures.advice(candidate.machine->id, candidate.machine->works_since,
                             state.inputs.now);
}

// Whether any machine type that the job may use has room for its tasks beside the reserve for the
// accelerators of an empty machine.
bool fits_beside_accelerators(const CycleState& state, const JobSpec& spec) {
  const auto& catalog = state.cluster().catalog();
  return std::any_of(catalog.begin(), catalog.end(), [&](const MachineType& type) {
    return cluster::type_allowed(spec, type.name) && spec.need.fits_in(type.size) &&
           spec.need.fits_in(type.size - cluster::reserved_for_accelerators(
                                             type.size, type.size, state.reserved_per_gpu));
  });
}

// For each free accelerator, single tasks that need none leave the cpus and memory that its next
// task will need. Otherwise machines launched for their accelerators would fill up with tasks that
// can run anywhere and are soon preempted for a guarantee. A job that could run nowhere under this
// rule is exempt.
bool leaves_room_for_accelerators(const CycleState& state, const Job& job) {
  const JobSpec& spec = job.spec();
  if (spec.gang || spec.need.gpus > 0 || state.reservations_waived(job)) return false;
  const bool reserves = state.reserved_per_gpu.cpus > 0 || state.reserved_per_gpu.memory_gb > 0;
  return reserves && fits_beside_accelerators(state, spec);
}

bool is_reserved_for_other(const CycleState& state, const Job& job, const ReservedRoom& reserved) {
  const JobSpec& spec = job.spec();
  if (!reserved.has_owner() || reserved.owner == spec.job_class || reserved.owner == spec.id)
    return false;
  if (spec.priority > reserved.priority) return false;
  return reserved.for_gang || !state.reservations_waived(job);
}

// The room on the machine that the job may use after reservations, regardless of the holds of
// nominations; empty: no restriction.
std::optional<Resources> room_after_reservations(const CycleState& state, const Job& job,
                                                 const CandidateMachine& candidate) {
  std::optional<Resources> unreserved;
  const Resources& free = candidate.capacity.free();
  const ReservedRoom& reserved = candidate.reserved;
  if (free.gpus > 0 && reserved.owner != job.spec().job_class &&
      leaves_room_for_accelerators(state, job)) {
    unreserved = free - cluster::reserved_for_accelerators(candidate.capacity.machine().size, free,
                                                           state.reserved_per_gpu);
  }
  if (is_reserved_for_other(state, job, reserved))
    unreserved = unreserved.value_or(free) - reserved.room;
  return unreserved;
}

// How many tasks fit into this room, up to `max_tasks`. Unlike in preemption::tasks_that_fit_in, a
// resource that the task does not need sets no limit, even where a negative amount of it is left.
uint32_t tasks_in_unreserved_room(const Resources& unreserved, const Resources& need,
                                  uint32_t max_tasks) {
  const auto limit = [&](double available, double needed) {
    if (needed <= 0) return;
    const double fitting_tasks = std::floor((available + Resources::kTolerance) / needed);
    max_tasks = fitting_tasks <= 0 ? 0 : std::min(max_tasks, static_cast<uint32_t>(fitting_tasks));
  };
  limit(unreserved.cpus, need.cpus);
  limit(unreserved.gpus, need.gpus);
  limit(unreserved.memory_gb, need.memory_gb);
  return max_tasks;
}

}  // namespace

bool would_borrow(const JobSpec& spec, const MachineType* type) {
  return spec.need.gpus <= 0 && type && type->size.gpus > 0;
}

bool may_borrow(const CycleState& state, const JobSpec& spec, const MachineType* type,
                Borrowing borrowing) {
  if (borrowing == Borrowing::any || !would_borrow(spec, type)) return true;
  return borrowing == Borrowing::cheap &&
         !(state.accelerators_wanted &&
           stranded_gpus(state.cluster(), spec, *type) > kMaxCheapStrandedGpus);
}

bool excluded_by_failures(const CycleState& state, const Job& job,
                          const CandidateMachine& candidate) {
  switch (failure_advice(state, job, candidate)) {
    case FailureAdvice::usable:
      return false;
    case FailureAdvice::last_resort:
      return !state.may_retry(job);
    case FailureAdvice::avoided:
      return true;
  }
  return false;
}

bool is_last_resort(const CycleState& state, const Job& job, const CandidateMachine& candidate) {
  return failure_advice(state, job, candidate) == FailureAdvice::last_resort;
}

bool may_use(const CycleState& state, const Job& job, CandidateMachine& candidate) {
  if (!candidate.machine) return true;
  if (excluded_by_failures(state, job, candidate)) return false;
  const Cluster& cluster = state.cluster();
  if (!candidate.record_room) {
    const size_t size = cluster.record_size(*candidate.machine);
    candidate.record_room = size < cluster.record_limit() ? cluster.record_limit() - size : 0;
  }
  return tasks_allowed_by_record(cluster, job, candidate) > 0;
}

bool may_place(const CycleState& state, const Job& job, CandidateMachine& candidate) {
  return offer_allowed(job.spec(), candidate.pool->offer) && may_use(state, job, candidate);
}

uint32_t tasks_allowed_by_record(const Cluster& cluster, const Job& job,
                                 const CandidateMachine& candidate) {
  if (!candidate.record_room) return std::numeric_limits<uint32_t>::max();
  const Cluster::RecordCost cost = cluster.record_cost(job);
  const size_t bytes_left =
      *candidate.record_room - std::min(*candidate.record_room, cost.group_bytes);
  return static_cast<uint32_t>(bytes_left / cost.task_bytes);
}

void reserve_record_space(const Cluster& cluster, const Job& job, CandidateMachine& candidate,
                          uint32_t tasks) {
  if (!candidate.record_room) return;
  const Cluster::RecordCost cost = cluster.record_cost(job);
  *candidate.record_room -=
      std::min(*candidate.record_room, cost.group_bytes + cost.task_bytes * tasks);
}

uint32_t tasks_that_fit(const CycleState& state, const Job& job, const CandidateMachine& candidate,
                        uint32_t max_tasks) {
  const JobSpec& spec = job.spec();
  max_tasks = std::min(max_tasks, tasks_allowed_by_record(state.cluster(), job, candidate));
  if (const auto unreserved = room_after_reservations(state, job, candidate))
    max_tasks = tasks_in_unreserved_room(*unreserved, spec.need, max_tasks);
  if (max_tasks == 0) return 0;
  return candidate.capacity.count(spec.need, spec.priority, max_tasks);
}

uint32_t tasks_on_empty_machine(const CycleState& state, const Job& job, const MachineType& type,
                                uint32_t max_tasks) {
  const Resources& need = job.spec().need;
  if (leaves_room_for_accelerators(state, job)) {
    const Resources unreserved = type.size - cluster::reserved_for_accelerators(
                                                 type.size, type.size, state.reserved_per_gpu);
    max_tasks = tasks_in_unreserved_room(unreserved, need, max_tasks);
  }
  return preemption::tasks_that_fit_in(type.size, need, max_tasks);
}

std::vector<RankedCandidate> ranked_candidates(CycleState& state, const Job& job,
                                               Readiness readiness, Borrowing borrowing) {
  const JobSpec& spec = job.spec();
  std::vector<RankedCandidate> ranked;
  for (auto& [offer, pool] : state.candidates.pools()) {
    if (!offer_allowed(spec, offer)) continue;
    if (!may_borrow(state, spec, pool.type, borrowing)) continue;
    for (CandidateMachine* candidate : pool.machines(readiness)) {
      if (!spec.need.fits_in(candidate->capacity.free()) || !may_use(state, job, *candidate))
        continue;
      ranked.push_back({place_cost(spec, *candidate), candidate});
    }
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const RankedCandidate& a, const RankedCandidate& b) { return a.cost < b.cost; });
  return ranked;
}

void place_tasks(CycleState& state, const Job& job, CandidateMachine& candidate, uint32_t tasks,
                 std::vector<uint64_t> ends_nominations) {
  candidate.capacity.take(job.spec().need * tasks);
  state.quotas.charge(job, tasks);
  candidate.fetching_images.push_back(job.spec().image);
  reserve_record_space(state.cluster(), job, candidate, tasks);
  state.plan.placements.push_back(
      {job.spec().id, candidate.machine->id, tasks, std::move(ends_nominations)});
}

double fetch_seconds(const JobSpec& spec, const MachineType& type) {
  return type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s : 0;
}

double tasks_per_slot_until_due(const QueueEntry& entry, const MachineType& type,
                                double ready_in_seconds) {
  const JobSpec& spec = entry.job->spec();
  if (spec.service) return 1;  // its replicas do not end
  const double run_seconds = std::max(1.0, spec.estimate.count());
  const double available_seconds =
      std::max(run_seconds, entry.due - ready_in_seconds - fetch_seconds(spec, type));
  return std::max(1.0, std::floor(available_seconds / run_seconds));
}

}  // namespace dunlinknot::scheduler
