// The protocol's rules, watched over a whole scenario: every start and end on every scripted
// worker, every answer to a user, every team's limit. What was broken is kept in words.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::test {

class RuleChecker {
 public:
  struct Machine {
    std::string machine, type, zone;
    bool spot = false;
  };
  explicit RuleChecker(const Clock& clock, const settings::Platform& platform)
      : clock_(clock), platform_(platform) {}

  // --- machines
  void started(const Machine& at, const TaskRef& task, uint64_t attempt);
  void ended(const std::string& machine, const TaskRef& task, uint64_t attempt, bool completed);
  // --- users; `asked`: when the request was sent
  void submitted(const JobSpec& job) { jobs_[job.id].spec = job; }
  void submit_answered(const std::string& id, int status, const std::string& standing,
                       Instant asked);
  void poll_answered(const std::string& id, int status, const std::string& standing, Instant asked);
  void cancel_asked(const std::string& id) { jobs_[id].cancel_asked = true; }
  void cancel_answered(const std::string& id, int status, const std::string& standing,
                       Instant asked);
  // To be called often: what is on a machine for too long.
  void scan();

  const std::vector<std::string>& violations() const { return broken_; }
  // Starts after their job's cancellation was confirmed; those whose command was under way are
  // allowed to, for a moment.
  size_t late_starts() const { return late_starts_; }
  bool was_accepted(const std::string& id) const;

 private:
  struct Running {
    Machine at;
    TaskRef task;
    uint64_t attempt;
  };
  struct JobState {
    JobSpec spec;
    Instant accepted = Instant::max(), answered_done = Instant::max(),
            on_user_cancellation = Instant::max();
    bool cancel_asked = false;
    std::set<uint32_t> done;
    bool reported = false;  // as running for too long after its cancellation
  };
  void answered(const std::string& id, const std::string& standing, Instant asked);
  void breaks(const std::string& rule, const std::string& what);

  const Clock& clock_;
  const settings::Platform& platform_;
  std::map<std::string, JobState> jobs_;
  std::vector<Running> running_;
  std::vector<std::string> broken_;
  size_t late_starts_ = 0;
};

}  // namespace dunlinknot::test
