// A token bucket: so many requests a second, with bursts. A caller either takes its share or is
// told when to come back; nothing queues in here.
#pragma once
#include <algorithm>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot {

// Not synchronized: for use on one event loop.
class TokenBucket {
 public:
  // Starts full. `burst`: in tokens.
  TokenBucket(double per_second, double burst) : rate_(per_second), burst_(burst), level_(burst) {}

  // Takes the tokens, or none of them when there are too few.
  bool take(Instant now, double tokens = 1) {
    refill(now);
    if (level_ < tokens) return false;
    level_ -= tokens;
    return true;
  }
  // Takes the tokens even into debt: for what may not be put off (lease renewals).
  void force(Instant now, double tokens = 1) {
    refill(now);
    level_ -= tokens;
  }
  // How long until take() will succeed, if nobody else takes any.
  Nanos until(Instant now, double tokens = 1) {
    refill(now);
    if (level_ >= tokens) return Nanos(0);
    // Never less than a timer's step: what is missing may be less than a nanosecond's refill, and
    // whoever waits that long waits for nothing, again and again.
    return std::max<Nanos>(to_nanos(Seconds((tokens - level_) / rate_)), Millis(1));
  }
  // Another rate from now on; the burst is one second's worth. What was saved up is lost.
  void set_rate(Instant now, double per_second) {
    refill(now);
    rate_ = per_second;
    burst_ = per_second;
    level_ = std::min(level_, 0.0);
  }
  double burst() const { return burst_; }
  // Tokens left; negative when in debt.
  double level(Instant now) {
    refill(now);
    return level_;
  }

 private:
  void refill(Instant now) {
    if (last_ != Instant{})
      level_ = std::min(burst_, level_ + rate_ * to_seconds(now - last_).count());
    last_ = now;
  }
  double rate_;
  double burst_;
  double level_;
  Instant last_{};
};

}  // namespace dunlinknot
