// Time as the whole program sees it. The steady clock decides everything that has to do with leases
// and deadlines; the time of day is used only to date submissions.
#pragma once
#include <chrono>
#include <ctime>

namespace dunlinknot {

using Instant = std::chrono::steady_clock::time_point;
using Nanos = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using WallTime = std::chrono::sys_time<Millis>;

inline Nanos to_nanos(Seconds s) {
  return std::chrono::duration_cast<Nanos>(s);
}
inline Seconds to_seconds(Nanos n) {
  return std::chrono::duration_cast<Seconds>(n);
}
inline Millis to_millis(Nanos n) {
  return std::chrono::duration_cast<Millis>(n);
}

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual WallTime wall() const = 0;
  // Counts the time for which the machine was suspended, too. Only to be compared with itself.
  virtual Instant boot() const { return now(); }
};

class SystemClock final : public Clock {
 public:
  Instant now() const override { return std::chrono::steady_clock::now(); }
  WallTime wall() const override {
    return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
  }
  Instant boot() const override {
    timespec t{};
    if (clock_gettime(CLOCK_BOOTTIME, &t) != 0) return now();
    return Instant(std::chrono::seconds(t.tv_sec) + Nanos(t.tv_nsec));
  }
};

}  // namespace dunlinknot
