// Time bounds that relate the leader's lease on the key-value store to the workers' leases: how
// long a leader may renew the workers' leases, and when these have certainly expired.
#pragma once
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::leadership {

// How long after Elector::renewal_window_start a leader may still renew the workers' leases. Also
// after a cancellation that the leader cannot read, the job's tasks must have ended on every
// machine within `cancel_s` (safety 2). So the window is `cancel_s` minus the worker's lease, the
// drift of both clocks and a margin.
Nanos renewal_window(const settings::Platform& platform);

// The same window measured by another node's clock, drift included. No leader renews a worker's
// lease later than this after its successor's election.
Nanos former_leader_renewal_window(const settings::Platform& platform);

// The time after which a worker has certainly killed its tasks, counted from its last answered
// heartbeat: the worker's lease, drift included, plus half the margin.
Nanos worker_lease_bound(const settings::Platform& platform);

}  // namespace dunlinknot::leadership
