// Time bounds on renewing the workers' leases. They follow from safety 2 (docs/design.md): within
// `cancel_s` of an acknowledged cancellation the job's tasks have ended on every machine.
#include "dunlinknot/leadership/lease_bounds.hpp"

#include <algorithm>

namespace dunlinknot::leadership {

namespace {

// Maximum ratio of the rates of two clocks, each off by up to 0.05%.
constexpr double kMaxClockDrift = 1.001;
// Covers the time between reading a clock and acting on the result.
constexpr Seconds kMargin{1.0};

}  // namespace

Nanos renewal_window(const settings::Platform& platform) {
  const Seconds remaining =
      platform.cancel_timeout - platform.worker_lease * kMaxClockDrift - kMargin * 2;
  return to_nanos(std::max(Seconds(0), remaining / kMaxClockDrift));
}

Nanos former_leader_renewal_window(const settings::Platform& platform) {
  return to_nanos(to_seconds(renewal_window(platform)) * kMaxClockDrift);
}

Nanos worker_lease_bound(const settings::Platform& platform) {
  return to_nanos(platform.worker_lease * kMaxClockDrift + kMargin / 2);
}

}  // namespace dunlinknot::leadership
