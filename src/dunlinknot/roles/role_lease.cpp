// The lease of one role: when it may be relied on.
#include "dunlinknot/roles/role_lease.hpp"

#include <algorithm>

namespace dunlinknot::roles {

namespace {

constexpr double kDrift = 1.001;  // two clocks, each off by up to 0.05%

}  // namespace

RoleLease::RoleLease(Nanos ttl) : validity_(to_nanos(to_seconds(ttl) / kDrift)) {}

void RoleLease::acquired(const RoleGrant& grant, Instant sent) {
  phase_ = Phase::held;
  grant_ = grant;
  proof_ = sent;
}

void RoleLease::proved(Instant sent) {
  if (phase_ != Phase::held) return;
  proof_ = proof_ ? std::max(*proof_, sent) : sent;
}

void RoleLease::lose() {
  phase_ = Phase::lost;
  proof_.reset();
}

void RoleLease::become_candidate() {
  if (phase_ == Phase::lost) phase_ = Phase::candidate;
}

LeaseState RoleLease::state(Instant now) const {
  if (phase_ == Phase::candidate) return LeaseState::candidate;
  if (phase_ == Phase::lost) return LeaseState::lost;
  const bool valid = proof_ && now < *proof_ + validity_;
  return valid ? LeaseState::held : LeaseState::doubtful;
}

}  // namespace dunlinknot::roles
