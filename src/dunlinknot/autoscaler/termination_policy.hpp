// When a machine is terminated, and why: the whole policy, without I/O.
//
// Terminating a machine is also the quick fence: once the cloud has answered, nothing runs there
// any more, and its tasks may be started elsewhere without waiting for the machine's lease.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/cluster.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::autoscaler {

// Why a machine is terminated. The enumerators are not stored; their texts are.
enum class TerminationReason : uint8_t {
  failed,              // the cloud lists it as failed
  unreachable,         // its heartbeats arrive, but our responses do not reach it
  never_came_up,       // no heartbeat within several times its type's boot time
  silent,              // no heartbeat for longer than its lease and the grace after it
  interrupted_silent,  // interruption notice, then no heartbeat: taken back, or about to be
  interrupted_empty,   // interruption notice, and nothing is allocated there
  drained,             // draining, and nothing is allocated there any more
  idle,                // nothing is allocated there, and no task waits
  idle_unfit,          // nothing is allocated there, and no waiting task fits
};

// The reason in log lines and in the stored intent. A drained machine's is the reason why it was
// drained, which it bears itself: empty here.
std::string_view text(TerminationReason reason);

// A machine that is to be terminated.
struct Termination {
  std::string machine;
  TerminationReason reason = TerminationReason::idle;
  std::string drain_reason;  // of a drained machine only
};
std::string_view text(const Termination& termination);

// What the policy needs to know besides the machine itself; the same for all machines of one scan.
struct TerminationScan {
  Instant now{};
  Instant term_since{};             // when this controller's term began
  std::vector<std::string> wanted;  // ids of machines that the scheduler keeps, sorted
  bool tasks_wait = false;
};

// Decides about one machine at a time. Pure; the caller holds the lock of the machine's state.
class TerminationPolicy {
 public:
  TerminationPolicy(const settings::Platform& platform,
                    const settings::Operator& operator_settings);

  // Whether the machine is to be terminated; nothing also when that is decided already. Machines
  // that our responses do not reach are the caller's: how many may be terminated at once depends
  // on all others (Cluster::unreachable_machines). `type` is the machine's, looked up only for
  // machines without a heartbeat, and may be null if the catalogue does not have it.
  std::optional<TerminationReason> reason(const cluster::Machine& machine, const MachineType* type,
                                          const TerminationScan& scan) const;

 private:
  std::optional<TerminationReason> without_heartbeat(const cluster::Machine& machine,
                                                     const MachineType& type,
                                                     const TerminationScan& scan) const;
  std::optional<TerminationReason> when_empty(const cluster::Machine& machine,
                                              const TerminationScan& scan) const;

  Nanos lost_after_;  // without a heartbeat, until a machine is given up
  Nanos silent_after_;
  Nanos idle_return_;
  double boot_patience_;  // times the type's boot time
};

}  // namespace dunlinknot::autoscaler
