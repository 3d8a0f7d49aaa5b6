// Failover, jobs, machines, and the expiry of workers' leases.
#include "dunlinknot/cluster/cluster.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/find.hpp"
#include "dunlinknot/kv/limits.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::cluster {

namespace {

// How long removed machines are remembered. This is far longer than a heartbeat can be in flight.
constexpr auto kRemovedMachineRetention = std::chrono::minutes(5);
// 1/16 of the maximum record size is reserved for orphans.
constexpr size_t kOrphanReserveDivisor = 16;

// The smaller of the value size limits of the key-value store, the current and the next one.
size_t min_value_bytes(const settings::Platform& platform) {
  return kv::Limits(platform.store_limits, platform.next_store_limits).value_bytes();
}

}  // namespace

Cluster::Cluster(const settings::Platform& platform, const settings::Operator& operator_settings)
    : platform_(platform),
      former_leader_renewal_window_(leadership::former_leader_renewal_window(platform)),
      lease_(leadership::worker_lease_bound(platform)),
      storable_in_chunk_(wire::storable_chunk_tasks(min_value_bytes(platform))),
      record_limit_(min_value_bytes(platform) - min_value_bytes(platform) / kOrphanReserveDivisor),
      allocations_(platform),
      forecasts_(platform),
      replica_backoff_(operator_settings),
      failure_detector_(operator_settings, lease_),
      reconciler_(allocations_, write_queue_, replica_backoff_, failure_detector_, lease_),
      worker_commands_(allocations_),
      interruptions_(platform, allocations_) {}

// The catalog, `has_pending_work_` of the last scheduling cycle and the count of refused
// allocations are kept across terms.
void Cluster::begin_term(uint64_t epoch, Instant now) {
  epoch_ = epoch;
  attempts_ = 0;
  term_since_ = now;
  allocations_.clear();
  forecasts_.clear();
  write_queue_.clear();
  replica_backoff_.clear();
  terminating_.clear();
  removed_.clear();
  obsolete_records_.clear();
  runnable_.clear();
  reserved_machines_.clear();
  reserved_per_gpu_ = {};
}

uint64_t Cluster::next_attempt() {
  return epoch_ << kAttemptEpochShift | ++attempts_;
}

int Cluster::team_index(std::string_view name) const {
  for (size_t i = 0; i < platform_.teams.size(); ++i) {
    if (platform_.teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void Cluster::load_job(wire::JobRecord record, uint64_t mod_revision, Instant now) {
  const std::string id = record.spec.id;
  std::unique_ptr<Job>& loaded = allocations_.jobs()[id];
  if (loaded) {
    loaded->mod_revision = mod_revision;
    return;
  }
  forecasts_.add(record.spec, record.submitted);
  const int team = team_index(record.spec.team);
  loaded = std::make_unique<Job>(std::move(record.spec), record.submitted, mod_revision, team, now,
                                 storable_in_chunk_);
  allocations_.count_earlier_allocations(*loaded);
}

void Cluster::load_progress(const std::string& id, uint32_t chunk, wire::View value,
                            uint64_t mod_revision) {
  Job* open_job = job(id);
  if (!open_job) return;
  std::vector<bool> bits(open_job->spec().tasks);
  if (wire::read_done_chunk(value, chunk, bits)) open_job->load_chunk(chunk, bits, mod_revision);
}

// Safety 1, no task runs twice: a new leader adopts every allocation that a former leader stored.
// Whether their tasks are running is determined from heartbeats with our fencing token.
void Cluster::load_machine(const std::string& id, const wire::MachineRecord& record,
                           uint64_t mod_revision, Instant now) {
  Machine& machine = register_machine(id, record.type, record.zone, record.spot, now);
  machine.address = record.address;
  machine.mod_revision = mod_revision;
  machine.stored.clear();
  for (const auto& group : record.groups) {
    const Job* open_job = job(group.job);
    for (const auto& [index, attempt] : group.tasks) {
      Allocation allocation;
      // Fields in the record override those of the job, which may be closed.
      if (open_job) allocation.copy_from(*open_job);
      allocation.task = TaskRef{group.job, index};
      allocation.attempt = attempt;
      allocation.team_name = group.team;
      allocation.team = team_index(group.team);
      allocation.need = group.need;
      allocation.gang = group.gang;
      allocation.phase = AllocationPhase::inherited;
      allocation.placed_at = now;
      machine.stored.push_back({allocation.task, attempt});
      allocations_.add(machine, std::move(allocation));
    }
  }
}

Effects Cluster::close_job(const std::string& id, bool cancelled, Instant now) {
  Effects effects;
  JobTable& jobs = allocations_.jobs();
  const auto it = jobs.find(id);
  if (it == jobs.end()) return effects;
  for (const auto& [chunk, mod_revision] : it->second->chunk_mod_revisions)
    obsolete_records_.push_back({wire::done_key(id, chunk), mod_revision});
  jobs.erase(it);
  effects.schedule = true;
  // Safety 3, completions and cancellations are durable before they are acknowledged: no task of a
  // closed job starts, and all tasks of a cancelled job are stopped on all machines. Allocations
  // for which this leader sent no `run` end immediately; the others are kept until their tasks have
  // ended.
  for (Machine* machine : std::vector(holders(id))) {
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      Allocation& allocation = machine->allocations[i];
      if (allocation.task.job != id) continue;
      if (allocation.unsent()) {
        effects |= allocations_.end(*machine, i, now);
      } else if (cancelled) {
        stop(*machine, allocation, StopReason::cancelled, Seconds(0), now);
        effects.stops = true;
      }
    }
  }
  return effects;
}

void Cluster::apply_catalog(Machine& machine) const {
  const MachineType* machine_type = type(machine.type);
  if (!machine_type) return;
  machine.size = machine_type->size;
  machine.cache_gb = machine_type->cache_gb;
  machine.fetch_gb_per_s = machine_type->fetch_gb_per_s;
}

void Cluster::set_catalog(std::vector<MachineType> types) {
  catalog_ = std::move(types);
  for (auto& [id, machine] : machines()) apply_catalog(*machine);
}

const MachineType* Cluster::type(std::string_view name) const {
  return find_where(catalog_,
                    [&](const MachineType& machine_type) { return machine_type.name == name; });
}

Machine& Cluster::register_machine(const std::string& id, std::string_view type_name,
                                   std::string_view zone, bool spot, Instant now) {
  std::unique_ptr<Machine>& machine = machines()[id];
  if (machine) return *machine;
  machine = std::make_unique<Machine>();
  machine->id = id;
  machine->type = type_name;
  machine->zone = zone;
  machine->spot = spot;
  machine->known_since = now;
  machine->idle_since = now;
  machine->terminating = terminating_.contains(id);
  apply_catalog(*machine);
  return *machine;
}

void Cluster::mark_terminating(const std::string& id) {
  terminating_.insert(id);
  if (Machine* machine = find_machine(id)) machine->terminating = true;
}

Effects Cluster::remove_machine(const std::string& id, Instant now) {
  Effects effects;
  const auto it = machines().find(id);
  if (it == machines().end()) {
    removed_[id] = now;
    return effects;
  }
  Machine& machine = *it->second;
  effects |= allocations_.end_all(machine, now);
  if (machine.mod_revision != 0 || !machine.mod_revision_known)
    obsolete_records_.push_back({wire::machine_key(id), machine.mod_revision});
  // Prevents `set_reserved` from writing to a destroyed machine.
  std::erase(reserved_machines_, &machine);
  machines().erase(it);
  std::erase_if(removed_, [&](const auto& removed) {
    return now - removed.second > kRemovedMachineRetention;
  });
  removed_[id] = now;
  effects.schedule = true;
  return effects;
}

std::vector<std::string> Cluster::unreachable_machines() const {
  return FailureDetector::unreachable(machines());
}

Instant Cluster::latest_possible_renewal(const Machine& machine) const {
  // Safety 1, no task runs twice: the former leader may still renew the lease of a worker that has
  // not yet sent our fencing token, until its renewal window ends.
  return machine.fenced
             ? machine.last_response
             : std::max(machine.last_response, term_since_ + former_leader_renewal_window_);
}

Instant Cluster::lease_expiry(const Machine& machine) const {
  return latest_possible_renewal(machine) + lease_;
}

Effects Cluster::expire_leases(Instant now) {
  Effects effects;
  for (auto& [id, machine] : machines()) {
    if (machine->lost) continue;
    // There is nothing to end on a machine without heartbeats and allocations.
    if (!machine->has_heartbeat && machine->allocations.empty()) continue;
    if (now < lease_expiry(*machine)) continue;
    spdlog::info("machine {}: the lease of its worker expired; ending its {} allocations",
                 machine->id, machine->allocations.size());
    machine->lost = machine->has_heartbeat;
    machine->images.clear();
    effects |= allocations_.end_all(*machine, now);
    effects.schedule = true;
  }
  return effects;
}

Effects Cluster::tick(Instant now) {
  Effects effects;
  for (auto& [id, machine] : machines()) {
    effects.schedule |= failure_detector_.end_drain_if_due(*machine, now);
    effects |= interruptions_.tick(*machine, now);
  }
  effects.schedule |= replica_backoff_.release_due(jobs(), now);
  effects.stops |= allocations_.stop_calls().any();
  return effects;
}

size_t Cluster::allocation_count() const {
  size_t count = 0;
  for (const auto& [id, machine] : machines()) count += machine->allocations.size();
  return count;
}

}  // namespace dunlinknot::cluster
