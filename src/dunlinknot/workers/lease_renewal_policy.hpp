// Decides whether the leader may still renew the workers' leases.
#pragma once

namespace dunlinknot::workers {

// An interface, because the decision needs parts that `workers` does not know: the peers, the
// users' API and the allocation store. Implemented by node::RenewalPolicy.
class LeaseRenewalPolicy {
 public:
  virtual ~LeaseRenewalPolicy() = default;

  // Whether an answer to a heartbeat, which renews that worker's lease, may be sent now (safety 2
  // in docs/design.md). Called for every heartbeat on the event loop: it neither blocks nor
  // suspends.
  virtual bool may_renew() const = 0;
};

}  // namespace dunlinknot::workers
