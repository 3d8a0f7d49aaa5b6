// Take-over, jobs and machines; expiry of leases and interruptions.
#include "dunlinknot/cluster/cluster.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/find.hpp"
#include "dunlinknot/kv/limits.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::cluster {

namespace {

constexpr auto kRememberGone = std::chrono::minutes(5);
constexpr Millis kRecent = std::chrono::minutes(4);
constexpr Seconds kSaveSlack{4};
constexpr size_t kOrphanShare = 16;  // one part in so many of a record is left to orphans

// The least of what the key-value store takes now and later.
size_t smallest_value(const settings::Platform& platform) {
  return kv::Limits(platform.store_limits, platform.next_store_limits).value_bytes();
}

}  // namespace

bool Machine::has_image(std::string_view image) const {
  return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.name == image; });
}

Allocation* Machine::find(const TaskRef& task, uint64_t attempt) {
  return find_where(allocations, [&](const Allocation& allocation) {
    return allocation.attempt == attempt && allocation.task == task;
  });
}

Cluster::Cluster(const settings::Platform& platform, const settings::Operator& operator_settings)
    : platform_(platform),
      op_(operator_settings),
      former_leader_window_(leadership::former_leader_renewal_window(platform)),
      lease_(leadership::worker_lease_bound(platform)),
      storable_in_chunk_(wire::storable_chunk_tasks(smallest_value(platform))),
      record_limit_(smallest_value(platform) - smallest_value(platform) / kOrphanShare),
      usage_(platform.teams.size()) {}

void Cluster::begin_term(uint64_t epoch, Instant now) {
  epoch_ = epoch;
  attempts_ = 0;
  term_since_ = now;
  jobs_.clear();
  machines_.clear();
  holders_.clear();
  forecasts_.clear();  // the jobs still open are loaded anew
  urgent_machines_.clear();
  dirty_machines_.clear();
  runnable_.clear();
  held_machines_.clear();
  saved_.clear();
  removed_.clear();
  terminating_.clear();
  stop_machines_.clear();
  dead_records_.clear();
  backing_off_jobs_.clear();
  replica_restarts_ = {};
  usage_.assign(platform_.teams.size(), TeamUsage{});
}

// Attempts never repeat: a leader numbers its own below its epoch.
uint64_t Cluster::next_attempt() {
  return epoch_ << 24 | ++attempts_;
}

int Cluster::team_index(std::string_view name) const {
  for (size_t i = 0; i < platform_.teams.size(); ++i) {
    if (platform_.teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void Cluster::load_job(wire::JobRecord record, uint64_t mod_revision, Instant now) {
  const std::string id = record.spec.id;
  if (jobs_.contains(id)) {
    jobs_[id]->mod_revision = mod_revision;
    return;
  }
  const int team = team_index(record.spec.team);
  if (const Resources& need = record.spec.need; need.gpus > 0) {
    // A maximum that fades: large tasks of a while ago should not count for ever.
    const auto seen = [](double& most, double now_seen) {
      most = std::max(now_seen, most * 0.95 + now_seen * 0.05);
    };
    seen(resources_per_gpu_.cpus, need.cpus / need.gpus);
    seen(resources_per_gpu_.memory_gb, need.memory_gb / need.gpus);
  }
  // The shortest of the class's aims for its start; each job is counted once, however many there
  // are.
  std::optional<Seconds> within;
  for (const auto& o : platform_.objectives) {
    if (o.kind != "wait" || o.job_class != record.spec.job_class) continue;
    within = within ? std::min(*within, o.within) : o.within;
  }
  if (within) {
    DemandForecast& forecast = forecasts_[record.spec.job_class];
    forecast.sample = record.spec;
    forecast.within = *within;
    forecast.images[record.spec.image] = record.submitted;
    forecast.arrivals.emplace_back(record.submitted, record.spec.tasks);
    const WallTime old = record.submitted - kRecent;
    std::erase_if(forecast.arrivals, [&](const auto& a) { return a.first < old; });
    std::erase_if(forecast.images, [&](const auto& i) { return i.second < old; });
  }
  auto& loaded = jobs_[id] = std::make_unique<Job>(std::move(record.spec), record.submitted,
                                                   mod_revision, team, now, storable_in_chunk_);
  count_earlier_allocations(*loaded);
}

// Allocations of a job that became known after them, such as an orphan's: its tasks are not free to
// be placed again.
void Cluster::count_earlier_allocations(Job& job) {
  for (const Machine* machine : holders(job.spec().id)) {
    for (const Allocation& allocation : machine->allocations) {
      if (allocation.task.job == job.spec().id) count_for_job(job, allocation);
    }
  }
}

void Cluster::load_done(const std::string& id, uint32_t chunk, wire::View value,
                        uint64_t mod_revision) {
  Job* open_job = job(id);
  if (!open_job) return;
  std::vector<bool> bits(open_job->spec().tasks);
  if (wire::read_done_chunk(value, chunk, bits)) open_job->load_chunk(chunk, bits, mod_revision);
}

// Safety 1: a new leader allocates everything that any former leader allocated. What of it really
// runs is for the workers to say, under our fencing token.
void Cluster::load_machine(const std::string& id, const wire::MachineRecord& record,
                           uint64_t mod_revision, Instant now) {
  Machine& machine = register_machine(id, record.type, record.zone, record.spot, now);
  machine.address = record.address;
  machine.mod_revision = mod_revision;
  machine.stored.clear();
  for (const auto& g : record.groups) {
    const Job* open_job = job(g.job);
    for (const auto& [index, attempt] : g.tasks) {
      Allocation allocation;
      allocation.task = TaskRef{g.job, index};
      allocation.attempt = attempt;
      allocation.team_name = g.team;
      allocation.team = team_index(g.team);
      allocation.need = g.need;
      allocation.gang = g.gang;
      if (open_job)
        allocation.image = open_job->spec().image, allocation.estimate = open_job->spec().estimate;
      allocation.service = open_job && open_job->spec().service;
      allocation.priority = open_job ? open_job->spec().priority : Priority::low;
      allocation.phase = Phase::inherited;
      allocation.placed_at = now;
      machine.stored.emplace_back(allocation.task, attempt);
      add_allocation(machine, std::move(allocation));
    }
  }
}

Job* Cluster::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* Cluster::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Effects Cluster::close_job(const std::string& id, bool cancelled, Instant now) {
  Effects effects;
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return effects;
  for (const auto& [n, mod_revision] : it->second->chunk_mod_revisions) {
    dead_records_.emplace_back(wire::done_key(id, n), mod_revision);
  }
  jobs_.erase(it);
  effects.schedule = true;
  // Safety 3: nothing of a closed job starts, and all of a cancelled one is stopped everywhere.
  // Allocations whose `run` never went out under us are simply undone; the others stay allocated
  // until they are gone.
  for (Machine* machine : std::vector(holders(id))) {
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      Allocation& allocation = machine->allocations[i];
      if (allocation.task.job != id) continue;
      if (allocation.unsent()) {
        effects |= end_allocation(*machine, i, now);
      } else if (cancelled) {
        stop(*machine, allocation, StopReason::cancelled, Seconds(0), now);
        effects.stops = true;
      }
    }
  }
  return effects;
}

void Cluster::set_catalog(std::vector<MachineType> types) {
  catalog_ = std::move(types);
  for (auto& [id, machine] : machines_) {
    if (const MachineType* machine_type = type(machine->type)) {
      machine->size = machine_type->size;
      machine->cache_gb = machine_type->cache_gb;
      machine->fetch_gb_per_s = machine_type->fetch_gb_per_s;
    }
  }
}

const MachineType* Cluster::type(std::string_view name) const {
  return find_where(catalog_,
                    [&](const MachineType& machine_type) { return machine_type.name == name; });
}

Machine* Cluster::find_machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine& Cluster::register_machine(const std::string& id, std::string_view type_name,
                                   std::string_view zone, bool spot, Instant now) {
  auto& slot = machines_[id];
  if (slot) return *slot;
  slot = std::make_unique<Machine>();
  slot->id = id;
  slot->type = type_name;
  slot->zone = zone;
  slot->spot = spot;
  slot->known_since = now;
  slot->idle_since = now;
  slot->terminating = terminating_.contains(id);
  if (const MachineType* machine_type = type(type_name)) {
    slot->size = machine_type->size;
    slot->cache_gb = machine_type->cache_gb;
    slot->fetch_gb_per_s = machine_type->fetch_gb_per_s;
  }
  return *slot;
}

void Cluster::mark_terminating(const std::string& id) {
  terminating_.insert(id);
  if (Machine* machine = find_machine(id)) machine->terminating = true;
}

Effects Cluster::remove_machine(const std::string& id, Instant now) {
  Effects effects;
  const auto it = machines_.find(id);
  if (it == machines_.end()) {
    removed_[id] = now;
    return effects;
  }
  Machine& machine = *it->second;
  while (!machine.allocations.empty())
    effects |= end_allocation(machine, machine.allocations.size() - 1, now);
  if (machine.mod_revision != 0 || !machine.mod_revision_known)
    dead_records_.emplace_back(wire::machine_key(id), machine.mod_revision);
  std::erase(held_machines_, &machine);  // found on reading: it was written to after it was gone
  machines_.erase(it);
  std::erase_if(removed_, [&](const auto& g) { return now - g.second > kRememberGone; });
  removed_[id] = now;
  effects.schedule = true;
  return effects;
}

Instant Cluster::lease_counted_from(const Machine& machine) const {
  // Safety 1: a worker that never bore our fencing token may still be answered by the leader before
  // us, until that one's window is over.
  return machine.fenced ? machine.last_answered
                        : std::max(machine.last_answered, term_since_ + former_leader_window_);
}

Instant Cluster::lease_expiry(const Machine& machine) const {
  return lease_counted_from(machine) + lease_;
}

Effects Cluster::expire(Instant now) {
  Effects effects;
  for (auto& [id, machine] : machines_) {
    if (machine->lost) continue;
    if (!machine->has_heartbeat && machine->allocations.empty())
      continue;  // nothing of ours was ever there
    if (now < lease_expiry(*machine)) continue;
    spdlog::info("machine {}: its lease expired, {} allocations end", machine->id,
                 machine->allocations.size());
    machine->lost = machine->has_heartbeat;
    machine->images.clear();
    while (!machine->allocations.empty())
      effects |= end_allocation(*machine, machine->allocations.size() - 1, now);
    effects.schedule = true;
  }
  return effects;
}

Effects Cluster::tick(Instant now) {
  Effects effects;
  const Nanos silent = to_nanos(platform_.heartbeat_interval * 2 + Seconds(1));
  for (auto& [id, machine] : machines_) {
    // What waits on a machine that nothing is heard of, or that will not get it, goes elsewhere.
    // Found on days of our own with machines that fail their tasks: a drained one gets no `run`, so
    // what was allocated there and not sent yet stayed for good, and its job with it.
    if (machine->interruption_at || machine->draining || machine->terminating ||
        machine->unreachable ||
        (machine->has_heartbeat && now - machine->last_heartbeat >= silent)) {
      for (size_t i = machine->allocations.size(); i-- > 0;) {
        if (i < machine->allocations.size() && machine->allocations[i].unsent())
          effects |= end_allocation(*machine, i, now);
      }
    }
    move_replicas(*machine, now);
    if (!machine->interruption_at) continue;
    for (size_t i = machine->allocations.size(); i-- > 0;) {
      Allocation& allocation = machine->allocations[i];
      const Job* open_job = job(allocation.task.job);
      if (!open_job || allocation.stopping() || open_job->spec().checkpoint <= Seconds(0)) continue;
      const Seconds left = to_seconds(*machine->interruption_at - now);
      if (left > open_job->spec().save + kSaveSlack) continue;
      // Saved before the machine goes. A gang saves as a whole or not at all: all its tasks are
      // told in the same moment, well inside gang_peer_s of one another.
      if (allocation.gang) {
        stop_gang(allocation.task.job, allocation.attempt,
                  open_job->spec().save + platform_.gang_peer, now);
      } else {
        stop(*machine, allocation, StopReason::interruption, open_job->spec().save + Seconds(1),
             now);
      }
    }
  }
  effects |= release_backed_off(now);
  if (!stop_machines_.empty()) effects.stops = true;
  return effects;
}

// A replica never ends by itself: it leaves a machine that is interrupted as late as the stop and
// the report of it are sure to get there and back. One that runs on a drained machine stays: a
// machine that fails what it starts does no harm to what runs (cellarline-qld-next, day `troubles`:
// stopping them there cost more served time than the loss of machines).
void Cluster::move_replicas(Machine& machine, Instant now) {
  if (!machine.interruption_at ||
      *machine.interruption_at - now > to_nanos(platform_.heartbeat_interval * 2))
    return;
  for (Allocation& allocation : machine.allocations) {
    if (!allocation.service || allocation.stopping() || allocation.unsent()) continue;
    stop(machine, allocation, StopReason::interruption, Seconds(0), now);
  }
}

Effects Cluster::release_backed_off(Instant now) {
  Effects effects;
  std::erase_if(backing_off_jobs_, [&](const std::string& id) {
    Job* open_job = job(id);
    if (open_job && open_job->release_backed_off(now)) effects.schedule = true;
    return !open_job || !open_job->any_backed_off();
  });
  return effects;
}

}  // namespace dunlinknot::cluster
