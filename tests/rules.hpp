// Checks the protocol's rules over a whole scenario: every start and end on every scripted worker,
// every answer to a user and every team's limit. Violations are kept as texts.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::test {

// Collects violations. Each text begins with the name of the rule:
//   ran_twice      a task was started on a machine while it ran on another
//   wrong_place    a task was started on a machine that its job's constraints exclude
//   quota          a team's running tasks exceed its limit
//   ran_cancelled  a task started or ran later than the cancellation period after a cancellation
//   not_done       a job was reported as done before all of its tasks had completed
//   went_back      the reported state of a job changed after it was final, a job was cancelled
//                  without a request, or a cancellation was confirmed with another state
//   forgotten      an accepted job was answered as unknown or as invalid
//   invented       a job that no user submitted was started or reported
class RuleChecker {
 public:
  struct Machine {
    std::string id, type, zone;
    bool spot = false;
  };
  explicit RuleChecker(const Clock& clock, const settings::Platform& platform)
      : clock_(clock), platform_(platform) {}

  // --- machines
  void started(const Machine& machine, const TaskRef& task, uint64_t attempt);
  void ended(const std::string& machine, const TaskRef& task, uint64_t attempt, bool completed);
  // --- users; `sent_at` is the time at which the request was sent
  void submitted(const JobSpec& job) { jobs_[job.id].spec = job; }
  void submit_answered(const std::string& id, int status, const std::string& state,
                       Instant sent_at);
  void poll_answered(const std::string& id, int status, const std::string& state, Instant sent_at);
  void cancel_requested(const std::string& id) { jobs_[id].cancel_requested = true; }
  void cancel_answered(const std::string& id, int status, const std::string& state,
                       Instant sent_at);
  // Checks how long tasks of cancelled jobs have been running; to be called at short intervals.
  void scan();

  const std::vector<std::string>& violations() const { return violations_; }
  // Starts after the cancellation of their job was confirmed. They are permitted within the
  // platform's cancellation period, because the command may have been in flight.
  size_t late_starts() const { return late_starts_; }
  bool was_accepted(const std::string& id) const;
  // Whether the job was accepted, its cancellation was not requested and not all of its tasks have
  // completed. A gang completes as a whole.
  bool is_open(const std::string& id) const;

 private:
  struct Running {
    Machine machine;
    TaskRef task;
    uint64_t attempt;
  };
  // Instants are Instant::max() until the event has happened.
  struct JobState {
    JobSpec spec;
    Instant accepted_at = Instant::max(), reported_done_at = Instant::max(),
            reported_cancelled_at = Instant::max();
    bool cancel_requested = false;
    std::set<uint32_t> completed_tasks;
    bool overrun_reported = false;  // a violation was recorded for a task that ran on too long
  };
  void check_state(const std::string& id, const std::string& state, Instant sent_at);
  void add_violation(const std::string& rule, const std::string& what);

  const Clock& clock_;
  const settings::Platform& platform_;
  std::map<std::string, JobState> jobs_;
  std::vector<Running> running_;
  std::vector<std::string> violations_;
  size_t late_starts_ = 0;
};

}  // namespace dunlinknot::test
