// Connects the autoscaler's components and selects the machines to terminate.
#include "dunlinknot/autoscaler/autoscaler.hpp"

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::LeaderState;

}  // namespace

Autoscaler::Autoscaler(cluster::LeaderContext& context, cloud::Client& cloud,
                       roles::SingletonRoles* roles)
    : context_(context),
      roles_(roles),
      scale_out_(context, cloud, roles),
      scale_in_(context, cloud, roles, scale_out_),
      inventory_(context, cloud, scale_out_, scale_in_) {}

void Autoscaler::begin_term() {
  scale_out_.begin_term();
  scale_in_.begin_term();
  if (roles_) roles_->intents.begin_term();
}

Task<bool> Autoscaler::acquire_roles(uint64_t term) {
  if (!roles_) co_return true;
  const auto acquired = co_await roles_->holder.acquire(term);
  if (acquired == roles::RoleHolder::AcquireResult::term_ended) co_return false;
  const std::optional<roles::OpenIntents> open = co_await roles_->intents.load(term);
  if (!open) co_return false;
  scale_out_.resume(open->scale_out);
  scale_in_.resume(*open);
  context_.loop.spawn(roles_->holder.renew_until_term_ends(term));
  context_.loop.spawn(roles_->intents.remove_settled(term));
  co_return true;
}

Task<void> Autoscaler::run(uint64_t term) {
  while (context_.in_term(term)) {
    co_await scale_out_.record(term);
    if (context_.in_term(term)) co_await scale_in_.record(term);
    if (!context_.in_term(term)) co_return;
    scale_out_.send(term);
    scale_in_.send(term);
    (void)co_await context_.scaling.wait();
  }
}

void Autoscaler::scan(std::vector<std::string> machines_to_keep, size_t waiting_tasks,
                      Instant now) {
  for (const Termination& termination :
       decide_terminations(std::move(machines_to_keep), waiting_tasks, now)) {
    scale_in_.decide(termination);
  }
  scale_in_.release_resumed();
  if (roles_) {
    scale_out_.settle_confirmed_launches(now);
    // Wakes the loop in run(), which retries requests that could not be recorded or sent.
    context_.scaling.notify();
  }
}

std::vector<Termination> Autoscaler::decide_terminations(std::vector<std::string> machines_to_keep,
                                                         size_t waiting_tasks, Instant now) {
  std::sort(machines_to_keep.begin(), machines_to_keep.end());
  const TerminationPolicy policy(context_.platform, context_.op);
  std::vector<Termination> terminations;
  context_.leader_state.with([&](LeaderState& leader) {
    const cluster::Cluster& cluster = leader.cluster;
    for (const std::string& id : cluster.unreachable_machines()) {
      terminations.push_back({id, TerminationReason::unreachable, ""});
    }
    const TerminationScan scan{now, cluster.term_since(), std::move(machines_to_keep),
                               waiting_tasks > 0};
    for (const auto& [id, machine] : cluster.machines()) {
      const MachineType* type = machine->has_heartbeat ? nullptr : cluster.type(machine->type);
      const auto reason = policy.reason(*machine, type, scan);
      if (!reason) continue;
      const bool drained = *reason == TerminationReason::drained;
      terminations.push_back({id, *reason, drained ? machine->drain_reason : ""});
    }
  });
  return terminations;
}

}  // namespace dunlinknot::autoscaler
