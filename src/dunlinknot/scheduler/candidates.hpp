// The machines that a scheduling cycle may use, with the capacity that earlier stages left:
// machines that are up, that are expected to be up soon, and that were requested.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/preemption/fit.hpp"
#include "dunlinknot/scheduler/cycle_inputs.hpp"

namespace dunlinknot::scheduler {

struct CandidateMachine;

// Whether tasks can be placed on a machine in this cycle.
enum class Readiness : uint8_t {
  ready,
  upcoming,  // not up yet, or requested from the cloud
};

// Machines of one type in one zone, spot or on-demand. Whether a job may use them is decided once
// per pool, not once per machine.
struct InstancePool {
  Offer offer;
  const MachineType* type = nullptr;  // null if the catalog lacks the type
  std::vector<CandidateMachine*> ready;
  std::vector<CandidateMachine*> upcoming;
  std::vector<CandidateMachine*>& machines(Readiness readiness) {
    return readiness == Readiness::upcoming ? upcoming : ready;
  }
};

// Room reserved on a machine for a class of jobs or for one gang.
struct ReservedRoom {
  Resources room;
  std::string_view owner;  // name of the job class or id of the gang; empty: not reserved
  Priority priority = Priority::low;  // jobs of higher priority may use the room
  bool for_gang = false;              // a gang waits for it; otherwise its jobs are only expected
  bool has_owner() const { return !owner.empty(); }
};

// A machine and the capacity that the cycle's decisions so far have left on it.
struct CandidateMachine {
  CandidateMachine(const cluster::Machine* cluster_machine,
                   preemption::MachineCapacity machine_capacity, const InstancePool& instance_pool,
                   Readiness readiness)
      : machine(cluster_machine),
        capacity(std::move(machine_capacity)),
        pool(&instance_pool),
        upcoming(readiness == Readiness::upcoming) {}

  const cluster::Machine* machine = nullptr;  // null if only requested
  preemption::MachineCapacity capacity;
  const InstancePool* pool;
  bool upcoming = false;
  std::vector<std::string_view> fetching_images;  // images that tasks on the machine wait for
  bool gang_fetching = false;                     // a gang waits for one of the fetches
  ReservedRoom reserved;
  std::optional<size_t> record_room;  // bytes left in its record; empty until computed
  uint32_t queued_tasks = 0;          // on the machine, including those queued in this cycle
  const std::string& zone() const { return pool->offer.zone; }
};

// The candidate machines of one cycle. Their addresses stay valid for the cycle.
class Candidates {
 public:
  // Collects the machines that are ready, those expected to be up soon, and the pending launches.
  explicit Candidates(const CycleInputs& inputs);
  Candidates(const Candidates&) = delete;
  Candidates& operator=(const Candidates&) = delete;

  // All candidates: the cluster's machines in its order, then the requested ones.
  std::deque<CandidateMachine>& all() { return machines_; }
  const std::deque<CandidateMachine>& all() const { return machines_; }
  std::map<Offer, InstancePool>& pools() { return pools_; }

  // Null when the machine is no candidate. A linear search: it is called for nominations only,
  // which are too few to justify an index.
  CandidateMachine* find(const std::string& machine);

  // Adds an upcoming, empty machine for a launch request. Null when the catalog lacks its type.
  CandidateMachine* add_pending(const Offer& offer);

 private:
  InstancePool& pool_of(const Offer& offer);
  InstancePool& pool_of(const cluster::Machine& machine);
  CandidateMachine& add(const cluster::Machine* machine, const cluster::Machine& model,
                        InstancePool& pool, Readiness readiness);

  const CycleInputs& inputs_;
  std::map<Offer, InstancePool> pools_;
  std::deque<CandidateMachine> machines_;
  InstancePool* last_pool_ = nullptr;  // of the machine that was added last
  // Empty machines that the capacities of requested machines refer to.
  std::vector<std::unique_ptr<cluster::Machine>> placeholders_;
};

}  // namespace dunlinknot::scheduler
