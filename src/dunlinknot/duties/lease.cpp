#include "dunlinknot/duties/lease.hpp"

#include <algorithm>

namespace dunlinknot::duties {

namespace {

constexpr double kDrift = 1.001;  // two clocks, each off by up to 0.05%

}  // namespace

Lease::Lease(Nanos ttl) : validity_(to_nanos(to_seconds(ttl) / kDrift)) {}

void Lease::acquired(const Holding& holding, Instant sent) {
  phase_ = Phase::held;
  holding_ = holding;
  proof_ = sent;
}

void Lease::proved(Instant sent) {
  if (phase_ != Phase::held) return;
  proof_ = proof_ ? std::max(*proof_, sent) : sent;
}

void Lease::lose() {
  phase_ = Phase::lost;
  proof_.reset();
}

void Lease::stand_again() {
  if (phase_ == Phase::lost) phase_ = Phase::candidate;
}

LeaseState Lease::state(Instant now) const {
  if (phase_ == Phase::candidate) return LeaseState::candidate;
  if (phase_ == Phase::lost) return LeaseState::lost;
  const bool valid = proof_ && now < *proof_ + validity_;
  return valid ? LeaseState::holding : LeaseState::doubtful;
}

}  // namespace dunlinknot::duties
