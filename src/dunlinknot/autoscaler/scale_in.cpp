// The stages of a termination: decision, durable intent, request to the cloud, answer.
#include "dunlinknot/autoscaler/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::Effects;
using cluster::LeaderState;
using cluster::Machine;
using http::Outcome;
using roles::Role;

constexpr auto kRetryDelay = Millis(1500);      // after a request that did not succeed
constexpr size_t kMaxMachinesPerRequest = 100;  // the cloud's limit

}  // namespace

ScaleIn::ScaleIn(cluster::LeaderContext& context, cloud::Client& cloud,
                 roles::SingletonRoles* roles, ScaleOut& scale_out)
    : context_(context), cloud_(cloud), roles_(roles), scale_out_(scale_out) {}

void ScaleIn::begin_term() {
  unrecorded_.clear();
  ready_.clear();
  resumed_.clear();
  sending_ = false;
}

void ScaleIn::resume(const roles::OpenIntents& open) {
  context_.leader_state.with([&](LeaderState& leader) {
    for (const roles::ScaleInIntent& intent : open.scale_in) {
      leader.cluster.mark_terminating(intent.machine);
      resumed_.insert(intent.machine);
    }
    // An unreadable intent identifies its machine but not the decision: the machine gets no more
    // work and is not terminated.
    for (const roles::UnreadableIntent& intent : open.unreadable) {
      const std::string_view machine = roles::machine_of_scale_in_key(intent.key);
      if (!machine.empty()) leader.cluster.mark_terminating(std::string(machine));
    }
  });
}

void ScaleIn::decide(const Termination& termination) {
  const bool first = context_.leader_state.with([&](LeaderState& leader) {
    Machine* machine = leader.cluster.find_machine(termination.machine);
    if (!machine || machine->terminating) return false;
    machine->terminating = true;
    return true;
  });
  if (!first) return;
  spdlog::info("scaling in: terminating machine {}: {}", termination.machine, text(termination));
  if (roles_) {
    unrecorded_.push_back(termination);
  } else {
    ready_.push_back(termination.machine);
  }
  context_.scaling.notify();
}

void ScaleIn::release_resumed() {
  if (resumed_.empty()) return;
  std::vector<std::string> ready;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const std::string& id : resumed_) {
      const Machine* machine = leader.cluster.find_machine(id);
      if (!machine || machine->allocations.empty()) ready.push_back(id);
    }
  });
  for (const std::string& id : ready) {
    spdlog::info(
        "scaling in: terminating machine {}: resuming the decision of the previous role holder",
        id);
    resumed_.erase(id);
    ready_.push_back(id);
  }
  if (!ready.empty()) context_.scaling.notify();
}

Task<void> ScaleIn::record(uint64_t term) {
  if (!roles_ || unrecorded_.empty()) co_return;
  std::vector<roles::ScaleInIntent> intents;
  for (const Termination& decided : unrecorded_) {
    if (intents.size() >= roles_->intents.max_batch()) break;
    intents.push_back({decided.machine, std::string(text(decided)), 0});
  }
  const bool durable = co_await roles_->intents.record_scale_in(term, intents);
  if (!context_.in_term(term) || !durable) co_return;
  for (size_t i = 0; i < intents.size(); ++i) {
    ready_.push_back(std::move(unrecorded_.front().machine));
    unrecorded_.pop_front();
  }
  if (!unrecorded_.empty()) context_.scaling.notify();
}

void ScaleIn::send(uint64_t term) {
  if (sending_ || ready_.empty()) return;
  if (roles_ && !roles_->holder.may_act(Role::scale_in)) return;
  const size_t count = std::min(ready_.size(), kMaxMachinesPerRequest);
  const auto end = ready_.begin() + static_cast<ptrdiff_t>(count);
  std::vector<std::string> batch(std::make_move_iterator(ready_.begin()),
                                 std::make_move_iterator(end));
  ready_.erase(ready_.begin(), end);
  sending_ = true;
  context_.loop.spawn(terminate(term, std::move(batch)));
}

Task<void> ScaleIn::terminate(uint64_t term, std::vector<std::string> machines) {
  const Outcome outcome = co_await cloud_.terminate(machines);
  if (!context_.in_term(term)) co_return;
  sending_ = false;
  if (outcome == Outcome::ok) {
    apply_terminated(machines);
  } else {
    ready_.insert(ready_.end(), machines.begin(), machines.end());
    co_await context_.loop.sleep(kRetryDelay);
    if (!context_.in_term(term)) co_return;
  }
  context_.scaling.notify();
}

// Once the cloud has confirmed the termination, nothing runs on the machines any more.
void ScaleIn::apply_terminated(const std::vector<std::string>& machines) {
  Effects effects;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& id : machines) {
      if (const Machine* machine = leader.cluster.find_machine(id))
        scale_out_.reset_backoff({machine->type, machine->zone, machine->spot});
      effects |= leader.cluster.remove_machine(id, context_.loop.now());
    }
  });
  context_.follow_up(effects);
  if (!roles_) return;
  for (const auto& id : machines) roles_->intents.mark_scale_in_settled(id);
}

}  // namespace dunlinknot::autoscaler
