// Checks over the history of acts under the singleton roles.
#include "role_history.hpp"

#include <algorithm>

namespace dunlinknot::test {

using roles::Role;

RoleHistory::RoleHistory(Site& site) : site_(site) {
  site.cloud.on_operation = [this](const ScriptedCloud::Operation& act) { apply_act(act); };
  site.store.on_removed = [this](const std::string& key) { apply_removed_key(key); };
}

uint64_t RoleHistory::present_token(Role role) const {
  const auto entry = site_.store.data.find(roles::role_key(role));
  if (entry == site_.store.data.end()) return 0;
  const auto document = wire::Document::parse(entry->second.value);
  const auto read = roles::read_holder(document->root());
  const auto* record = std::get_if<roles::RoleHolderRecord>(&read);
  return record ? record->fencing_token : 0;
}

bool RoleHistory::machine_lives(std::string_view machine) const {
  const auto found = site_.cloud.machines.find(std::string(machine));
  return found != site_.cloud.machines.end() && !found->second.removed;
}

size_t RoleHistory::machines_held() const {
  return static_cast<size_t>(
      std::count_if(site_.cloud.machines.begin(), site_.cloud.machines.end(),
                    [](const auto& entry) { return !entry.second.removed; }));
}

void RoleHistory::apply_act(const ScriptedCloud::Operation& act) {
  const bool launch = !act.request.empty();
  const std::string key =
      launch ? roles::scale_out_key(act.request) : roles::scale_in_key(act.machines.front());
  const bool open = site_.store.data.contains(key);
  const bool fenced = act.sender_token != present_token(launch ? Role::scale_out : Role::scale_in);
  ++counts_.acts;
  if (act.changed) {
    ++counts_.changed;
    if (!open) violations_.push_back("an act that is not decided: " + key);
    if (open && fenced) ++counts_.fenced_repeats;
    if (launch) check_launch(act.request);
    if (!launch) check_scale_in(act.machines.front());
  } else if (fenced) {
    ++counts_.fenced_without_effect;
  }
}

// While one launch of a kind of machine is decided and unanswered, a second one of that kind would
// be for the same work.
void RoleHistory::check_launch(const std::string& request) {
  std::optional<roles::ScaleOutIntent> own;
  std::vector<roles::ScaleOutIntent> others;
  for (const auto& [key, entry] : site_.store.data) {
    const auto document = wire::Document::parse(entry.value);
    const auto read = roles::read_scale_out_intent(key, document->root());
    const auto* intent = std::get_if<roles::ScaleOutIntent>(&read);
    if (!intent) continue;
    if (intent->request == request) {
      own = *intent;
    } else if (!site_.cloud.machines_by_request.contains(intent->request)) {
      others.push_back(*intent);
    }
  }
  if (!own) return;
  for (const roles::ScaleOutIntent& other : others) {
    if (other.type == own->type && other.zone == own->zone && other.spot == own->spot) {
      violations_.push_back("launched twice for one need: " + request + " and " + other.request);
    }
  }
}

// No task may be started on a machine between the decision to terminate it and the termination, and
// the termination may kill none on a machine that can be reached.
void RoleHistory::check_scale_in(const std::string& machine) {
  const auto worker = site_.workers.find(machine);
  if (worker == site_.workers.end()) return;
  const ScriptedWorker& reached = *worker->second;
  if (!reached.powered_on || reached.isolated || reached.hung || reached.drop_heartbeats ||
      reached.drop_responses || reached.interruption_notice) {
    return;
  }
  for (const auto& [key, task] : reached.tasks) {
    if (task.state == TaskState::exited) continue;
    violations_.push_back("machine " + machine + " was returned with " + key.first.text());
  }
}

void RoleHistory::apply_removed_key(const std::string& key) {
  if (key.starts_with(wire::kFinalPrefix)) {
    violations_.push_back("a final answer was removed: " + key);
  }
  if (const auto machine = roles::machine_of_scale_in_key(key);
      !machine.empty() && machine_lives(machine)) {
    violations_.push_back("an intent was removed before its machine was gone: " + key);
  }
  if (const auto machine = wire::after_prefix(key, wire::kMachinePrefix); machine_lives(machine)) {
    const auto worker = site_.workers.find(std::string(machine));
    if (worker == site_.workers.end() || !worker->second->powered_on) return;
    for (const auto& [task, running] : worker->second->tasks) {
      if (running.state == TaskState::exited) continue;
      violations_.push_back("a record was removed whose task runs: " + key);
    }
  }
}

}  // namespace dunlinknot::test
