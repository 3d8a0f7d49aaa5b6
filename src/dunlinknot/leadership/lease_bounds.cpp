// The bounds on renewing the workers' leases; the argument for them is safety 2 in docs/design.md.
#include "dunlinknot/leadership/lease_bounds.hpp"

#include <algorithm>

namespace dunlinknot::leadership {

namespace {

constexpr double kDrift = 1.001;  // two clocks, each off by up to 0.05%
constexpr Seconds kMargin{1.0};   // for what passes between reading a clock and acting on it

}  // namespace

Nanos renewal_window(const settings::Platform& platform) {
  const Seconds left = platform.cancel - platform.lease * kDrift - kMargin * 2;
  return to_nanos(std::max(Seconds(0), left / kDrift));
}

Nanos former_leader_renewal_window(const settings::Platform& platform) {
  return to_nanos(to_seconds(renewal_window(platform)) * kDrift);
}

Nanos worker_lease_bound(const settings::Platform& platform) {
  return to_nanos(platform.lease * kDrift + kMargin / 2);
}

}  // namespace dunlinknot::leadership
