// The records of machines in the key-value store: their contents, their size, and what follows once
// one is durable.
#include <algorithm>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

void Cluster::mark_dirty(Machine& h, bool urgent) {
  h.dirty = true;
  if (h.urgent || (h.write_queued && !urgent)) return;
  // One that waits already may become urgent: its other place in the queue is passed over later.
  (urgent ? h.urgent : h.write_queued) = true;
  (urgent ? urgent_machines_ : dirty_machines_).push_back(h.id);
}

Machine* Cluster::next_dirty_machine() {
  while (dirty_machine_count() > 0) {
    const bool urgent = !urgent_machines_.empty();
    auto& queue = urgent ? urgent_machines_ : dirty_machines_;
    const std::string id = std::move(queue.front());
    queue.pop_front();
    Machine* h = find_machine(id);
    if (!h) continue;
    (urgent ? h->urgent : h->write_queued) = false;
    if (h->dirty) return h;
  }
  return nullptr;
}

void Cluster::requeue_dirty_machine(Machine& h) {
  const bool urgent = std::any_of(
      h.allocations.begin(), h.allocations.end(),
      [](const Allocation& b) { return b.phase == Phase::planned && (b.gang || b.service); });
  bool& waits = urgent ? h.urgent : h.write_queued;
  if (waits) return;
  waits = true;
  (urgent ? urgent_machines_ : dirty_machines_).push_front(h.id);
}

wire::MachineRecord Cluster::record_of(const Machine& h) const {
  wire::MachineRecord r;
  r.type = h.type;
  r.zone = h.zone;
  r.address = h.address;
  r.spot = h.spot;
  for (const Allocation& b : h.allocations) {
    auto* g = find_where(r.groups, [&](const auto& x) { return x.job == b.task.job; });
    if (!g) {
      r.groups.push_back({b.task.job, b.team_name, b.need, b.gang, {}});
      g = &r.groups.back();
    }
    g->tasks.emplace_back(b.task.index, b.attempt);
  }
  return r;
}

size_t Cluster::record_size(const Machine& h) const {
  size_t size = wire::machine_record_size(h.type, h.zone, h.address);
  std::vector<std::string_view> jobs;
  for (const Allocation& b : h.allocations) {
    size += wire::machine_task_size(b.task.index, b.attempt);
    if (std::find(jobs.begin(), jobs.end(), b.task.job) != jobs.end()) continue;
    jobs.push_back(b.task.job);
    size += b.record_group_size;
  }
  return size;
}

Cluster::RecordCost Cluster::record_cost(const Job& j) const {
  constexpr uint64_t kMostAttempts = (uint64_t{1} << 24) - 1;  // of one epoch, see next_attempt
  return {j.record_group_size(),
          wire::machine_task_size(j.spec().tasks, epoch_ << 24 | kMostAttempts)};
}

void Cluster::machine_stored(Machine& h, const wire::MachineRecord& written, uint64_t mod_revision,
                             Effects& effects) {
  h.mod_revision = mod_revision;
  h.mod_revision_known = true;
  h.stored.clear();
  for (const auto& g : written.groups) {
    for (const auto& [index, attempt] : g.tasks)
      h.stored.emplace_back(TaskRef{g.job, index}, attempt);
  }
  h.dirty = false;
  h.trailing = false;
  for (const auto& [task, attempt] : h.stored) {
    if (!h.find(task, attempt)) h.trailing = true;
  }
  for (Allocation& b : h.allocations) {
    if (b.phase != Phase::planned) continue;
    const bool there = find_where(
        h.stored, [&](const auto& s) { return s.second == b.attempt && s.first == b.task; });
    if (!there) {
      mark_dirty(h, b.gang || b.service);
      effects.store_machines = true;
      continue;
    }
    b.phase = Phase::durable;
    effects.runs = true;
    if (!b.gang) {
      runnable_.push_back(h.id);
      continue;
    }
    // Safety 4: a gang starts once every one of its allocations stands.
    Job* j = job(b.task.job);
    if (!j || j->gang_attempt != b.attempt) continue;
    uint32_t standing = 0;
    for (const Machine* other : holders(b.task.job)) {
      for (const Allocation& k : other->allocations) {
        if (k.task.job == b.task.job && k.attempt == b.attempt && k.phase != Phase::planned) {
          ++standing;
        }
      }
    }
    j->gang_go = standing == j->spec().tasks;
    if (!j->gang_go) continue;
    for (const Machine* other : holders(b.task.job)) runnable_.push_back(other->id);
  }
}

}  // namespace dunlinknot::cluster
