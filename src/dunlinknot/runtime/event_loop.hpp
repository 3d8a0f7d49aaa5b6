// Single-threaded event loop for coroutines, timers and sockets on epoll. Tests can run it
// without epoll and with a clock that they advance explicitly, so that they need not sleep.
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

// Owns the coroutines spawned on it. Not thread-safe: all calls must come from the thread that
// calls run().
class EventLoop {
 public:
  // A suspended coroutine that waits for a time, a socket or an event, or for one of several.
  struct Waiter {
    std::coroutine_handle<> handle;
    Instant deadline = Instant::max();
    bool timed_out = false;
    bool timed = false;           // registered as a timer
    Waiter** slot = nullptr;      // pointer that refers to this waiter; set to null on resume
    uint64_t timer_sequence = 0;  // orders timers with the same deadline; set by arm()
  };

  // The clock must outlive the loop. Throws std::runtime_error if epoll cannot be set up.
  explicit EventLoop(Clock& clock, bool with_epoll = true);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // See Clock.
  Instant now() const { return clock_.now(); }
  WallTime wall() const { return clock_.wall(); }
  Instant boot_now() const { return clock_.boot(); }

  // Starts a coroutine and runs it up to its first suspension. An exception that escapes it is
  // logged and ends only this coroutine.
  void spawn(Task<void> task);
  // Resumes the coroutine in a later iteration of the loop.
  void post(std::coroutine_handle<> coroutine) { ready_.push_back(coroutine); }
  // Destroys all suspended coroutines. Must be called while the objects that they refer to still
  // exist.
  void destroy_coroutines();

  // Addresses of the frames of spawned coroutines. The frames add and remove themselves.
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

  // Waits until the socket is readable (or writable); false if the deadline passed first.
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
  void watch_fd(int fd);    // call once, after the socket was created
  void unwatch_fd(int fd);  // call before the socket is closed

  void run();  // returns after stop()
  void stop() { stopping_ = true; }

  // For tests: resumes the ready coroutines without waiting; returns the time of the next timer;
  // fires all expired timers.
  void run_ready();
  Instant next_timer() const;
  void fire_expired_timers();

  // For awaitable types. arm() starts the timer of the waiter's deadline, disarm() cancels it, and
  // wake() schedules the waiter to be resumed in a later iteration.
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
  int epoll_fd_ = -1;
  bool stopping_ = false;
  bool destroying_ = false;
  std::set<void*> spawned_;
  std::deque<std::coroutine_handle<>> ready_;
  // Earliest first; timers with the same deadline in the order in which they were armed, so that a
  // simulated run can be repeated.
  std::map<std::pair<Instant, uint64_t>, Waiter*> timers_;
  uint64_t next_timer_sequence_ = 0;
  std::deque<FdSlots> fds_;  // indexed by file descriptor; a deque, because waiters point into it
};

// An event that stays set until it is waited for. Any number of notify() calls wake one waiter
// once. The loop must outlive the event, and the event its waiter.
class AutoResetEvent {
 public:
  explicit AutoResetEvent(EventLoop& loop) : loop_(loop) {}
  // Wakes the waiter; without a waiter, the next wait returns immediately.
  void notify() {
    if (waiter_) {
      loop_.wake(*waiter_, false);
    } else {
      set_ = true;
    }
  }
  struct [[nodiscard]] Wait {
    AutoResetEvent& event;
    EventLoop::Waiter waiter;
    bool await_ready() {
      if (!event.set_) return false;
      event.set_ = false;
      return true;
    }
    void await_suspend(std::coroutine_handle<> coroutine) {
      waiter.handle = coroutine;
      waiter.slot = &event.waiter_;
      event.waiter_ = &waiter;
      event.loop_.arm(waiter);
    }
    bool await_resume() const { return !waiter.timed_out; }
  };
  // Supports one waiter at a time. False if the deadline passed first.
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
