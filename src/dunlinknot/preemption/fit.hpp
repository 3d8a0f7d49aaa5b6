// Does a task fit on a machine, now or with some tasks removed? Both passes of the KEP's "Holding
// capacity for the preemptor": with the holds of equal or higher priority (allocated victims
// subtracted, holds added), and again without them.
#pragma once
#include <set>

#include "dunlinknot/preemption/nominations.hpp"

namespace dunlinknot::preemption {

// How many tasks of this size fit into the room, up to `most`.
uint32_t tasks_in(const Resources& room, const Resources& need, uint32_t most);

// The room on one machine as a cycle goes on: allocations made in the cycle are taken off `free`.
class Room {
 public:
  Room(const cluster::Machine& machine, const Nominations& nominations, const Resources& size);

  const cluster::Machine& machine() const { return *machine_; }
  const Resources& free() const { return free_; }
  // The task's own nominations may be set aside: `except` names one of them (0: none).
  bool fits(const Resources& need, Priority priority, uint64_t except = 0,
            const Resources& removed = {}, const Resources& removed_victims = {}) const;
  // How many such tasks fit, up to `most`.
  uint32_t count(const Resources& need, Priority priority, uint32_t most) const;
  // What is promised to preemptors here.
  Resources held() const {
    Resources sum;
    for (const Hold& hold : holds_) sum += hold.room;
    return sum;
  }
  void take(const Resources& need) { free_ -= need; }
  void give(const Resources& need) { free_ += need; }
  void end_hold(uint64_t id);
  void add_hold(uint64_t id, const Resources& room, Priority priority) {
    holds_.push_back({id, room, priority});
  }
  void add_victims(const Resources& r) { victims_ += r; }

 private:
  struct Hold {
    uint64_t id;
    Resources room;
    Priority priority;
  };
  const cluster::Machine* machine_;
  Resources free_;
  Resources victims_;  // allocated, on the machine's victim list
  std::vector<Hold> holds_;
};

struct Candidate {
  std::vector<Victim> victims;
  std::vector<size_t> victim_indices;  // into the machine's allocations
  double lost_seconds = 0;             // work that would be done again, times the cores it holds
  int highest = -1;                    // the highest priority among the victims
};

// May this allocation be stopped to make room for the preemptor?
struct Eligibility {
  Priority priority = Priority::low;  // of the preemptor
  int team = -1;
  bool within_guarantee = false;
  // Per team, what it uses beyond its guarantee (only read when within_guarantee).
  const std::vector<Resources>* beyond = nullptr;
  // The jobs within their teams' guarantees: never given up for another team's.
  const std::set<std::string>* guaranteed = nullptr;
};

// Removes all that may be removed, then takes back as many as still leave room, the dearest first
// (KEP-5690, "Preemption simulation"). Empty when the machine cannot be made to fit.
std::optional<Candidate> simulate(const Room& room, const Nominations& nominations,
                                  const cluster::Cluster& cluster, const Resources& need,
                                  uint64_t except, const Eligibility& who, Instant now);

// What stopping this allocation would throw away.
double lost_work(const cluster::Allocation& allocation, const cluster::Job* job, Instant now);

}  // namespace dunlinknot::preemption
