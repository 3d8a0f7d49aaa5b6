// The rules of the termination policy, in the order in which they apply.
#include "dunlinknot/autoscaler/termination_policy.hpp"

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::Machine;

constexpr Seconds kBootSlack{15};          // on top of the boot time, whatever the type
constexpr double kHeartbeatSpread = 1.25;  // heartbeats come every interval, give or take a quarter
constexpr Seconds kHeartbeatSlack{1};      // for delays on the way

}  // namespace

std::string_view text(TerminationReason reason) {
  switch (reason) {
    case TerminationReason::failed:
      return "it failed";
    case TerminationReason::unreachable:
      return "our responses do not reach it";
    case TerminationReason::never_came_up:
      return "it never came up";
    case TerminationReason::silent:
      return "its worker stays silent";
    case TerminationReason::interrupted_silent:
      return "interrupted and silent";
    case TerminationReason::interrupted_empty:
      return "interrupted and empty";
    case TerminationReason::drained:
      return "";
    case TerminationReason::idle:
      return "idle";
    case TerminationReason::idle_unfit:
      return "idle, and nothing that waits fits";
  }
  return "";
}

std::string_view text(const Termination& termination) {
  if (termination.reason == TerminationReason::drained) return termination.drain_reason;
  return text(termination.reason);
}

TerminationPolicy::TerminationPolicy(const settings::Platform& platform,
                                     const settings::Operator& operator_settings)
    : lost_after_(to_nanos(platform.lease + operator_settings.lost_return)),
      silent_after_(to_nanos(platform.heartbeat_interval * kHeartbeatSpread + kHeartbeatSlack)),
      idle_return_(to_nanos(operator_settings.idle_return)),
      boot_patience_(operator_settings.boot_patience) {}

std::optional<TerminationReason> TerminationPolicy::reason(const Machine& machine,
                                                           const MachineType* type,
                                                           const TerminationScan& scan) const {
  if (machine.terminating || machine.unreachable) return std::nullopt;
  if (!machine.has_heartbeat) {
    if (!type) return std::nullopt;
    return without_heartbeat(machine, *type, scan);
  }
  const Nanos silence = scan.now - machine.last_heartbeat;
  if (machine.lost) {
    if (silence > lost_after_) return TerminationReason::silent;
    return std::nullopt;
  }
  // Checkpoints that were not saved there cannot be saved any more: no reason to wait for the
  // lease.
  if (machine.interruption_at && silence > silent_after_) {
    return TerminationReason::interrupted_silent;
  }
  if (!machine.allocations.empty()) return std::nullopt;
  return when_empty(machine, scan);
}

// Some machines take several times their type's boot time; some never come up and cost until they
// are terminated. Whatever a former leader allocated there ends with the termination.
std::optional<TerminationReason> TerminationPolicy::without_heartbeat(
    const Machine& machine, const MachineType& type, const TerminationScan& scan) const {
  // A new leader has had no heartbeat from anybody yet. A machine that is up, or was while another
  // node led, is given the time that a silent one has before it is given up.
  const Instant heartbeat_due = scan.term_since + lost_after_;
  const bool was_up = machine.listed_running || !machine.allocations.empty();
  if (was_up) {
    if (scan.now > heartbeat_due) return TerminationReason::silent;
    return std::nullopt;
  }
  const Instant up_by = machine.known_since + to_nanos(type.boot * boot_patience_ + kBootSlack);
  const bool known_in_this_term = machine.known_since > scan.term_since;
  if (scan.now > up_by && (scan.now > heartbeat_due || known_in_this_term)) {
    return TerminationReason::never_came_up;
  }
  return std::nullopt;
}

std::optional<TerminationReason> TerminationPolicy::when_empty(const Machine& machine,
                                                               const TerminationScan& scan) const {
  if (machine.draining) return TerminationReason::drained;
  if (machine.interruption_at) return TerminationReason::interrupted_empty;
  if (scan.now - machine.idle_since <= idle_return_) return std::nullopt;
  if (std::binary_search(scan.wanted.begin(), scan.wanted.end(), machine.id)) return std::nullopt;
  return scan.tasks_wait ? TerminationReason::idle_unfit : TerminationReason::idle;
}

}  // namespace dunlinknot::autoscaler
