// The bounds that tie the leader's lease on the key-value store to the workers' leases on the
// leader: how long a leader may keep renewing them, and when they have certainly expired.
#pragma once
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::leadership {

// How long after Elector::renewal_window_start a leader may still renew the workers' leases. A
// cancellation that it cannot learn of must be over on every machine within `cancel_s` (safety 2),
// so the worker's lease, both clocks' drift and a margin are subtracted from that.
Nanos renewal_window(const settings::Platform& platform);

// The same window measured by another node's clock, drift included: no leader renews a lease later
// than this after its successor's election.
Nanos former_leader_renewal_window(const settings::Platform& platform);

// The time after which a worker has certainly killed its tasks, counted from the last heartbeat
// that was answered: the worker's lease, drift included, and half the margin.
Nanos worker_lease_bound(const settings::Platform& platform);

}  // namespace dunlinknot::leadership
