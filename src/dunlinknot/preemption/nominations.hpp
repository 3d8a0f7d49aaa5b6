// The two records of a preemption, both in memory only (KEP-5690, "Claim nomination"):
//   per preemptor, a nomination: the machine and the exact room found for it;
//   per machine, the victims that are still allocated there.
// A nomination ends on placement, cancellation, renomination or a failed stop call, and by nothing
// else: there is no timer. The victim list outlives the nomination until its victims are gone.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::preemption {

struct Nomination {
  uint64_t id = 0;
  std::string job;
  std::string machine;
  Resources room;
  Priority priority = Priority::low;
};

struct Victim {
  TaskRef task;
  uint64_t attempt = 0;
  auto operator<=>(const Victim&) const = default;
};

enum class End : uint8_t { placed, cancelled, renominated, stop_failed, cleared };
inline constexpr size_t kEnds = 5;

class Nominations {
 public:
  uint64_t add(std::string job, std::string machine, Resources room, Priority priority,
               const std::vector<Victim>& victims);
  void end(uint64_t id, End why);
  void job_closed(const std::string& job);
  // The stop call for these victims failed: the nominations on that machine are cleared and the
  // victims taken off the list, so that preemption can be tried again.
  void stop_failed(const std::string& machine, const std::vector<Victim>& victims);
  // Takes victims that are no longer allocated off the lists.
  void settle(const cluster::Cluster& cluster);
  void clear();  // a take-over starts with none

  const std::map<uint64_t, Nomination>& all() const { return nominations_; }
  std::vector<uint64_t> of(const std::string& job) const;
  const std::vector<uint64_t>& on(const std::string& machine) const;
  const std::vector<Victim>* victims_on(const std::string& machine) const;
  bool settling(const std::string& machine) const { return victims_on(machine) != nullptr; }
  // How many nominations were made, and ended so, since this process began.
  uint64_t made() const { return next_ - 1; }
  uint64_t ended(End why) const { return ended_[static_cast<size_t>(why)]; }

 private:
  uint64_t next_ = 1;
  std::array<uint64_t, kEnds> ended_{};
  std::map<uint64_t, Nomination> nominations_;
  std::map<std::string, std::vector<uint64_t>> by_machine_;
  std::map<std::string, std::vector<uint64_t>> by_job_;
  std::map<std::string, std::vector<Victim>> victims_;
};

}  // namespace dunlinknot::preemption
