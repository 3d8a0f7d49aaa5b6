// Decides when and why a machine is terminated. Does no I/O.
//
// Termination is also the fastest way to fence a machine: once the cloud has confirmed it, nothing
// runs there any more, and the machine's tasks may be started elsewhere before its lease expires.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::autoscaler {

// Why a machine is terminated. Intents store the text of the reason, not the enumerator.
enum class TerminationReason : uint8_t {
  failed,                    // the cloud lists the machine as failed
  unreachable,               // heartbeats arrive, but responses do not reach the machine
  boot_timeout,              // no heartbeat within several times its type's boot time
  no_heartbeat,              // no heartbeat for longer than the lease and the lost-return setting
  interrupted_no_heartbeat,  // interruption notice, then no heartbeat: probably reclaimed
  interrupted_empty,         // interruption notice, and no allocations
  drained,                   // drained, and no allocations any more
  idle,                      // no allocations, and no task waits
  idle_no_fitting_task,      // no allocations, and no waiting task fits
};

// The text of the reason in log lines and stored intents. Empty for a drained machine, whose text
// is Termination::drain_reason.
std::string_view text(TerminationReason reason);

// The decision to terminate a machine.
struct Termination {
  std::string machine;
  TerminationReason reason = TerminationReason::idle;
  std::string drain_reason;  // only with TerminationReason::drained
};
// The text of the reason in log lines and stored intents.
std::string_view text(const Termination& termination);

// The inputs of the policy that are the same for all machines of one scan.
struct TerminationScan {
  Instant now{};
  Instant term_since{};                       // when this controller's term began
  std::vector<std::string> machines_to_keep;  // ids of machines that the scheduler keeps, sorted
  bool has_waiting_tasks = false;
};

// Evaluates one machine at a time, without side effects. The caller holds the lock on the machine's
// state.
class TerminationPolicy {
 public:
  TerminationPolicy(const settings::Platform& platform,
                    const settings::Operator& operator_settings);

  // Why the machine should be terminated; empty if it should be kept or its termination is decided
  // already. Also empty for unreachable machines, which the caller handles: how many of them may be
  // terminated at once depends on all other machines (Cluster::unreachable_machines). `type` is the
  // machine's type and only used for machines without a heartbeat; null if the catalog does not
  // have the type.
  std::optional<TerminationReason> reason(const cluster::Machine& machine, const MachineType* type,
                                          const TerminationScan& scan) const;

 private:
  std::optional<TerminationReason> without_heartbeat(const cluster::Machine& machine,
                                                     const MachineType& type,
                                                     const TerminationScan& scan) const;
  std::optional<TerminationReason> when_empty(const cluster::Machine& machine,
                                              const TerminationScan& scan) const;

  Nanos lost_timeout_;  // time since the last heartbeat after which a lost machine is terminated
  Nanos heartbeat_timeout_;  // longest expected time between two heartbeats
  Nanos idle_timeout_;
  double boot_time_factor_;  // multiple of the type's boot time
};

}  // namespace dunlinknot::autoscaler
