// A token bucket: so many requests a second, with bursts. A caller either takes its share or is
// told when to come back; nothing queues in here.
#pragma once
#include <algorithm>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot {

class TokenBucket {
 public:
  TokenBucket(double per_second, double burst) : rate_(per_second), burst_(burst), level_(burst) {}

  bool take(Instant now, double n = 1) {
    refill(now);
    if (level_ < n) return false;
    level_ -= n;
    return true;
  }
  // Takes even into debt: for what may not be put off (lease renewals).
  void force(Instant now, double n = 1) {
    refill(now);
    level_ -= n;
  }
  Nanos until(Instant now, double n = 1) {
    refill(now);
    if (level_ >= n) return Nanos(0);
    // Never less than a timer's step: what is missing may be less than a nanosecond's refill, and
    // whoever waits that long waits for nothing, again and again.
    return std::max<Nanos>(to_nanos(Seconds((n - level_) / rate_)), Millis(1));
  }
  // Another rate from now on; the burst is one second's worth. What was saved up is lost.
  void set_rate(Instant now, double per_second) {
    refill(now);
    rate_ = per_second;
    burst_ = per_second;
    level_ = std::min(level_, 0.0);
  }
  double burst() const { return burst_; }
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
