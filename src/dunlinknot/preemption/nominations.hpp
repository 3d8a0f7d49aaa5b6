// The two records of a preemption, both in memory only (KEP-5690, "Claim nomination"):
//   per preemptor, a nomination: the machine and the exact room found for it;
//   per machine, the victims that are still allocated there.
// A nomination ends on placement, cancellation, renomination or a failed stop call, and by nothing
// else: there is no timer. The victim list outlives the nomination until its victims have ended.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::preemption {

// Room on one machine that is held for one task of a job until its victims have left.
struct Nomination {
  uint64_t id = 0;      // unique within this process, never 0
  std::string job;      // of the preemptor
  std::string machine;  // where the room is
  Resources room;       // what one task of the job needs
  Priority priority = Priority::low;
};

// A task that is stopped to make room; the attempt distinguishes it from later runs of the same
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
  stop_failed,  // the call that was to stop its victims failed
  cleared,      // the cycle found that it is of no use any more
};
inline constexpr size_t kNominationEndCount = 5;  // the number of values of NominationEnd

// All nominations and victim lists of the leader's term. Part of the leader's state: every call is
// made under the lock that guards it.
class Nominations {
 public:
  // Records a preemption: holds `room` and adds the victims to the machine's list. Returns the
  // nomination's id. Called when a plan is applied.
  uint64_t add(std::string job, std::string machine, Resources room, Priority priority,
               const std::vector<Victim>& victims);
  // Ends a nomination and counts why; one that has ended already is ignored.
  void end(uint64_t id, NominationEnd why);
  // Ends all nominations of a job that was cancelled or is done.
  void end_all_of_job(const std::string& job);
  // The stop call for these victims failed: the nominations on that machine are cleared and the
  // victims taken off the list, so that preemption can be tried again.
  void handle_stop_failure(const std::string& machine, const std::vector<Victim>& victims);
  // Takes victims that are no longer allocated off the lists.
  void remove_ended_victims(const cluster::Cluster& cluster);
  // Forgets all, without counting any as ended: a take-over starts with none.
  void clear();

  // By id.
  const std::map<uint64_t, Nomination>& all() const { return nominations_; }
  // The ids of the nominations of a job, oldest first.
  std::vector<uint64_t> of_job(const std::string& job) const;
  // The ids of the nominations on a machine, oldest first; valid until the next change.
  const std::vector<uint64_t>& on_machine(const std::string& machine) const;
  // The victims that are still allocated on a machine; null when there are none.
  const std::vector<Victim>* victims_on(const std::string& machine) const;
  // Whether victims on the machine are still to leave.
  bool has_victims(const std::string& machine) const { return victims_on(machine) != nullptr; }
  // How many nominations were made, and ended so, since this process began.
  uint64_t created_count() const { return next_id_ - 1; }
  uint64_t ended_count(NominationEnd why) const { return ended_[static_cast<size_t>(why)]; }

 private:
  uint64_t next_id_ = 1;
  std::array<uint64_t, kNominationEndCount> ended_{};
  std::map<uint64_t, Nomination> nominations_;
  std::map<std::string, std::vector<uint64_t>> by_machine_;
  std::map<std::string, std::vector<uint64_t>> by_job_;
  std::map<std::string, std::vector<Victim>> victims_;
};

}  // namespace dunlinknot::preemption
