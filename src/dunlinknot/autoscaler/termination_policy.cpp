// The rules of the termination policy, in the order in which they apply.
#include "dunlinknot/autoscaler/termination_policy.hpp"

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

using cluster::Machine;

constexpr Seconds kBootTimeMargin{15};        // added to the boot deadline of every machine type
constexpr double kMaxHeartbeatFactor = 1.25;  // heartbeat intervals vary by up to a quarter
constexpr Seconds kHeartbeatMargin{1};        // for network delay

}  // namespace

std::string_view text(TerminationReason reason) {
  switch (reason) {
    case TerminationReason::failed:
      return "it failed";
    case TerminationReason::unreachable:
      return "our responses do not reach it";
    case TerminationReason::boot_timeout:
      return "it never came up";
    case TerminationReason::no_heartbeat:
      return "its worker stays silent";
    case TerminationReason::interrupted_no_heartbeat:
      return "interrupted and silent";
    case TerminationReason::interrupted_empty:
      return "interrupted and empty";
    case TerminationReason::drained:
      return "";
    case TerminationReason::idle:
      return "idle";
    case TerminationReason::idle_no_fitting_task:
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
    : lost_timeout_(to_nanos(platform.worker_lease + operator_settings.lost_return)),
      heartbeat_timeout_(
          to_nanos(platform.heartbeat_interval * kMaxHeartbeatFactor + kHeartbeatMargin)),
      idle_timeout_(to_nanos(operator_settings.idle_return)),
      boot_time_factor_(operator_settings.boot_timeout_factor) {}

std::optional<TerminationReason> TerminationPolicy::reason(const Machine& machine,
                                                           const MachineType* type,
                                                           const TerminationScan& scan) const {
  if (machine.terminating || machine.unreachable) return std::nullopt;
  if (!machine.has_heartbeat) {
    if (!type) return std::nullopt;
    return without_heartbeat(machine, *type, scan);
  }
  const Nanos time_since_heartbeat = scan.now - machine.last_heartbeat;
  if (machine.lost) {
    if (time_since_heartbeat > lost_timeout_) return TerminationReason::no_heartbeat;
    return std::nullopt;
  }
  // An interrupted machine without heartbeats cannot save checkpoints any more, so there is no
  // reason to wait for its lease to expire.
  if (machine.interruption_at && time_since_heartbeat > heartbeat_timeout_) {
    return TerminationReason::interrupted_no_heartbeat;
  }
  if (!machine.allocations.empty()) return std::nullopt;
  return when_empty(machine, scan);
}

// Some machines take several times their type's boot time to boot. Some never come up and incur
// cost until they are terminated. The termination ends any allocations that a previous leader made
// there.
std::optional<TerminationReason> TerminationPolicy::without_heartbeat(
    const Machine& machine, const MachineType& type, const TerminationScan& scan) const {
  // A new leader has not received any heartbeats yet. A machine that is up, or was up under a
  // previous leader, gets the same timeout as a lost machine.
  const Instant heartbeat_deadline = scan.term_since + lost_timeout_;
  const bool was_up = machine.listed_running || !machine.allocations.empty();
  if (was_up) {
    if (scan.now > heartbeat_deadline) return TerminationReason::no_heartbeat;
    return std::nullopt;
  }
  const Instant boot_deadline =
      machine.known_since + to_nanos(type.boot * boot_time_factor_ + kBootTimeMargin);
  const bool known_in_this_term = machine.known_since > scan.term_since;
  if (scan.now > boot_deadline && (scan.now > heartbeat_deadline || known_in_this_term)) {
    return TerminationReason::boot_timeout;
  }
  return std::nullopt;
}

std::optional<TerminationReason> TerminationPolicy::when_empty(const Machine& machine,
                                                               const TerminationScan& scan) const {
  if (machine.draining) return TerminationReason::drained;
  if (machine.interruption_at) return TerminationReason::interrupted_empty;
  if (scan.now - machine.idle_since <= idle_timeout_) return std::nullopt;
  if (std::binary_search(scan.machines_to_keep.begin(), scan.machines_to_keep.end(), machine.id))
    return std::nullopt;
  return scan.has_waiting_tasks ? TerminationReason::idle_no_fitting_task : TerminationReason::idle;
}

}  // namespace dunlinknot::autoscaler
