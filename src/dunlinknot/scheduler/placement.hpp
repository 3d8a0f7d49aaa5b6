// Where the tasks of a job may go, how many fit there, and what each place costs. The stages that
// place tasks share these rules.
#pragma once
#include <cstdint>
#include <vector>

#include "dunlinknot/scheduler/cycle_state.hpp"
#include "dunlinknot/scheduler/job_queue.hpp"

namespace dunlinknot::scheduler {

// Whether tasks that need no accelerators may use machines that have some.
enum class Borrowing : uint8_t {
  none,   // not at all
  cheap,  // where a task keeps few accelerators from use, or none are wanted
  any,
};

// A candidate and what a task there would cost; lower is better.
struct RankedCandidate {
  double cost = 0;
  CandidateMachine* candidate = nullptr;
};

// Whether the job may run on machines of the offer, wherever its other tasks are.
inline bool offer_allowed(const JobSpec& spec, const Offer& offer) {
  return cluster::pool_allowed(spec, offer.type, offer.zone, offer.spot);
}

// Whether the job needs no accelerators and machines of this type have some. `type` may be null.
bool would_borrow(const JobSpec& spec, const MachineType* type);
// Whether the job may use machines of this type, which may be null, by the rule on borrowing.
bool may_borrow(const CycleState& state, const JobSpec& spec, const MachineType* type,
                Borrowing borrowing);

// Whether the job may use this machine of a pool that it allows: it has not failed there, and the
// machine's record has room. Looks the record's room up at the first call for a machine.
bool may_use(const CycleState& state, const Job& job, CandidateMachine& candidate);
// The same for a machine of any pool.
bool may_place(const CycleState& state, const Job& job, CandidateMachine& candidate);

// How many more tasks of the job the machine's record has room for.
uint32_t tasks_allowed_by_record(const Cluster& cluster, const Job& job,
                                 const CandidateMachine& candidate);
// Takes the tasks out of the room that the machine's record has left.
void reserve_record_space(const Cluster& cluster, const Job& job, CandidateMachine& candidate,
                          uint32_t tasks);

// How many tasks of the job fit on the machine now, up to `most`: beside the holds of nominations,
// what is reserved for others, and what the machine's free accelerators will need.
uint32_t tasks_that_fit(const CycleState& state, const Job& job, const CandidateMachine& candidate,
                        uint32_t max_tasks);

// The candidates that the job may use and that have room for one task, the cheapest first; among
// equals in the order of the pools. The cost is the seconds until a task would run there, and what
// it would block.
std::vector<RankedCandidate> ranked_candidates(CycleState& state, const Job& job,
                                               Readiness readiness,
                                               Borrowing borrowing = Borrowing::any);

// Places tasks of an array or a service on a machine that is ready: takes the room, charges the
// team and adds to the plan. `ends_nominations`: those that the tasks use up.
void place_tasks(CycleState& state, const Job& job, CandidateMachine& candidate, uint32_t tasks,
                 std::vector<uint64_t> ends_nominations);

// Seconds that fetching the job's image takes on a machine of this type; 0 when not known.
double fetch_seconds(const JobSpec& spec, const MachineType& type);

// How often a place on a machine of this type that is up in `up_in` seconds can be used before the
// job is due; at least once.
double tasks_per_slot_until_due(const QueueEntry& entry, const MachineType& type,
                                double ready_in_seconds);

}  // namespace dunlinknot::scheduler
