// Backoff for offers that the cloud refused to launch for lack of capacity.
#pragma once
#include <map>
#include <set>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

// Tracks the offers that are currently in backoff. Each consecutive refusal doubles the pause, up
// to four times the initial pause. Capacity that the cloud lacks rarely returns within moments;
// without the backoff the cheapest offers were requested repeatedly, and more expensive offers with
// capacity were never tried.
class RefusalBackoff {
 public:
  // Records that the cloud refused the offer. `initial_pause` applies to the first of several
  // consecutive refusals.
  void record_refusal(const scheduler::Offer& offer, Nanos initial_pause, Instant now);
  // Ends the backoff of an offer that may have capacity again: the cloud launched machines of it,
  // or one of its machines was terminated.
  void reset(const scheduler::Offer& offer) { refusals_.erase(offer); }
  void clear() { refusals_.clear(); }

  // The offers that must not be requested at the time `now`.
  std::set<scheduler::Offer> offers_in_backoff(Instant now) const;

 private:
  struct Refusal {
    Instant until{};
    Nanos pause{0};
  };
  std::map<scheduler::Offer, Refusal> refusals_;
};

}  // namespace dunlinknot::autoscaler
