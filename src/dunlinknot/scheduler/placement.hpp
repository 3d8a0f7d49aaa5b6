// Rules shared by the stages that place tasks: where the tasks of a job may be placed, how many fit
// there, and what each placement costs.
#pragma once
#include <cstdint>
#include <vector>

#include "dunlinknot/scheduler/cycle_state.hpp"
#include "dunlinknot/scheduler/job_queue.hpp"

namespace dunlinknot::scheduler {

// Whether tasks that need no accelerators may use machines that have some.
enum class Borrowing : uint8_t {
  none,   // never
  cheap,  // where a task strands few accelerators, or nobody waits for them
  any,
};

// A candidate machine and the cost of placing a task there; lower is better.
struct RankedCandidate {
  double cost = 0;
  CandidateMachine* candidate = nullptr;
};

// Whether the job may run on machines of the offer, regardless of where its other tasks are.
inline bool offer_allowed(const JobSpec& spec, const Offer& offer) {
  return cluster::pool_allowed(spec, offer.type, offer.zone, offer.spot);
}

// Whether the job needs no accelerators and machines of this type have some. `type` may be null.
bool would_borrow(const JobSpec& spec, const MachineType* type);
// Whether the job may use machines of this type under the given borrowing rule. `type` may be null.
bool may_borrow(const CycleState& state, const JobSpec& spec, const MachineType* type,
                Borrowing borrowing);

// Whether the job avoids this machine in this cycle because its tasks failed there.
bool excluded_by_failures(const CycleState& state, const Job& job,
                          const CandidateMachine& candidate);
// Whether the job may use this machine only as a last resort, one task at a time, because its tasks
// failed there.
bool is_last_resort(const CycleState& state, const Job& job, const CandidateMachine& candidate);
// Whether the job may use this machine, given that it may use the pool: it does not avoid it,
// and the machine's record has room. Computes the room in the record on the first call per machine.
bool may_use(const CycleState& state, const Job& job, CandidateMachine& candidate);
// The same for a machine of any pool; checks also whether the job may use the pool.
bool may_place(const CycleState& state, const Job& job, CandidateMachine& candidate);

// How many more tasks of the job fit into the machine's record.
uint32_t tasks_allowed_by_record(const Cluster& cluster, const Job& job,
                                 const CandidateMachine& candidate);
// Subtracts the tasks from the room left in the machine's record.
void reserve_record_space(const Cluster& cluster, const Job& job, CandidateMachine& candidate,
                          uint32_t tasks);

// How many tasks of the job fit on the machine now, up to `max_tasks`, in addition to the holds of
// nominations, the room reserved for others, and what its free accelerators will need.
uint32_t tasks_that_fit(const CycleState& state, const Job& job, const CandidateMachine& candidate,
                        uint32_t max_tasks);

// How many tasks of the job would be placed on an empty machine of this type, up to `max_tasks`,
// under the same rules. A machine of a type with none must not be launched for the job.
uint32_t tasks_on_empty_machine(const CycleState& state, const Job& job, const MachineType& type,
                                uint32_t max_tasks);

// The candidates that the job may use and that have room for one task, cheapest first; ties keep
// the order of the pools. The cost is the seconds until a task would start there, plus penalties
// for capacity that it would block.
std::vector<RankedCandidate> ranked_candidates(CycleState& state, const Job& job,
                                               Readiness readiness,
                                               Borrowing borrowing = Borrowing::any);

// Places tasks of an array or a service on a ready machine: takes the room, charges the team and
// adds to the plan. `ends_nominations`: the nominations that the tasks use.
void place_tasks(CycleState& state, const Job& job, CandidateMachine& candidate, uint32_t tasks,
                 std::vector<uint64_t> ends_nominations);

// Seconds to fetch the job's image on a machine of this type; 0 when unknown.
double fetch_seconds(const JobSpec& spec, const MachineType& type);

// How many tasks can run one after another in a slot on a machine of this type that is ready in
// `ready_in_seconds`, before the job is due; at least one.
double tasks_per_slot_until_due(const QueueEntry& entry, const MachineType& type,
                                double ready_in_seconds);

}  // namespace dunlinknot::scheduler
