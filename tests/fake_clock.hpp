// Time in tests: a clock moved by hand, and a loop that moves it from timer to timer.
#pragma once
#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>

#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::test {

using std::chrono::seconds;

// A clock that stands still until a test moves it.
class FakeClock final : public Clock {
 public:
  Instant now() const override { return now_; }
  WallTime wall() const override {
    return WallTime(Millis(1'700'000'000'000)) +
           std::chrono::duration_cast<Millis>(now_ + wall_offset - Instant(seconds(1000)));
  }
  Instant boot() const override { return now_ + suspended; }
  void set(Instant t) { now_ = t; }

  Nanos suspended{0};  // for which the steady clock stood still
  Nanos wall_offset{0};

 private:
  Instant now_{seconds(1000)};
};

// Moves time forward from timer to timer; nothing sleeps.
class World {
 public:
  World() : loop(clock, false) {}
  FakeClock clock;
  EventLoop loop;

  void run_for(Nanos d) {
    const Instant end = clock.now() + d;
    for (;;) {
      loop.run_ready();
      const Instant next = loop.next_timer();
      if (next > end) break;
      clock.set(std::max(next, clock.now()));
      loop.fire_due();
    }
    clock.set(end);
    loop.run_ready();
  }
  // Runs a task to its end (within a bound) and returns what it gave.
  template <class T>
  T get(Task<T> task, Nanos within = seconds(60)) {
    auto out = std::make_shared<std::optional<T>>();
    loop.spawn(store(std::move(task), out));
    const Instant end = clock.now() + within;
    while (!*out && clock.now() < end) run_for(Millis(5));
    if (!*out) throw std::runtime_error("the task did not end in time");
    return std::move(**out);
  }

 private:
  template <class T>
  static Task<void> store(Task<T> task, std::shared_ptr<std::optional<T>> out) {
    out->emplace(co_await task);
  }
};

}  // namespace dunlinknot::test
