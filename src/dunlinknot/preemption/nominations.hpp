// The two records of a preemption, both kept in memory only (KEP-5690, "Claim nomination"):
//   per preemptor, a nomination: the machine and the exact room found for it;
//   per machine, the victims that are still allocated there.
// A nomination ends by placement, cancellation, renomination, a failed stop call, or when a cycle
// clears it because it is no longer needed; there is no timer. The victim list outlives the
// nomination until its victims have ended.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::preemption {

// Room held on one machine for one task of a job until the victims there have ended.
struct Nomination {
  uint64_t id = 0;      // unique within this process, never 0
  std::string job;      // of the preemptor
  std::string machine;  // on which the room is held
  Resources room;       // the need of one task of the job
  Priority priority = Priority::low;
};

// A task that is stopped to make room. The attempt distinguishes it from later runs of the same
// task.
struct Victim {
  TaskRef task;
  uint64_t attempt = 0;
  auto operator<=>(const Victim&) const = default;
};

// Why a nomination ended.
enum class NominationEnd : uint8_t {
  placed,       // its task was placed
  cancelled,    // its job is closed
  renominated,  // another nomination replaces it
  stop_failed,  // the stop call for its victims failed
  cleared,      // a cycle found that it is no longer needed
};
inline constexpr size_t kNominationEndCount = 5;  // number of values of NominationEnd

// All nominations and victim lists of the leader's term. Part of the leader's state: every call is
// made under the lock that guards it.
class Nominations {
 public:
  // Records a preemption when a plan is applied: holds `room` and adds the victims to the machine's
  // list. Returns the nomination's id.
  uint64_t add(std::string job, std::string machine, Resources room, Priority priority,
               const std::vector<Victim>& victims);
  // Ends a nomination and counts the reason; one that has ended already is ignored.
  void end(uint64_t id, NominationEnd reason);
  // Ends all nominations of a job that was cancelled or has completed.
  void end_all_of_job(const std::string& job);
  // Handles a failed stop call for these victims: clears the nominations on that machine and
  // removes the victims from the list, so that preemption can be tried again.
  void handle_stop_failure(const std::string& machine, const std::vector<Victim>& victims);
  // Removes victims that are no longer allocated from the lists.
  void remove_ended_victims(const cluster::Cluster& cluster);
  // Removes all nominations and victims without counting any as ended: a failover starts with none.
  void clear();

  // All active nominations, by id.
  const std::map<uint64_t, Nomination>& all() const { return nominations_; }
  // The ids of the nominations of a job, oldest first.
  std::vector<uint64_t> of_job(const std::string& job) const;
  // The ids of the nominations on a machine, oldest first; valid until the next change.
  const std::vector<uint64_t>& on_machine(const std::string& machine) const;
  // The victims that are still allocated on a machine; null when there are none.
  const std::vector<Victim>* victims_on(const std::string& machine) const;
  // Whether victims on the machine are still allocated.
  bool has_victims(const std::string& machine) const { return victims_on(machine) != nullptr; }
  // The numbers of nominations that were created, and that ended for this reason, since the process
  // started.
  uint64_t created_count() const { return next_id_ - 1; }
  uint64_t ended_count(NominationEnd reason) const { return ended_[static_cast<size_t>(reason)]; }

 private:
  uint64_t next_id_ = 1;
  std::array<uint64_t, kNominationEndCount> ended_{};
  std::map<uint64_t, Nomination> nominations_;
  std::map<std::string, std::vector<uint64_t>> by_machine_;
  std::map<std::string, std::vector<uint64_t>> by_job_;
  std::map<std::string, std::vector<Victim>> victims_;
};

}  // namespace dunlinknot::preemption
