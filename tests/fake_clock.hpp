// Simulated time for tests: a clock that is set by hand, and an event loop that advances it from
// timer to timer.
#pragma once
#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>

#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::test {

using std::chrono::seconds;

// A clock that advances only when it is set.
class FakeClock final : public Clock {
 public:
  Instant now() const override { return now_; }
  WallTime wall() const override {
    return WallTime(Millis(1'700'000'000'000)) +
           std::chrono::duration_cast<Millis>(now_ + wall_offset - Instant(seconds(1000)));
  }
  Instant boot() const override { return now_ + suspended; }
  void set(Instant t) { now_ = t; }

  // Total time in which the system was suspended: boot() includes it, now() does not.
  Nanos suspended{0};
  // Added to the wall clock.
  Nanos wall_offset{0};

 private:
  Instant now_{seconds(1000)};
};

// An event loop on a fake clock. Time advances from timer to timer, without real waiting.
class Simulation {
 public:
  Simulation() : loop(clock, false) {}
  FakeClock clock;
  EventLoop loop;

  // Runs everything that is due within this duration of simulated time.
  void run_for(Nanos duration) {
    const Instant end = clock.now() + duration;
    for (;;) {
      loop.run_ready();
      const Instant next = loop.next_timer();
      if (next > end) break;
      clock.set(std::max(next, clock.now()));
      loop.fire_expired_timers();
    }
    clock.set(end);
    loop.run_ready();
  }
  // Runs until the task has completed and returns its result. Throws when the task takes longer
  // than `timeout` of simulated time.
  template <class T>
  T get(Task<T> task, Nanos timeout = seconds(60)) {
    auto result = std::make_shared<std::optional<T>>();
    loop.spawn(store_result(std::move(task), result));
    const Instant end = clock.now() + timeout;
    while (!*result && clock.now() < end) run_for(Millis(5));
    if (!*result)
      throw std::runtime_error("the task did not complete within its timeout of simulated time");
    return std::move(**result);
  }

 private:
  template <class T>
  static Task<void> store_result(Task<T> task, std::shared_ptr<std::optional<T>> result) {
    result->emplace(co_await task);
  }
};

}  // namespace dunlinknot::test
