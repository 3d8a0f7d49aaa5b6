// The machines that a scheduling cycle may use, as the stages before left them: those that are up,
// those that are expected to be, and those that were asked for.
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

// Whether a machine can be given tasks in this cycle.
enum class Readiness : uint8_t {
  ready,
  upcoming,  // not up yet, or only asked for
};

// Machines of one type in one zone. What a job allows is decided once for a pool, not for each of
// its machines.
struct InstancePool {
  Offer offer;
  const MachineType* type = nullptr;  // null: not in the catalog
  std::vector<CandidateMachine*> ready;
  std::vector<CandidateMachine*> upcoming;
  std::vector<CandidateMachine*>& machines(Readiness readiness) {
    return readiness == Readiness::upcoming ? upcoming : ready;
  }
};

// Room set aside on a machine for a class of jobs or for one gang.
struct ReservedRoom {
  Resources room;
  std::string_view owner;             // the class's name or the gang's id; empty: none
  Priority priority = Priority::low;  // work of higher priority may use the room
  bool has_owner() const { return !owner.empty(); }
};

// One machine in the course of the cycle.
struct CandidateMachine {
  CandidateMachine(const cluster::Machine* cluster_machine,
                   preemption::MachineCapacity machine_capacity, const InstancePool& instance_pool,
                   Readiness readiness)
      : machine(cluster_machine),
        capacity(std::move(machine_capacity)),
        pool(&instance_pool),
        upcoming(readiness == Readiness::upcoming) {}

  const cluster::Machine* machine = nullptr;  // null: asked for
  preemption::MachineCapacity capacity;
  const InstancePool* pool;
  bool upcoming = false;
  std::vector<std::string_view> fetching_images;  // images that tasks there are waiting for
  bool gang_fetching = false;  // a whole gang waits for the slowest of its fetches
  ReservedRoom reserved;
  std::optional<size_t> record_room;  // bytes left in its record; empty: not looked at yet
  uint32_t queued_tasks = 0;          // queued on the machine, this cycle's included
  const std::string& zone() const { return pool->offer.zone; }
};

// The candidate machines of one cycle. They stay where they are in memory.
class Candidates {
 public:
  // Collects the machines that can be given work, those that are expected to be up soon, and those
  // that were asked for.
  explicit Candidates(const CycleInputs& inputs);
  Candidates(const Candidates&) = delete;
  Candidates& operator=(const Candidates&) = delete;

  // In the order of the cluster's machines, then those asked for.
  std::deque<CandidateMachine>& all() { return machines_; }
  const std::deque<CandidateMachine>& all() const { return machines_; }
  std::map<Offer, InstancePool>& pools() { return pools_; }

  // Null when the machine is no candidate. Walks all: only nominations are looked up, and they are
  // too few for an index to pay.
  CandidateMachine* find(const std::string& machine);

  // A machine that is asked for: coming, and empty. Null when the catalog lacks its type.
  CandidateMachine* add_pending(const Offer& offer);

 private:
  InstancePool& pool_of(const Offer& offer);
  InstancePool& pool_of(const cluster::Machine& machine);
  CandidateMachine& add(const cluster::Machine* machine, const cluster::Machine& model,
                        InstancePool& pool, Readiness readiness);

  const CycleInputs& inputs_;
  std::map<Offer, InstancePool> pools_;
  std::deque<CandidateMachine> machines_;
  InstancePool* last_pool_ = nullptr;  // of the machine looked at last
  // What the capacities of machines that were only asked for refer to.
  std::vector<std::unique_ptr<cluster::Machine>> placeholders_;
};

}  // namespace dunlinknot::scheduler
