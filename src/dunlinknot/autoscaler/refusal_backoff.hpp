// Backing off after the cloud had no capacity for a launch.
#pragma once
#include <map>
#include <set>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

// Which offers are not asked for at present. Each refusal in a row doubles the pause, up to eight
// times the first: what the cloud does not have it will mostly not have in a moment either, and
// while the cheapest offers were asked for over and over, dearer ones with capacity were never
// reached.
class RefusalBackoff {
 public:
  // The cloud refused the offer. `first_pause`: after the first refusal in a row.
  void refused(const scheduler::Offer& offer, Nanos first_pause, Instant now);
  // There may be capacity: the cloud launched some, or a machine of ours was terminated.
  void reset(const scheduler::Offer& offer) { refusals_.erase(offer); }
  void clear() { refusals_.clear(); }

  std::set<scheduler::Offer> paused(Instant now) const;

 private:
  struct Refusal {
    Instant until{};
    Nanos pause{0};
  };
  std::map<scheduler::Offer, Refusal> refusals_;
};

}  // namespace dunlinknot::autoscaler
