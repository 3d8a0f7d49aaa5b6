// Checks on the history of requests under the singleton roles.
#include "role_history.hpp"

#include <algorithm>

namespace dunlinknot::test {

using roles::Role;

RoleHistory::RoleHistory(Site& site) : site_(site) {
  site.cloud.on_operation = [this](const ScriptedCloud::Operation& operation) {
    check_operation(operation);
  };
  site.store.on_removed = [this](const std::string& key) { check_removed_key(key); };
}

uint64_t RoleHistory::current_fencing_token(Role role) const {
  const auto entry = site_.store.data.find(roles::role_key(role));
  if (entry == site_.store.data.end()) return 0;
  const auto document = wire::Document::parse(entry->second.value);
  const auto read = roles::read_holder(document->root());
  const auto* record = std::get_if<roles::RoleHolderRecord>(&read);
  return record ? record->fencing_token : 0;
}

bool RoleHistory::machine_exists(std::string_view machine) const {
  const auto found = site_.cloud.machines.find(std::string(machine));
  return found != site_.cloud.machines.end() && !found->second.removed;
}

size_t RoleHistory::running_machine_count() const {
  return static_cast<size_t>(
      std::count_if(site_.cloud.machines.begin(), site_.cloud.machines.end(),
                    [](const auto& entry) { return !entry.second.removed; }));
}

void RoleHistory::check_operation(const ScriptedCloud::Operation& operation) {
  const bool launch = !operation.request.empty();
  const std::string key = launch ? roles::scale_out_key(operation.request)
                                 : roles::scale_in_key(operation.machines.front());
  const bool intent_open = site_.store.data.contains(key);
  const bool fenced =
      operation.sender_token != current_fencing_token(launch ? Role::scale_out : Role::scale_in);
  ++counts_.operations;
  if (operation.changed) {
    ++counts_.changed;
    if (!intent_open)
      violations_.push_back("the cloud executed a request without an open intent: " + key);
    if (intent_open && fenced) ++counts_.fenced_repeats;
    if (launch) check_launch(operation.request);
    if (!launch) check_scale_in(operation.machines.front());
  } else if (fenced) {
    ++counts_.fenced_without_effect;
  }
}

// While a launch has an open intent and the cloud has not executed it, a launch of the same type in
// the same zone, both spot or both not, would be for the same demand.
void RoleHistory::check_launch(const std::string& request) {
  std::optional<roles::ScaleOutIntent> own_intent;
  std::vector<roles::ScaleOutIntent> other_intents;
  for (const auto& [key, entry] : site_.store.data) {
    const auto document = wire::Document::parse(entry.value);
    const auto read = roles::read_scale_out_intent(key, document->root());
    const auto* intent = std::get_if<roles::ScaleOutIntent>(&read);
    if (!intent) continue;
    if (intent->request == request) {
      own_intent = *intent;
    } else if (!site_.cloud.machines_by_request.contains(intent->request)) {
      other_intents.push_back(*intent);
    }
  }
  if (!own_intent) return;
  for (const roles::ScaleOutIntent& other : other_intents) {
    if (other.type == own_intent->type && other.zone == own_intent->zone &&
        other.spot == own_intent->spot) {
      violations_.push_back("two launches for the same demand: " + request + " and " +
                            other.request);
    }
  }
}

// No task may be started on a machine between the decision to terminate it and its termination, so
// a reachable machine must not be terminated while it has unfinished tasks.
void RoleHistory::check_scale_in(const std::string& machine) {
  const auto worker = site_.workers.find(machine);
  if (worker == site_.workers.end()) return;
  const ScriptedWorker& target = *worker->second;
  if (!target.powered_on || target.isolated || target.hung || target.drop_heartbeats ||
      target.drop_responses || target.interruption_notice) {
    return;
  }
  for (const auto& [key, task] : target.tasks) {
    if (task.state == TaskState::exited) continue;
    violations_.push_back("machine " + machine +
                          " was terminated while it had the unfinished task " + key.first.text());
  }
}

void RoleHistory::check_removed_key(const std::string& key) {
  if (key.starts_with(wire::kFinalPrefix)) {
    violations_.push_back("the final result of a job was removed: " + key);
  }
  if (const auto machine = roles::machine_of_scale_in_key(key);
      !machine.empty() && machine_exists(machine)) {
    violations_.push_back("an intent was removed before its machine was terminated: " + key);
  }
  if (const auto machine = wire::after_prefix(key, wire::kMachinePrefix); machine_exists(machine)) {
    const auto worker = site_.workers.find(std::string(machine));
    if (worker == site_.workers.end() || !worker->second->powered_on) return;
    for (const auto& [task, running] : worker->second->tasks) {
      if (running.state == TaskState::exited) continue;
      violations_.push_back("a machine's record was removed while its task runs: " + key);
    }
  }
}

}  // namespace dunlinknot::test
