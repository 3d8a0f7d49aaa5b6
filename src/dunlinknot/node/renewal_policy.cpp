// Whether workers' leases may be renewed, with the peers' confirmation (safety 2).
#include "dunlinknot/node/renewal_policy.hpp"

namespace dunlinknot::node {

RenewalPolicy::RenewalPolicy(const leadership::Elector& elector, const leadership::Peers& peers,
                             const jobs::RequestHandler& jobs,
                             const cluster::AllocationStore& allocation_store)
    : elector_(elector), peers_(peers), jobs_(jobs), allocation_store_(allocation_store) {}

bool RenewalPolicy::may_renew() const {
  if (elector_.may_renew(std::nullopt)) return true;
  // A cancellation that this node confirmed to a user, but has not applied to the cluster yet.
  const uint64_t revision = allocation_store_.jobs_revision();
  if (jobs_.cancel_revision() > revision) return false;
  return elector_.may_renew(
      peers_.no_unknown_cancellation_until(elector_.renewal_window_start(), revision));
}

}  // namespace dunlinknot::node
