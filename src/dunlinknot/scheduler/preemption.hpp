// The stage that chooses victims: only when no machine can be launched, on one machine at a time,
// and gangs neither preempt nor become victims (KEP-5690).
#pragma once
#include <compare>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/scheduler/job_nominations.hpp"
#include "dunlinknot/scheduler/job_queue.hpp"
#include "dunlinknot/scheduler/scale_out.hpp"

namespace dunlinknot::scheduler {

// The preemptions of one cycle.
class PreemptionStage {
 public:
  PreemptionStage(CycleState& state, const ScaleOutRequests& scale_out)
      : state_(state), scale_out_(scale_out) {}

  // Preempts for up to `unplaced` tasks of the job, and renews or clears those of its nominations
  // whose victims have left without making room. `constraints` include the job's tasks and
  // nominations; each new nomination is added.
  void preempt(const QueueEntry& entry, const JobNominations& nominations, uint32_t unplaced,
               PlacementConstraints& constraints);

 private:
  // Everything that the search for victims depends on besides the cycle's state. If the search
  // failed for one job in this cycle, it fails for other jobs of the same shape too.
  struct PreemptorShape {
    int team = -1;
    bool guaranteed = false;
    bool spot = false;
    Priority priority = Priority::low;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::vector<std::string> types;
    // The required zone; the job's id if the zone depends on the job's other tasks.
    std::string zone_or_job;
    auto operator<=>(const PreemptorShape&) const = default;
  };
  struct Choice {
    CandidateMachine* candidate = nullptr;
    preemption::VictimSet victims;
  };

  static PreemptorShape shape_of(const QueueEntry& entry, const PlacementConstraints& constraints);
  // Nominates one task of the job. `renews`: the nomination to replace, or 0. Returns false when no
  // victims were found, and for a new nomination also when the cycle's limit on preemptions is
  // reached. A nomination to be renewed is kept unchanged when that limit is reached.
  bool nominate(const QueueEntry& entry, uint64_t renews, PlacementConstraints& constraints);
  std::optional<Choice> find_victims(const QueueEntry& entry, uint64_t renews,
                                     const PlacementConstraints& constraints);
  void record(const Job& job, uint64_t renews, const Choice& choice);
  bool limit_reached() const;

  CycleState& state_;
  const ScaleOutRequests& scale_out_;
  std::set<std::string> preempted_on_;               // machines; each is used once per cycle
  std::set<PreemptorShape> shapes_without_victims_;  // the search failed in this cycle
};

}  // namespace dunlinknot::scheduler
