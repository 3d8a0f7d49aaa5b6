// Clocks and time units. Leases and deadlines use the steady clock; the time of day is used only to
// timestamp submissions.
#pragma once
#include <chrono>
#include <ctime>

namespace dunlinknot {

using Instant = std::chrono::steady_clock::time_point;
using Nanos = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using WallTime = std::chrono::sys_time<Millis>;

// Conversions between units; fractions are truncated.
inline Nanos to_nanos(Seconds time) {
  return std::chrono::duration_cast<Nanos>(time);
}
inline Seconds to_seconds(Nanos time) {
  return std::chrono::duration_cast<Seconds>(time);
}
inline Millis to_millis(Nanos time) {
  return std::chrono::duration_cast<Millis>(time);
}

// Source of time. Tests use a clock that they advance explicitly.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;    // steady
  virtual WallTime wall() const = 0;  // time of day
  // Like now(), but includes time during which the machine was suspended. Values are comparable
  // only with other values of boot().
  virtual Instant boot() const { return now(); }
};

// The clocks of the operating system.
class SystemClock final : public Clock {
 public:
  Instant now() const override { return std::chrono::steady_clock::now(); }
  WallTime wall() const override {
    return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
  }
  Instant boot() const override {
    timespec time{};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) return now();
    return Instant(std::chrono::seconds(time.tv_sec) + Nanos(time.tv_nsec));
  }
};

}  // namespace dunlinknot
