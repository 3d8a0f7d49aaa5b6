#include "dunlinknot/autoscaler/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::LeaderState;
using cluster::Machine;

constexpr auto kListEvery = std::chrono::seconds(3);
constexpr double kListShare = 0.5;  // of the cloud's requests, for listing many machines
constexpr auto kCatalogEvery = std::chrono::seconds(45);
constexpr Seconds kBootSlack{15};
constexpr double kHeartbeatSpread = 1.25;  // reports come every period, give or take a quarter
constexpr Seconds kHeartbeatSlack{1};

}  // namespace

Autoscaler::Autoscaler(cluster::LeaderContext& context, cloud::Client& cloud,
                       roles::SingletonRoles* roles)
    : context_(context),
      cloud_(cloud),
      roles_(roles),
      scale_out_(context, cloud, roles),
      scale_in_(context, cloud, roles, scale_out_) {}

void Autoscaler::begin_term() {
  scale_out_.begin_term();
  scale_in_.begin_term();
  if (roles_) roles_->intents.begin_term();
}

Task<bool> Autoscaler::acquire_roles(uint64_t term) {
  if (!roles_) co_return true;
  const auto acquired = co_await roles_->holder.acquire(term);
  if (acquired == roles::RoleHolder::Acquired::term_over) co_return false;
  const std::optional<roles::OpenIntents> open = co_await roles_->intents.load(term);
  if (!open) co_return false;
  scale_out_.resume(open->scale_out);
  scale_in_.resume(*open);
  context_.loop.spawn(roles_->holder.keep(term));
  context_.loop.spawn(roles_->intents.remove_ended(term));
  co_return true;
}

Task<void> Autoscaler::work(uint64_t term) {
  while (context_.in_term(term)) {
    co_await scale_out_.record(term);
    if (context_.in_term(term)) co_await scale_in_.record(term);
    if (!context_.in_term(term)) co_return;
    scale_out_.send(term);
    scale_in_.send(term);
    (void)co_await context_.scaling.wait();
  }
}

Task<void> Autoscaler::watch_machines(uint64_t term) {
  Instant next_catalog = context_.loop.now() + kCatalogEvery;
  while (context_.in_term(term)) {
    const Instant began = context_.loop.now();
    double pages = 0;
    std::string after;
    for (;;) {
      std::optional<MachineList> list = co_await cloud_.list(after);
      if (!context_.in_term(term)) co_return;
      if (!list) break;
      ++pages;
      apply_list(list->machines, context_.loop.now());
      if (!list->more || list->machines.empty()) {
        scale_out_.list_was_read();
        break;
      }
      after = list->machines.back().id;
    }
    if (context_.loop.now() >= next_catalog) {
      next_catalog = context_.loop.now() + kCatalogEvery;
      auto types = co_await cloud_.catalog();
      if (!context_.in_term(term)) co_return;
      if (types) {
        context_.leader_state.with(
            [&](LeaderState& leader) { leader.cluster.set_catalog(std::move(*types)); });
      }
    }
    // A list of many pages leaves half of the cloud's budget to launches and returns.
    const Seconds paced(pages / (context_.platform.cloud_rps * kListShare));
    co_await context_.loop.sleep_until(
        std::max(context_.loop.now() + kListEvery, began + to_nanos(paced)));
  }
}

void Autoscaler::apply_list(const std::vector<ListedMachine>& machines, Instant now) {
  bool changed = false;
  std::vector<std::string> failed;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& m : machines) {
      if (leader.cluster.was_removed(m.id)) continue;  // the list lags
      const bool known = leader.cluster.find_machine(m.id) != nullptr;
      Machine& machine = leader.cluster.register_machine(m.id, m.type, m.zone, m.spot, now);
      if (!known) {
        // Not launched under this term, or by a request whose answer was lost: used like any other.
        machine.known_since = now - to_nanos(m.age);
        changed = true;
        spdlog::info("machine {} ({} in {}) found in the list", m.id, m.type, m.zone);
      }
      machine.listed = true;
      machine.listed_running |= m.state == MachineState::running;
      if (machine.address.empty()) machine.address = m.address;
      if (m.state == MachineState::failed && !machine.listed_failed) {
        machine.listed_failed = true;
        changed = true;
        failed.push_back(m.id);
      }
    }
  });
  for (const auto& id : failed) scale_in_.decide(id, "it failed");
  if (changed) context_.schedule.notify();
}

void Autoscaler::scan(std::vector<std::string> wanted, size_t waiting_tasks, Instant now) {
  std::sort(wanted.begin(), wanted.end());
  std::vector<std::pair<std::string, std::string>> out;
  const auto& op = context_.op;
  const Nanos silent =
      to_nanos(context_.platform.heartbeat_interval * kHeartbeatSpread + kHeartbeatSlack);
  context_.leader_state.with([&](LeaderState& leader) {
    // Deleting a machine that does not hear us is the quick fence: its tasks go elsewhere at once.
    for (const auto& id : leader.cluster.unreachable_machines())
      out.emplace_back(id, "our responses do not reach it");
    for (const auto& [id, machine] : leader.cluster.machines()) {
      if (machine->terminating || machine->unreachable) continue;
      if (!machine->has_heartbeat) {
        // Some take several times as long; some never come up and cost until they are deleted.
        // What is allocated there by a former leader ends with the deletion (the fast fence).
        const MachineType* machine_type = leader.cluster.type(machine->type);
        if (!machine_type) continue;
        // A new leader has heard nobody yet: a machine that is up, or was while somebody else led,
        // has the time a silent one has before it is given up.
        const Instant heartbeat_due =
            leader.cluster.term_since() + to_nanos(context_.platform.lease + op.lost_return);
        const bool was_up = machine->listed_running || !machine->allocations.empty();
        const Instant up_by =
            machine->known_since + to_nanos(machine_type->boot * op.boot_patience + kBootSlack);
        if (now > heartbeat_due && (was_up || now > up_by)) {
          out.emplace_back(id, was_up ? "its worker stays silent" : "it never came up");
        } else if (!was_up && now > up_by && machine->known_since > leader.cluster.term_since()) {
          out.emplace_back(id, "it never came up");
        }
        continue;
      }
      if (machine->lost) {
        if (now - machine->last_heartbeat > to_nanos(context_.platform.lease + op.lost_return)) {
          out.emplace_back(id, "its worker stays silent");
        }
        continue;
      }
      // Its notice came and then nothing more: taken, or about to be. What was not saved there need
      // not wait for the lease.
      if (machine->interruption_at && now - machine->last_heartbeat > silent) {
        out.emplace_back(id, "interrupted and silent");
        continue;
      }
      if (!machine->allocations.empty()) continue;
      if (machine->draining) {
        out.emplace_back(id, machine->drain_reason);
      } else if (machine->interruption_at) {
        out.emplace_back(id, "interrupted and empty");
      } else if (now - machine->idle_since > to_nanos(op.idle_return) &&
                 !std::binary_search(wanted.begin(), wanted.end(), id)) {
        out.emplace_back(id, waiting_tasks > 0 ? "idle, and nothing that waits fits" : "idle");
      }
    }
  });
  for (const auto& [id, why] : out) scale_in_.decide(id, why);
  scale_in_.release_resumed();
  if (roles_) {
    scale_out_.settle(now);
    // What could not be recorded or sent is tried again.
    context_.scaling.notify();
  }
}

}  // namespace dunlinknot::autoscaler
