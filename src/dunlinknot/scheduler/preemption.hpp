// The stage that chooses victims: only when nothing can be launched, on one machine at a time, and
// never by or of gangs (KEP-5690).
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

  // Preempts for up to `open` tasks of the job, and renews or clears those of its nominations whose
  // victims have left without making room. `promised`: what the job holds and is promised; each
  // preemption is added.
  void preempt(const QueueEntry& entry, const JobNominations& nominations, uint32_t unplaced,
               PlacementConstraints& constraints);

 private:
  // All that the search for victims depends on besides the cycle's state. What nobody could be
  // preempted for a moment ago, nobody can be preempted for now: jobs of one shape are alike.
  struct PreemptorShape {
    int team = -1;
    bool guaranteed = false;
    bool spot = false;
    Priority priority = Priority::low;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::vector<std::string> types;
    // The zone it must be in; the job's id where that depends on its other tasks.
    std::string zone_or_job;
    auto operator<=>(const PreemptorShape&) const = default;
  };
  struct Choice {
    CandidateMachine* candidate = nullptr;
    preemption::VictimSet victims;
  };

  static PreemptorShape shape_of(const QueueEntry& entry, const PlacementConstraints& constraints);
  // Nominates one task of the job. `renews`: the nomination that this replaces, or 0. False when no
  // victims were found, or for a new nomination also when the cycle's preemptions are used up; a
  // nomination to be renewed then stays as it is.
  bool nominate(const QueueEntry& entry, uint64_t renews, PlacementConstraints& constraints);
  std::optional<Choice> find_victims(const QueueEntry& entry, uint64_t renews,
                                     const PlacementConstraints& constraints);
  void record(const Job& job, uint64_t renews, const Choice& choice);
  bool limit_reached() const;

  CycleState& state_;
  const ScaleOutRequests& scale_out_;
  std::set<std::string> preempted_on_;               // machines, once each in a cycle
  std::set<PreemptorShape> shapes_without_victims_;  // no victims were found in this cycle
};

}  // namespace dunlinknot::scheduler
