// Selects the machines on which tasks can be placed, and those expected to be up soon.
#include "dunlinknot/scheduler/candidates.hpp"

#include <algorithm>

namespace dunlinknot::scheduler {

namespace {

// Whether the last heartbeat is less than two heartbeat intervals plus 1 s old: a missed heartbeat
// followed by one that is up to 1 s late is tolerated.
bool heartbeat_is_recent(const CycleInputs& inputs, const Machine& machine) {
  return inputs.now - machine.last_heartbeat <
         to_nanos(inputs.platform.heartbeat_interval * 2 + Seconds(1));
}

bool is_ready(const CycleInputs& inputs, const Machine& machine) {
  if (!machine.has_heartbeat || machine.lost || machine.draining || machine.terminating ||
      machine.listed_failed || machine.interruption_at) {
    return false;
  }
  // Only a heartbeat with this leader's fencing token proves that the machine is alive in this
  // term: one without it may be a delayed copy, even from a machine deleted long ago. A machine
  // that does not receive our responses cannot be given commands.
  if (!machine.fenced || machine.unreachable) return false;
  return heartbeat_is_recent(inputs, machine);
}

// Not up yet, or up but without this leader's fencing token in its heartbeats so far. Such machines
// count as capacity, so that no machine is launched in their place until their next heartbeat.
bool is_upcoming(const CycleInputs& inputs, const Machine& machine) {
  if (machine.draining || machine.terminating || machine.listed_failed) return false;
  return !machine.has_heartbeat || (!machine.fenced && !machine.lost && !machine.interruption_at &&
                                    heartbeat_is_recent(inputs, machine));
}

void collect_fetches(CandidateMachine& candidate) {
  for (const Allocation& allocation : candidate.machine->allocations) {
    if (allocation.queued || allocation.state != TaskState::fetching || allocation.image.empty())
      continue;
    candidate.fetching_images.push_back(allocation.image);
    candidate.gang_fetching |= allocation.gang;
  }
}

}  // namespace

Candidates::Candidates(const CycleInputs& inputs) : inputs_(inputs) {
  for (const auto& [id, machine] : inputs.cluster.machines()) {
    const bool ready = is_ready(inputs, *machine);
    const bool upcoming = is_upcoming(inputs, *machine);
    if ((!ready && !upcoming) || machine->size.cpus <= 0) continue;
    CandidateMachine& candidate = add(machine.get(), *machine, pool_of(*machine),
                                      upcoming ? Readiness::upcoming : Readiness::ready);
    candidate.queued_tasks = machine->queued_tasks;
    collect_fetches(candidate);
  }
  for (const PendingLaunch& launch : inputs.cloud_capacity.pending_launches) {
    for (uint32_t i = 0; i < launch.count; ++i) add_pending(launch.offer);
  }
}

CandidateMachine* Candidates::find(const std::string& machine) {
  const auto it =
      std::find_if(machines_.begin(), machines_.end(), [&](const CandidateMachine& candidate) {
        return candidate.machine && candidate.machine->id == machine;
      });
  return it == machines_.end() ? nullptr : &*it;
}

CandidateMachine* Candidates::add_pending(const Offer& offer) {
  const MachineType* type = inputs_.cluster.type(offer.type);
  if (!type) return nullptr;
  auto placeholder = std::make_unique<Machine>();
  placeholder->size = type->size;
  CandidateMachine& candidate = add(nullptr, *placeholder, pool_of(offer), Readiness::upcoming);
  placeholders_.push_back(std::move(placeholder));
  return &candidate;
}

InstancePool& Candidates::pool_of(const Offer& offer) {
  auto [it, is_new] = pools_.try_emplace(offer);
  if (is_new) {
    it->second.offer = offer;
    it->second.type = inputs_.cluster.type(offer.type);
  }
  return it->second;
}

InstancePool& Candidates::pool_of(const Machine& machine) {
  // Machines of one pool are mostly adjacent, since they were launched together: the previous
  // machine's pool is tried first.
  const auto matches = [&](const Offer& offer) {
    return offer.spot == machine.spot && offer.type == machine.type && offer.zone == machine.zone;
  };
  if (!last_pool_ || !matches(last_pool_->offer))
    last_pool_ = &pool_of(Offer{machine.type, machine.zone, machine.spot});
  return *last_pool_;
}

CandidateMachine& Candidates::add(const Machine* machine, const Machine& model, InstancePool& pool,
                                  Readiness readiness) {
  CandidateMachine& candidate = machines_.emplace_back(
      machine, preemption::MachineCapacity(model, inputs_.nominations, model.size), pool,
      readiness);
  pool.machines(readiness).push_back(&candidate);
  return candidate;
}

}  // namespace dunlinknot::scheduler
