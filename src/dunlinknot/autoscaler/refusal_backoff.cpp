// Pauses after refused launches.
#include "dunlinknot/autoscaler/refusal_backoff.hpp"

#include <algorithm>

namespace dunlinknot::autoscaler {

namespace {

constexpr int kMaxPause = 8;  // times the first

}  // namespace

void RefusalBackoff::refused(const scheduler::Offer& offer, Nanos first_pause, Instant now) {
  Refusal& refusal = refusals_[offer];
  refusal.pause = refusal.pause == Nanos(0) ? first_pause
                                            : std::min(refusal.pause * 2, first_pause * kMaxPause);
  refusal.until = now + refusal.pause;
}

std::set<scheduler::Offer> RefusalBackoff::paused(Instant now) const {
  std::set<scheduler::Offer> offers;
  for (const auto& [offer, refusal] : refusals_) {
    if (refusal.until > now) offers.insert(offer);
  }
  return offers;
}

}  // namespace dunlinknot::autoscaler
