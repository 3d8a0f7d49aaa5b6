// Exponential backoff for each refused offer.
#include "dunlinknot/autoscaler/refusal_backoff.hpp"

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

// Upper bound of a pause, as a multiple of the initial pause. Capacity that has returned is
// requested within the wait that users accept.
constexpr int kMaxPauseFactor = 4;

}  // namespace

void RefusalBackoff::record_refusal(const scheduler::Offer& offer, Nanos initial_pause,
                                    Instant now) {
  Refusal& refusal = refusals_[offer];
  refusal.pause = refusal.pause == Nanos(0)
                      ? initial_pause
                      : std::min(refusal.pause * 2, initial_pause * kMaxPauseFactor);
  refusal.until = now + refusal.pause;
}

std::set<scheduler::Offer> RefusalBackoff::offers_in_backoff(Instant now) const {
  std::set<scheduler::Offer> offers;
  for (const auto& [offer, refusal] : refusals_) {
    if (refusal.until > now) offers.insert(offer);
  }
  return offers;
}

}  // namespace dunlinknot::autoscaler
