#include "dunlinknot/preemption/fit.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::preemption {

namespace {

constexpr Seconds kReplicaGap{15};

bool on_list(const std::vector<Victim>* list, const cluster::Allocation& allocation) {
  return list && std::any_of(list->begin(), list->end(), [&](const Victim& victim) {
           return victim.attempt == allocation.attempt && victim.task == allocation.task;
         });
}

bool exceeds(const Resources& beyond, const Resources& need) {
  // Only what the team has beyond its guarantee may go, and it must have some of what is taken.
  return (need.cpus > 0 && beyond.cpus + Resources::kSlack >= need.cpus) ||
         (need.gpus > 0 && beyond.gpus + Resources::kSlack >= need.gpus);
}

}  // namespace

uint32_t tasks_in(const Resources& room, const Resources& need, uint32_t most) {
  const auto dim = [&](double have, double each) {
    if (have + Resources::kSlack < each) most = 0;
    if (most == 0 || each <= 0) return;
    const double n = std::floor((have + Resources::kSlack) / each);
    if (n < most) most = static_cast<uint32_t>(n);
  };
  dim(room.cpus, need.cpus);
  dim(room.gpus, need.gpus);
  dim(room.memory_gb, need.memory_gb);
  return most;
}

Room::Room(const cluster::Machine& machine, const Nominations& nominations, const Resources& size)
    : machine_(&machine), free_(size - machine.used) {
  if (const auto* list = nominations.victims_on(machine.id)) {
    for (const auto& b : machine.allocations) {
      if (on_list(list, b)) victims_ += b.need;
    }
  }
  for (const uint64_t id : nominations.on(machine.id)) {
    const Nomination& nomination = nominations.all().at(id);
    holds_.push_back({id, nomination.room, nomination.priority});
  }
}

bool Room::fits(const Resources& need, Priority priority, uint64_t except, const Resources& removed,
                const Resources& removed_victims) const {
  const Resources plain = free_ + removed;
  if (!need.fits_in(plain)) return false;  // pass 2: without the holds
  Resources held;
  bool any = false;
  for (const Hold& hold : holds_) {
    if (hold.id == except || hold.priority < priority) continue;
    held += hold.room;
    any = true;
  }
  if (!any) return true;
  // Pass 1: victims that are still allocated are subtracted (each once: those the simulation
  // removed already are not subtracted again), the holds are added.
  return need.fits_in(plain + (victims_ - removed_victims) - held);
}

uint32_t Room::count(const Resources& need, Priority priority, uint32_t most) const {
  most = tasks_in(free_, need, most);  // pass 2
  Resources held;
  bool any = false;
  for (const Hold& hold : holds_) {
    if (hold.priority < priority) continue;
    held += hold.room;
    any = true;
  }
  return any ? tasks_in(free_ + victims_ - held, need, most) : most;
}

void Room::end_hold(uint64_t id) {
  std::erase_if(holds_, [&](const Hold& hold) { return hold.id == id; });
}

double lost_work(const cluster::Allocation& allocation, const cluster::Job* job, Instant now) {
  if (allocation.running_since == Instant{}) return 0;
  // Of a replica only the time until it runs elsewhere is lost, however long it ran.
  if (allocation.service) return kReplicaGap.count() * std::max(allocation.need.cpus, 0.1);
  const double ran = std::max(0.0, to_seconds(now - allocation.running_since).count());
  const double weight = std::max({allocation.need.cpus, allocation.need.gpus * 8, 0.1});
  if (job && job->spec().checkpoint > Seconds(0)) return job->spec().save.count() * weight;
  return ran * weight;
}

std::optional<Candidate> simulate(const Room& room, const Nominations& nominations,
                                  const cluster::Cluster& cluster, const Resources& need,
                                  uint64_t except, const Eligibility& who, Instant now) {
  const cluster::Machine& machine = room.machine();
  const auto* list = nominations.victims_on(machine.id);
  struct Item {
    size_t index;
    bool listed;
    double lost;
  };
  std::vector<Item> removable;
  Resources removed, removed_victims;
  std::vector<Resources> beyond;
  if (who.beyond) beyond = *who.beyond;
  for (size_t i = 0; i < machine.allocations.size(); ++i) {
    const cluster::Allocation& allocation = machine.allocations[i];
    if (allocation.gang || allocation.queued)
      continue;  // gangs are never victims; what waits there holds no room
    const bool listed = on_list(list, allocation);
    if (allocation.stopping() && !listed) continue;  // leaves for another reason, on its own time
    bool allowed = allocation.priority < who.priority || listed;
    // A team that is beyond its guarantee gives back what is beyond it: jobs within it stay. Else
    // two teams, both with work within their guarantees, preempt one another for ever.
    if (!allowed && who.within_guarantee && allocation.team >= 0 && allocation.team != who.team &&
        !(who.guaranteed && who.guaranteed->contains(allocation.task.job))) {
      Resources& over = beyond[static_cast<size_t>(allocation.team)];
      if (exceeds(over, allocation.need)) {
        over -= allocation.need;
        allowed = true;
      }
    }
    if (!allowed) continue;
    removable.push_back({i, listed, lost_work(allocation, cluster.job(allocation.task.job), now)});
    removed += allocation.need;
    if (listed) removed_victims += allocation.need;
  }
  if (removable.empty()) return std::nullopt;
  if (!room.fits(need, who.priority, except, removed, removed_victims)) return std::nullopt;
  // Take back what need not go: higher priorities first, then what would lose most work. Tasks that
  // are being stopped already cost nothing and stay removed.
  std::sort(removable.begin(), removable.end(), [&](const Item& a, const Item& b) {
    const auto& x = machine.allocations[a.index];
    const auto& y = machine.allocations[b.index];
    if (x.priority != y.priority) return x.priority > y.priority;
    if (a.lost != b.lost) return a.lost > b.lost;
    return a.index < b.index;
  });
  Candidate out;
  for (const Item& item : removable) {
    const cluster::Allocation& allocation = machine.allocations[item.index];
    if (!item.listed) {
      const Resources fewer = removed - allocation.need;
      if (room.fits(need, who.priority, except, fewer, removed_victims)) {
        removed = fewer;
        continue;
      }
      out.lost_seconds += item.lost;
    }
    out.victims.push_back({allocation.task, allocation.attempt});
    out.victim_indices.push_back(item.index);
    out.highest = std::max(out.highest, static_cast<int>(allocation.priority));
  }
  return out;
}

}  // namespace dunlinknot::preemption
