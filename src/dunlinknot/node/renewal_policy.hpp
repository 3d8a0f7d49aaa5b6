// Decides whether this leader may renew the workers' leases. Safety 2 in docs/design.md: without
// the key-value store leases are renewed for a bounded time only.
#pragma once
#include "dunlinknot/cluster/allocation_store.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/workers/lease_renewal_policy.hpp"

namespace dunlinknot::node {

// A leader renews leases for a bounded window after the last time it was proven to know every
// cancellation. While the key-value store is unavailable to all nodes, no node can acknowledge a
// cancellation. When all peers and this node confirm that they acknowledged none, that is then
// equivalent to reading the store.
class RenewalPolicy final : public workers::LeaseRenewalPolicy {
 public:
  // The referenced objects must outlive the policy.
  RenewalPolicy(const leadership::Elector& elector, const leadership::Peers& peers,
                const jobs::RequestHandler& jobs, const cluster::AllocationStore& allocation_store);

  bool may_renew() const override;

 private:
  const leadership::Elector& elector_;
  const leadership::Peers& peers_;
  const jobs::RequestHandler& jobs_;
  const cluster::AllocationStore& allocation_store_;
};

}  // namespace dunlinknot::node
