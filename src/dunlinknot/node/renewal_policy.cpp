// Implements safety 2: a leader renews the workers' leases only for a bounded time after it last
// knew of all cancellations. During an outage of the key-value store the peers' confirmations count
// too.
#include "dunlinknot/node/renewal_policy.hpp"

namespace dunlinknot::node {

RenewalPolicy::RenewalPolicy(const leadership::Elector& elector, const leadership::Peers& peers,
                             const jobs::RequestHandler& jobs,
                             const cluster::AllocationStore& allocation_store)
    : elector_(elector), peers_(peers), jobs_(jobs), allocation_store_(allocation_store) {}

bool RenewalPolicy::may_renew() const {
  if (elector_.may_renew(std::nullopt)) return true;
  // No lease is renewed while a cancellation that this node has acknowledged to a user is not yet
  // applied to the cluster state.
  const uint64_t revision = allocation_store_.jobs_revision();
  if (jobs_.cancel_revision() > revision) return false;
  return elector_.may_renew(
      peers_.no_unknown_cancellation_until(elector_.renewal_window_start(), revision));
}

}  // namespace dunlinknot::node
