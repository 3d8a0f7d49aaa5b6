// One scheduling cycle, in stages. Internal to the scheduler: plan() runs one and returns what
// it decided. Each stage works on the machines as the stages before it left them (Slot) and adds to
// the plan; nothing here changes the cluster.
#pragma once
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>

#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::scheduler {

using cluster::Allocation;
using cluster::Cluster;
using cluster::Job;
using cluster::Machine;
using cluster::PlacementConstraints;
using preemption::Room;

inline constexpr Seconds kNoDeadline{600};
inline constexpr Seconds kRoomTakes{75};  // a boot and a fetch, or work there coming to its end

// Whether the job may run on such machines, wherever its other tasks are.
inline bool offer_allowed(const JobSpec& spec, const Offer& offer) {
  return cluster::pool_allowed(spec, offer.type, offer.zone, offer.spot);
}
// The room that a team has left below its limit, in tasks of this size.
uint32_t tasks_below_limit(const settings::Team& team, const Resources& used,
                           const Resources& need);

struct CandidateMachine;

// Machines of one kind in one place. What a job allows is decided once for a kind, not for each of
// its machines.
struct InstancePool {
  Offer offer;
  const MachineType* type = nullptr;
  std::vector<CandidateMachine*> ready;
  std::vector<CandidateMachine*> coming;  // not up yet, or only asked for
  std::vector<CandidateMachine*>& machines(bool not_yet) { return not_yet ? coming : ready; }
};

// Machines as the cycle sees them: those there, those coming, those asked for.
struct CandidateMachine {
  CandidateMachine(const Machine* this_machine, Room r, const InstancePool& k, bool is_coming)
      : machine(this_machine), room(std::move(r)), pool(&k), coming(is_coming) {}
  const Machine* machine = nullptr;  // null: asked for
  Room room;
  const InstancePool* pool;
  bool coming = false;
  std::vector<std::string_view> fetching;  // images that tasks there are waiting for
  bool gang_fetches = false;               // a whole gang waits for the slowest of its fetches
  Resources kept;                          // headroom for a class that is expected to start at once
  std::string_view kept_for;
  Priority kept_priority = Priority::low;  // of what it is kept for
  std::optional<size_t> record_room;       // bytes left in its record
  uint32_t queued_tasks = 0;               // tasks that wait there, this cycle's included
  const std::string& zone() const { return pool->offer.zone; }
};

class SchedulingCycle {
 public:
  SchedulingCycle(const Cluster& cluster, const preemption::Nominations& nominations,
                  const CloudCapacity& cloud_capacity, const settings::Platform& platform,
                  const settings::Operator& operator_settings, WallTime wall, Instant now)
      : cluster_(cluster),
        nominations_(nominations),
        cloud_capacity_(cloud_capacity),
        platform_(platform),
        op_(operator_settings),
        wall_(wall),
        now_(now),
        guaranteed_(within_guarantee(cluster)) {}
  SchedulingCycle(const SchedulingCycle&) = delete;
  SchedulingCycle& operator=(const SchedulingCycle&) = delete;

  Plan run();

 private:
  struct Waiting {
    const Job* job = nullptr;
    bool guaranteed = false;
    double due = 0;  // seconds from now
    bool late = false;
    bool overdue = false;  // waits for longer than any order may ask of it
    int tier() const {
      return (overdue ? 100 : 0) + static_cast<int>(job->spec().priority) * 4 +
             (guaranteed ? 2 : 0) + (late ? 0 : 1);
    }
    cluster::QueuePosition queue_position() const { return {tier(), due}; }
  };

  // How many of the job's tasks its team's limit still allows.
  uint32_t below_limit(const Job& job) const;

  // --- preparation
  bool usable(const Machine& machine) const;

  bool heartbeat_is_recent(const Machine& machine) const;

  // Not up yet, or just up and about to bear our fencing token: counted on, so that nothing is
  // launched in its place for that moment.
  bool expected_up(const Machine& machine) const;

  void collect();

  InstancePool& pool_of(const Offer& offer);

  // Machines of one kind mostly stand side by side, since they were launched together: the kind of
  // the one before is tried first.
  InstancePool& pool_of(const Machine& machine);

  CandidateMachine& add_candidate(const Machine* machine, const Machine& model, InstancePool& pool,
                                  bool coming);

  CandidateMachine* add_pending_machine(const Offer& offer);

  // How many tasks of a class may come before new room could be made for them.
  struct Headroom {
    uint32_t wanted = 0;  // for what may come
    uint32_t mean = 0;    // for what comes on average
    uint32_t steady = 0;  // the same, by the last minute where that saw less
  };
  Headroom headroom(const cluster::DemandForecast& forecast) const;

  // Keeps room for a class with an aim for its start: on the machines chosen for it, other work of
  // no higher priority leaves that room alone, and they are not returned while they are idle.
  void keep_headroom(const std::string& name, const cluster::DemandForecast& forecast);

  struct Due {
    double in = 0;      // seconds from now
    bool late = false;  // no aim of its class can be met any more
  };
  // When the job is due: by the nearest of its class's aims that it can still meet.
  Due due(const Job& job) const;

  // An aim for the last of a class leaves the time to make room: half of it. What is to begin
  // within it must come before all else well before it is over. Shorter aims are the ordinary
  // order's.
  double most_wait(const JobSpec& spec) const;

  // The bound on waiting, whatever the order says: a job that nothing was started of goes first
  // after a while, and so does one that is late for longer than that.
  bool overdue(const Job& job) const;

  std::vector<Waiting> queue() const;

  static bool would_borrow(const JobSpec& spec, const MachineType* machine_type);

  // How many accelerators of an empty machine a task that needs none would keep from use.
  double stranded(const JobSpec& spec, const MachineType& machine_type) const;
  // Machines with accelerators, for work that needs none: not at all; where a task strands few;
  // any.
  enum class Borrowing { none, cheap, any };
  bool may_borrow(const JobSpec& spec, const MachineType* machine_type, Borrowing borrowing) const;

  double waited(const Job& job) const;

  // The shortest time in which the job is expected to start.
  double start_within(const Waiting& waiting) const;

  // Until a machine of a kind that may be used is up, were it launched now.
  double soonest_boot(const JobSpec& spec, Borrowing borrowing) const;

  // A gang that waits for longer than any order may ask of it has its room, and what its team's
  // limit lacks, kept before anything else is placed: work that is ahead of it in the queue, and
  // single tasks that always are, would else take each place as it comes free.
  bool hold_overdue(const Waiting& waiting);

  // The cause for which the job did not begin in this cycle, if it has not begun.
  void note_waiting(const Job& job, WaitCause cause);

  // --- one job
  void consider(const Waiting& waiting);

  // Returns what the gang waits for, or nothing when it was placed.
  std::optional<WaitCause> consider_gang(const Waiting& waiting);

  void consider_array(const Waiting& waiting);

  // Seconds of work queued on the machine on a full machine: enough that the budget for writing
  // allocations down is spent on many at a time, and that a task that ends is followed at once.
  void queue_on_busy_machines(const Waiting& waiting, uint32_t n);

  cluster::QueuePosition absolute(cluster::QueuePosition position) const;

  // The preemptor tries its held room before anything else, where the job's constraints still
  // allow that. Used nominations are taken out of `own`.
  uint32_t place_nominated(const Job& job, uint32_t want, std::vector<uint64_t>& own,
                           PlacementConstraints& constraints);

  // The zone of the machine that a nomination names; empty when that machine is gone.
  std::string_view zone_of(uint64_t nomination) const;

  // Ends a nomination that is of no use any more: its room is let go.
  void clear_nomination(uint64_t nomination);

  // Clears the nominations that `constraints` no longer allow beside the others; adds those that
  // remain to it, as promises.
  void promise_nominated(std::vector<uint64_t>& own, PlacementConstraints& constraints);

  // Only nominations are looked up, and they are few: no index over all machines is kept for them.
  CandidateMachine* find_candidate(const std::string& machine);

  // On a machine of a kind that the job allows: not where it failed, and its record has room.
  bool may_use(const Job& job, CandidateMachine& candidate) const;

  bool may_go(const Job& job, CandidateMachine& candidate) const;

  // How many more tasks of the job the machine's record has room for.
  uint32_t record_allows(const Job& job, const CandidateMachine& candidate) const;

  // How many tasks of the job fit there, up to `most`. Single tasks without accelerators leave to
  // each free accelerator what its next task will need besides; else machines launched for their
  // accelerators fill up with work that could run anywhere, and is preempted for a guarantee soon
  // after.
  uint32_t count_on(const Job& job, const CandidateMachine& candidate, uint32_t most) const;

  // The price per hour of what the task takes of the machine, as the machine's dearest part.
  double share_of(const Resources& need, const Resources& size) const;

  // Lower is better: the seconds until the task would run there, and what it would block.
  double place_cost(const Job& job, const CandidateMachine& candidate) const;

  std::vector<std::pair<double, CandidateMachine*>> ranked(const Job& job, bool coming,
                                                           Borrowing borrowing = Borrowing::any);

  // On machines that are there, where it costs no more than `most`.
  uint32_t place_array(const Waiting& waiting, uint32_t want, PlacementConstraints& constraints,
                       double most = std::numeric_limits<double>::max());

  // The same, with at most so many of a service's replicas on one machine.
  uint32_t place_ranked(const Job& job, uint32_t want, PlacementConstraints& constraints,
                        double most, uint32_t most_on_machine);

  // How many of the job's tasks are allocated on the machine.
  static uint32_t tasks_there(const Job& job, const Machine& machine);

  // How many of a service's replicas are on machines that the cloud takes back.
  uint32_t replicas_leaving(const Job& job) const;

  // Sees to it that those will find room: on machines that are there, coming, or launched.
  void prepare_move(const Waiting& waiting);

  // How often a place on such a machine can be used before the job is due.
  double uses_until_due(const Waiting& waiting, const MachineType& machine_type,
                        double up_in) const;

  // Machines that are not up yet: kept in mind for this cycle, so that not every cycle launches
  // anew for the same work. A place there serves as many tasks as it has time for. What is counted
  // on is added to `expected`.
  uint32_t place_coming(const Waiting& waiting, uint32_t want, PlacementConstraints& expected);

  void put(const Job& job, CandidateMachine& candidate, uint32_t n, std::vector<uint64_t> ends);

  void reserve_record_space(const Job& job, CandidateMachine& candidate, uint32_t n) const;

  // All tasks or none. With `coming`, machines that are not up yet count too, and nothing is
  // placed.
  bool place_gang(const Job& job, bool coming, Borrowing borrowing);

  // --- launching
  struct RankedOffer {
    Offer offer;
    uint32_t tasks_per_machine = 0;  // tasks of the job per machine
    double price = 0;                // per task and hour
    const MachineType* type = nullptr;
  };

  // The offers that may be launched for a job, in zones where it may have further tasks.
  std::vector<RankedOffer> ranked_offers(const JobSpec& spec,
                                         const PlacementConstraints& constraints) const;

  bool machine_limit_reached() const {
    return cloud_capacity_.machines + requested_ >= op_.max_machines;
  }

  CandidateMachine& request_machine(const Offer& offer, const std::string& job);

  // Launches machines for what is left of an array; returns how many tasks that provides for.
  uint32_t scale_out_for_array(const Waiting& waiting, uint32_t open,
                               const PlacementConstraints& expected);

  // Where what is missing costs least; false when there is nothing to launch.
  bool scale_out_for_gang(const Waiting& waiting, Borrowing borrowing);

  // Seconds until the task ends, as its owner reckons; what runs over may end at any time.
  double ends_in(const Allocation& allocation) const;

  struct Place {
    double in = 0;  // seconds until a task has room there, by the estimates
    CandidateMachine* candidate = nullptr;
  };
  // A place for each of the gang's tasks, the soonest that its constraints allow; none when there
  // are too few.
  std::vector<Place> soonest_places(const Job& job, std::vector<Place> places) const;

  // No room and nothing to launch: gangs do not preempt, so the room that others leave is kept for
  // this one where it will be enough first. Else single tasks take it piece by piece, and the
  // larger the gang the longer it waits. Only if all of it is there within `most` seconds.
  bool keep_for_gang(const Job& job, Borrowing borrowing,
                     double most = std::numeric_limits<double>::max());

  // --- preemption: only when nothing can be launched, one machine, never by or of gangs
  // `promised`: what the job holds and is promised; each preemption adds to it.
  void preempt(const Waiting& waiting, const std::vector<uint64_t>& own, uint32_t open,
               PlacementConstraints& promised);

  bool nominate_for(const Waiting& waiting, uint64_t renews, PlacementConstraints& promised);

  // The ranking of machines is ours: the lowest highest victim, the least work lost (with the fetch
  // that the preemptor would wait for), the fewest victims.
  bool better(const preemption::Candidate& a, const CandidateMachine& on_machine,
              const preemption::Candidate& b, const CandidateMachine& candidate,
              const JobSpec& spec) const;

  const Cluster& cluster_;
  const preemption::Nominations& nominations_;
  const CloudCapacity& cloud_capacity_;
  const settings::Platform& platform_;
  const settings::Operator& op_;
  WallTime wall_;
  Instant now_;
  std::set<std::string> guaranteed_;
  std::map<Offer, InstancePool> pools_;
  std::deque<CandidateMachine> candidates_;  // they stay where they are
  InstancePool* last_pool_ = nullptr;        // of the machine looked at last
  std::vector<std::unique_ptr<Machine>> imagined_;
  std::vector<Resources> usage_;
  std::vector<Resources> given_up_;  // by team: victims chosen in this cycle
  std::set<std::string> preempted_on_;
  using Shape = std::tuple<int, bool, bool, Priority, double, double, double,
                           std::vector<std::string>, std::string>;
  std::set<Shape> hopeless_;
  std::set<const Job*> kept_gangs_;      // room is kept for them
  std::set<const Job*> overdue_placed_;  // before the queue's turn
  double queue_span_ = 0;                // seconds of work that may wait on a machine
  std::map<int, uint32_t> queued_at_limit_;
  size_t requested_ = 0;
  bool accelerators_wanted_ = false;  // some task that needs them waits
  Plan plan_;
};

}  // namespace dunlinknot::scheduler
