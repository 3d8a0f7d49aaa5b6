// Interface to the decision whether the leader may renew the workers' leases.
#pragma once

namespace dunlinknot::workers {

// An interface, because the decision depends on modules that `workers` must not depend on: the
// peers, the users' API and the allocation store. Implemented by node::RenewalPolicy.
class LeaseRenewalPolicy {
 public:
  virtual ~LeaseRenewalPolicy() = default;

  // Whether a response to a heartbeat, which renews that worker's lease, may be sent now. Safety 2
  // in docs/design.md: without the key-value store leases are renewed for a bounded time only.
  // Called for every heartbeat on the event loop; must not block or suspend.
  virtual bool may_renew() const = 0;
};

}  // namespace dunlinknot::workers
