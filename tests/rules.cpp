// Checks of the protocol's rules; rules.hpp lists them.
#include "rules.hpp"

#include <algorithm>

namespace dunlinknot::test {

void RuleChecker::add_violation(const std::string& rule, const std::string& details) {
  const double now_s = to_seconds(clock_.now().time_since_epoch()).count();
  violations_.push_back(rule + ": " + details + " at " + std::to_string(now_s) + " s");
}

void RuleChecker::started(const Machine& machine, const TaskRef& task, uint64_t attempt) {
  const auto known = jobs_.find(task.job);
  if (known == jobs_.end()) {
    add_violation("invented", task.text() + " started, but its job was not submitted");
    return;
  }
  JobState& job = known->second;
  for (const Running& running : running_) {
    if (running.task == task)
      add_violation("ran_twice", task.text() + " on " + machine.id + " and " + running.machine.id);
  }
  // A spread job may have at most half of its tasks, rounded up, in one zone.
  size_t tasks_in_zone = 1;
  for (const Running& running : running_) {
    if (running.task.job != task.job) continue;
    if (running.machine.zone == machine.zone) ++tasks_in_zone;
    if (job.spec.one_zone && running.machine.zone != machine.zone) {
      add_violation("wrong_place", task.text() + " in " + machine.zone + ", " +
                                       running.task.text() + " in " + running.machine.zone);
    }
  }
  if (job.spec.spread && tasks_in_zone > (job.spec.tasks + 1) / 2) {
    add_violation("wrong_place",
                  task.text() + ": more than half of the job's tasks in " + machine.zone);
  }
  const bool type_ok =
      job.spec.types.empty() ||
      std::find(job.spec.types.begin(), job.spec.types.end(), machine.type) != job.spec.types.end();
  if (!type_ok || (job.spec.zone && *job.spec.zone != machine.zone) ||
      (machine.spot && !job.spec.spot)) {
    add_violation("wrong_place", task.text() + " on " + machine.id);
  }
  if (job.reported_cancelled_at != Instant::max()) {
    ++late_starts_;
    if (clock_.now() > job.reported_cancelled_at + to_nanos(platform_.cancel_timeout)) {
      add_violation("ran_cancelled", task.text() + " started");
    }
  }
  running_.push_back({machine, task, attempt});
  Resources used;
  for (const Running& running : running_) {
    if (jobs_[running.task.job].spec.team == job.spec.team)
      used += jobs_[running.task.job].spec.need;
  }
  for (const auto& team : platform_.teams) {
    if (team.name != job.spec.team) continue;
    if ((team.cpus_max > 0 && used.cpus > team.cpus_max + Resources::kTolerance) ||
        (team.gpus_max > 0 && used.gpus > team.gpus_max + Resources::kTolerance)) {
      add_violation("quota", "team " + team.name + " with " + task.text());
    }
  }
}

void RuleChecker::ended(const std::string& machine, const TaskRef& task, uint64_t attempt,
                        bool completed) {
  std::erase_if(running_, [&](const Running& running) {
    return running.machine.id == machine && running.task == task && running.attempt == attempt;
  });
  if (!completed) return;
  JobState& job = jobs_[task.job];
  if (job.spec.gang) {
    for (uint32_t i = 0; i < job.spec.tasks; ++i) job.completed_tasks.insert(i);
  } else {
    job.completed_tasks.insert(task.index);
  }
}

void RuleChecker::scan() {
  for (const Running& running : running_) {
    JobState& job = jobs_[running.task.job];
    if (job.overrun_reported || job.reported_cancelled_at == Instant::max()) continue;
    if (clock_.now() <= job.reported_cancelled_at + to_nanos(platform_.cancel_timeout)) continue;
    job.overrun_reported = true;
    add_violation("ran_cancelled", running.task.text() + " is still on " + running.machine.id);
  }
}

void RuleChecker::check_state(const std::string& id, const std::string& state, Instant sent_at) {
  JobState& job = jobs_[id];
  const Instant now = clock_.now();
  // Only states reported before the request was sent are binding: answers may overtake each other.
  if (job.reported_done_at < sent_at && state != "done")
    add_violation("went_back", id + " done, then " + state);
  if (job.reported_cancelled_at < sent_at && state != "cancelled") {
    add_violation("went_back", id + " cancelled, then " + state);
  }
  if (state == "done") {
    if (job.spec.service) add_violation("not_done", id + " is a service");
    if (job.completed_tasks.size() < job.spec.tasks) add_violation("not_done", id);
    job.reported_done_at = std::min(job.reported_done_at, now);
  } else if (state == "cancelled") {
    if (!job.cancel_requested) add_violation("went_back", id + " cancelled without a request");
    job.reported_cancelled_at = std::min(job.reported_cancelled_at, now);
  }
}

void RuleChecker::submit_answered(const std::string& id, int status, const std::string& state,
                                  Instant sent_at) {
  JobState& job = jobs_[id];
  if (job.accepted_at < sent_at && (status == 400 || status == 422)) {
    add_violation("forgotten", id + " accepted, then answered " + std::to_string(status));
  }
  if (status != 200 && status != 201) return;
  job.accepted_at = std::min(job.accepted_at, clock_.now());
  check_state(id, state, sent_at);
}

void RuleChecker::poll_answered(const std::string& id, int status, const std::string& state,
                                Instant sent_at) {
  const auto job = jobs_.find(id);
  if (status == 404 && job != jobs_.end() && job->second.accepted_at < sent_at) {
    add_violation("forgotten", id + " accepted, then answered 404");
  }
  if (status != 200) return;
  if (job == jobs_.end()) {
    add_violation("invented", id);
  } else {
    check_state(id, state, sent_at);
  }
}

void RuleChecker::cancel_answered(const std::string& id, int status, const std::string& state,
                                  Instant sent_at) {
  if (status == 200 && state != "cancelled" && state != "done") {
    add_violation("went_back", id + ": a cancellation is answered " + state);
  }
  poll_answered(id, status, state, sent_at);
}

bool RuleChecker::was_accepted(const std::string& id) const {
  const auto job = jobs_.find(id);
  return job != jobs_.end() && job->second.accepted_at != Instant::max();
}

bool RuleChecker::is_open(const std::string& id) const {
  if (!was_accepted(id)) return false;
  const JobState& job = jobs_.at(id);
  if (job.cancel_requested) return false;
  if (job.spec.service) return true;
  const size_t tasks_to_complete = job.spec.gang ? 1 : job.spec.tasks;
  return job.completed_tasks.size() < tasks_to_complete;
}

}  // namespace dunlinknot::test
