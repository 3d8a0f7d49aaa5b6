// Reads the cloud's machine list and catalog, and applies them to the cluster state.
#include "dunlinknot/autoscaler/machine_inventory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::LeaderState;
using cluster::Machine;

constexpr auto kListInterval = std::chrono::seconds(3);
constexpr auto kCatalogInterval = std::chrono::seconds(45);
// Share of the cloud's request rate that listing may use; the rest is left to launches and
// terminations.
constexpr double kListRateShare = 0.5;

}  // namespace

MachineInventory::MachineInventory(cluster::LeaderContext& context, cloud::Client& cloud,
                                   ScaleOut& scale_out, ScaleIn& scale_in)
    : context_(context), cloud_(cloud), scale_out_(scale_out), scale_in_(scale_in) {}

Task<void> MachineInventory::watch(uint64_t term) {
  Instant next_catalog = context_.loop.now() + kCatalogInterval;
  while (context_.in_term(term)) {
    const Instant started = context_.loop.now();
    const size_t pages = co_await read_list(term);
    if (!context_.in_term(term)) co_return;
    if (context_.loop.now() >= next_catalog) {
      next_catalog = context_.loop.now() + kCatalogInterval;
      co_await read_catalog(term);
      if (!context_.in_term(term)) co_return;
    }
    const Seconds min_pass_duration(static_cast<double>(pages) /
                                    (context_.platform.cloud_rps * kListRateShare));
    co_await context_.loop.sleep_until(
        std::max(context_.loop.now() + kListInterval, started + to_nanos(min_pass_duration)));
  }
}

// Reads and applies the list page by page and stops at the first page that cannot be read. Returns
// the number of pages read.
Task<size_t> MachineInventory::read_list(uint64_t term) {
  size_t pages = 0;
  std::string after;
  for (;;) {
    const std::optional<MachineList> list = co_await cloud_.list(after);
    if (!context_.in_term(term) || !list) co_return pages;
    ++pages;
    apply(list->machines, context_.loop.now());
    if (!list->more || list->machines.empty()) {
      scale_out_.mark_list_read();
      co_return pages;
    }
    after = list->machines.back().id;
  }
}

Task<void> MachineInventory::read_catalog(uint64_t term) {
  auto types = co_await cloud_.catalog();
  if (!context_.in_term(term) || !types) co_return;
  context_.leader_state.with(
      [&](LeaderState& leader) { leader.cluster.set_catalog(std::move(*types)); });
}

void MachineInventory::apply(const std::vector<ListedMachine>& machines, Instant now) {
  bool changed = false;
  std::vector<std::string> failed;
  context_.leader_state.with([&](LeaderState& leader) {
    for (const ListedMachine& listed : machines) {
      if (leader.cluster.was_removed(listed.id)) continue;  // the list lags behind terminations
      const Applied applied = apply(leader.cluster, listed, now);
      changed |= applied.found || applied.failed;
      if (applied.failed) failed.push_back(listed.id);
    }
  });
  for (const std::string& id : failed) scale_in_.decide({id, TerminationReason::failed, ""});
  if (changed) context_.schedule.notify();
}

MachineInventory::Applied MachineInventory::apply(cluster::Cluster& cluster,
                                                  const ListedMachine& listed, Instant now) {
  Applied applied;
  applied.found = cluster.find_machine(listed.id) == nullptr;
  Machine& machine =
      cluster.register_machine(listed.id, listed.type, listed.zone, listed.spot, now);
  if (applied.found) {
    // Launched before this term, or by a request whose answer was lost. Used like any other
    // machine.
    machine.known_since = now - to_nanos(listed.age);
    spdlog::info(
        "machine {} ({} in {}) is in the cloud's list but was not known; adding it to the cluster",
        listed.id, listed.type, listed.zone);
  }
  machine.listed = true;
  machine.listed_running |= listed.state == MachineState::running;
  if (machine.address.empty()) machine.address = listed.address;
  if (listed.state == MachineState::failed && !machine.listed_failed) {
    machine.listed_failed = true;
    applied.failed = true;
  }
  return applied;
}

}  // namespace dunlinknot::autoscaler
