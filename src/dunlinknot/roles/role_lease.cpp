// The lease of one role on the side of its holder.
#include "dunlinknot/roles/role_lease.hpp"

#include <algorithm>

namespace dunlinknot::roles {

namespace {

// Maximum ratio of the rates of two clocks, each off by up to 0.05%.
constexpr double kMaxClockDrift = 1.001;

}  // namespace

RoleLease::RoleLease(Nanos ttl) : validity_(to_nanos(to_seconds(ttl) / kMaxClockDrift)) {}

void RoleLease::acquired(const RoleGrant& grant, Instant sent) {
  phase_ = Phase::held;
  grant_ = grant;
  confirmed_at_ = sent;
}

void RoleLease::confirmed(Instant sent) {
  if (phase_ != Phase::held) return;
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, sent) : sent;
}

void RoleLease::mark_lost() {
  phase_ = Phase::lost;
  confirmed_at_.reset();
}

void RoleLease::become_candidate() {
  if (phase_ == Phase::lost) phase_ = Phase::candidate;
}

LeaseState RoleLease::state(Instant now) const {
  if (phase_ == Phase::candidate) return LeaseState::candidate;
  if (phase_ == Phase::lost) return LeaseState::lost;
  const bool valid = confirmed_at_ && now < *confirmed_at_ + validity_;
  return valid ? LeaseState::held : LeaseState::unconfirmed;
}

}  // namespace dunlinknot::roles
