// Token bucket that limits a request rate and allows bursts. A caller either takes its tokens or
// gets the time until it can retry; the bucket does not queue callers.
#pragma once
#include <algorithm>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot {

// Not synchronized: for use on one event loop.
class TokenBucket {
 public:
  // Starts full. `burst` is the capacity in tokens.
  TokenBucket(double per_second, double burst)
      : tokens_per_second_(per_second), burst_(burst), level_(burst) {}

  // Takes the tokens, or none of them if there are too few.
  bool take(Instant now, double tokens = 1) {
    refill(now);
    if (level_ < tokens) return false;
    level_ -= tokens;
    return true;
  }
  // Takes the tokens even if the level becomes negative, for requests that must not be delayed
  // (lease renewals). The debt is limited to the tokens of one second: a service that allows bursts
  // of one second has forgotten earlier requests by then.
  void take_unconditionally(Instant now, double tokens = 1) {
    refill(now);
    level_ = std::max(level_ - tokens, -tokens_per_second_);
  }
  // Returns the time until take() will succeed, provided that no other caller takes tokens.
  Nanos time_until_available(Instant now, double tokens = 1) {
    refill(now);
    if (level_ >= tokens) return Nanos(0);
    // At least 1 ms, the resolution of timers: the missing tokens may refill in less than a
    // nanosecond, and a caller with a zero wait would retry in a busy loop.
    return std::max<Nanos>(to_nanos(Seconds((tokens - level_) / tokens_per_second_)), Millis(1));
  }
  // Changes the rate and sets the burst to the tokens of one second. Accumulated tokens are
  // discarded; a negative level is kept.
  void set_rate(Instant now, double per_second) {
    refill(now);
    tokens_per_second_ = per_second;
    burst_ = per_second;
    level_ = std::min(level_, 0.0);
  }
  double burst() const { return burst_; }
  // Available tokens; negative after take_unconditionally() took more than were available.
  double level(Instant now) {
    refill(now);
    return level_;
  }

 private:
  void refill(Instant now) {
    if (last_refill_ != Instant{})
      level_ =
          std::min(burst_, level_ + tokens_per_second_ * to_seconds(now - last_refill_).count());
    last_refill_ = now;
  }
  double tokens_per_second_;
  double burst_;
  double level_;
  Instant last_refill_{};
};

}  // namespace dunlinknot
