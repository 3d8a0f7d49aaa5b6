#include "rules.hpp"

#include <algorithm>

namespace dunlinknot::test {

void RuleChecker::breaks(const std::string& rule, const std::string& what) {
  const double at = to_seconds(clock_.now().time_since_epoch()).count();
  broken_.push_back(rule + ": " + what + " at " + std::to_string(at) + " s");
}

void RuleChecker::started(const Machine& at, const TaskRef& task, uint64_t attempt) {
  const auto known = jobs_.find(task.job);
  if (known == jobs_.end()) {
    breaks("invented", task.text() + " started, and nobody submitted its job");
    return;
  }
  JobState& j = known->second;
  for (const Running& r : running_) {
    if (r.task == task)
      breaks("ran_twice", task.text() + " on " + at.machine + " and " + r.at.machine);
  }
  // As many of its tasks as may be in one zone, and where the others are at this moment.
  size_t here = 1;
  for (const Running& r : running_) {
    if (r.task.job != task.job) continue;
    if (r.at.zone == at.zone) ++here;
    if (j.spec.one_zone && r.at.zone != at.zone) {
      breaks("wrong_place",
             task.text() + " in " + at.zone + ", " + r.task.text() + " in " + r.at.zone);
    }
  }
  if (j.spec.spread && here > (j.spec.tasks + 1) / 2) {
    breaks("wrong_place", task.text() + ": too many in " + at.zone);
  }
  const bool type_ok = j.spec.types.empty() || std::find(j.spec.types.begin(), j.spec.types.end(),
                                                         at.type) != j.spec.types.end();
  if (!type_ok || (j.spec.zone && *j.spec.zone != at.zone) || (at.spot && !j.spec.spot)) {
    breaks("wrong_place", task.text() + " on " + at.machine);
  }
  if (j.on_user_cancellation != Instant::max()) {
    ++late_starts_;
    if (clock_.now() > j.on_user_cancellation + to_nanos(platform_.cancel)) {
      breaks("ran_cancelled", task.text() + " started");
    }
  }
  running_.push_back({at, task, attempt});
  Resources used;
  for (const Running& r : running_) {
    if (jobs_[r.task.job].spec.team == j.spec.team) used += jobs_[r.task.job].spec.need;
  }
  for (const auto& t : platform_.teams) {
    if (t.name != j.spec.team) continue;
    if ((t.cpus_max > 0 && used.cpus > t.cpus_max + Resources::kSlack) ||
        (t.gpus_max > 0 && used.gpus > t.gpus_max + Resources::kSlack)) {
      breaks("quota", "team " + t.name + " with " + task.text());
    }
  }
}

void RuleChecker::ended(const std::string& machine, const TaskRef& task, uint64_t attempt,
                        bool completed) {
  std::erase_if(running_, [&](const Running& r) {
    return r.at.machine == machine && r.task == task && r.attempt == attempt;
  });
  if (!completed) return;
  JobState& j = jobs_[task.job];
  if (j.spec.gang) {
    for (uint32_t i = 0; i < j.spec.tasks; ++i) j.done.insert(i);
  } else {
    j.done.insert(task.index);
  }
}

void RuleChecker::scan() {
  for (const Running& r : running_) {
    JobState& j = jobs_[r.task.job];
    if (j.reported || j.on_user_cancellation == Instant::max()) continue;
    if (clock_.now() <= j.on_user_cancellation + to_nanos(platform_.cancel)) continue;
    j.reported = true;
    breaks("ran_cancelled", r.task.text() + " is on " + r.at.machine);
  }
}

void RuleChecker::answered(const std::string& id, const std::string& standing, Instant asked) {
  JobState& j = jobs_[id];
  const Instant now = clock_.now();
  // Only what was told before the question was sent binds its answer.
  if (j.answered_done < asked && standing != "done")
    breaks("went_back", id + " done, then " + standing);
  if (j.on_user_cancellation < asked && standing != "cancelled") {
    breaks("went_back", id + " cancelled, then " + standing);
  }
  if (standing == "done") {
    if (j.spec.service) breaks("not_done", id + " is a service");
    if (j.done.size() < j.spec.tasks) breaks("not_done", id);
    j.answered_done = std::min(j.answered_done, now);
  } else if (standing == "cancelled") {
    if (!j.cancel_asked) breaks("went_back", id + " cancelled, and nobody asked for it");
    j.on_user_cancellation = std::min(j.on_user_cancellation, now);
  }
}

void RuleChecker::submit_answered(const std::string& id, int status, const std::string& standing,
                                  Instant asked) {
  JobState& j = jobs_[id];
  if (j.accepted < asked && (status == 400 || status == 422)) {
    breaks("forgotten", id + " accepted, then answered " + std::to_string(status));
  }
  if (status != 200 && status != 201) return;
  j.accepted = std::min(j.accepted, clock_.now());
  answered(id, standing, asked);
}

void RuleChecker::poll_answered(const std::string& id, int status, const std::string& standing,
                                Instant asked) {
  const auto j = jobs_.find(id);
  if (status == 404 && j != jobs_.end() && j->second.accepted < asked) {
    breaks("forgotten", id + " is answered 404");
  }
  if (status != 200) return;
  if (j == jobs_.end()) {
    breaks("invented", id);
  } else {
    answered(id, standing, asked);
  }
}

void RuleChecker::cancel_answered(const std::string& id, int status, const std::string& standing,
                                  Instant asked) {
  if (status == 200 && standing != "cancelled" && standing != "done") {
    breaks("went_back", id + ": a cancellation is answered " + standing);
  }
  poll_answered(id, status, standing, asked);
}

bool RuleChecker::was_accepted(const std::string& id) const {
  const auto j = jobs_.find(id);
  return j != jobs_.end() && j->second.accepted != Instant::max();
}

}  // namespace dunlinknot::test
