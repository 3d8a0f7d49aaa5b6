// Decides whether this leader may renew the workers' leases (safety 2 in docs/design.md).
#pragma once
#include "dunlinknot/cluster/allocation_store.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/workers/lease_renewal_policy.hpp"

namespace dunlinknot::node {

// A leader renews leases for a bounded window after its last proof that it knows every
// cancellation. During an outage of the key-value store for all nodes nobody can confirm a
// cancellation, so the peers' and our own word that none was confirmed stands in for a read of the
// store.
class RenewalPolicy final : public workers::LeaseRenewalPolicy {
 public:
  // The referenced objects outlive the policy.
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
