// The event loop: coroutines, timers and sockets on epoll, all on one thread. With a test's clock
// it runs without epoll: the test advances time by hand and nothing ever really sleeps.
#pragma once
#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/runtime/task.hpp"

namespace dunlinknot {

// Owns what is spawned on it. Not thread-safe: everything happens on the thread that calls run().
class EventLoop {
 public:
  // One suspended coroutine, waiting for a time, for a socket, for a signal, or for several.
  struct Waiter {
    std::coroutine_handle<> handle;
    Instant deadline = Instant::max();
    bool timed_out = false;
    bool timed = false;
    Waiter** slot = nullptr;  // the place that refers to this waiter, cleared on resume
  };

  // The clock outlives the loop. Throws std::runtime_error when epoll cannot be set up.
  explicit EventLoop(Clock& clock, bool with_epoll = true);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // See Clock.
  Instant now() const { return clock_.now(); }
  WallTime wall() const { return clock_.wall(); }
  Instant boot_now() const { return clock_.boot(); }

  // Runs a coroutine on its own, at once up to its first suspension. An exception that escapes one
  // is logged and ends only that one.
  void spawn(Task<void> task);
  // Resumes the coroutine in a later turn of the loop.
  void post(std::coroutine_handle<> coroutine) { ready_.push_back(coroutine); }
  // Ends all coroutines where they stand. To be called while what they refer to still exists.
  void abandon();

  // The frames of spawned coroutines, kept by the frames themselves.
  std::set<void*>& spawned() { return spawned_; }

  struct [[nodiscard]] Sleep {
    EventLoop& loop;
    Waiter waiter;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> coroutine);
    void await_resume() const {}
  };
  Sleep sleep_until(Instant time) { return Sleep{*this, Waiter{{}, time, false, false, nullptr}}; }
  Sleep sleep(Nanos duration) { return sleep_until(now() + duration); }

  // Waits until the socket may be read (or written); false when the deadline passed first.
  struct [[nodiscard]] Io {
    EventLoop& loop;
    int fd;
    bool write;
    Waiter waiter;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> coroutine);
    bool await_resume() const { return !waiter.timed_out; }
  };
  Io readable(int fd, Instant deadline) {
    return Io{*this, fd, false, Waiter{{}, deadline, false, false, nullptr}};
  }
  Io writable(int fd, Instant deadline) {
    return Io{*this, fd, true, Waiter{{}, deadline, false, false, nullptr}};
  }
  void watch_fd(int fd);   // once, after the socket was made
  void forget_fd(int fd);  // before it is closed

  void run();  // until stop()
  void stop() { stopping_ = true; }

  // For tests: run what is ready, without waiting; and the time of the next timer.
  void run_ready();
  Instant next_timer() const;
  void fire_due();

  // For awaitable types: a waiter's deadline is set, dropped; the waiter is resumed in a later
  // turn.
  void arm(Waiter& waiter);
  void disarm(Waiter& waiter);
  void wake(Waiter& waiter, bool timed_out);

 private:
  struct FdSlots {
    Waiter* reader = nullptr;
    Waiter* writer = nullptr;
  };
  void poll_io();

  Clock& clock_;
  int epoll_ = -1;
  bool stopping_ = false;
  bool abandoned_ = false;
  std::set<void*> spawned_;
  std::deque<std::coroutine_handle<>> ready_;
  std::set<std::pair<Instant, Waiter*>> timers_;  // soonest first
  std::deque<FdSlots> fds_;  // by file descriptor; a deque, since waiters point into it
};

// An event that stays set until it is waited for: any number of notify() calls wake one waiter
// once. The loop outlives the event, the event outlives its waiter.
class AutoResetEvent {
 public:
  explicit AutoResetEvent(EventLoop& loop) : loop_(loop) {}
  // Wakes the waiter, or lets the next wait return at once.
  void notify() {
    if (waiter_) {
      loop_.wake(*waiter_, false);
    } else {
      set_ = true;
    }
  }
  struct [[nodiscard]] Wait {
    AutoResetEvent& signal;
    EventLoop::Waiter waiter;
    bool await_ready() {
      if (!signal.set_) return false;
      signal.set_ = false;
      return true;
    }
    void await_suspend(std::coroutine_handle<> coroutine) {
      waiter.handle = coroutine;
      waiter.slot = &signal.waiter_;
      signal.waiter_ = &waiter;
      signal.loop_.arm(waiter);
    }
    bool await_resume() const { return !waiter.timed_out; }
  };
  // One waiter at a time. False when the deadline passed first.
  Wait wait_until(Instant deadline) {
    return Wait{*this, EventLoop::Waiter{{}, deadline, false, false, nullptr}};
  }
  Wait wait() { return wait_until(Instant::max()); }

 private:
  EventLoop& loop_;
  bool set_ = false;
  EventLoop::Waiter* waiter_ = nullptr;
};

}  // namespace dunlinknot
