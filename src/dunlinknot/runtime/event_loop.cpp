// Event loop: timers, sockets on epoll, and the outermost frames of spawned coroutines.
#include "dunlinknot/runtime/event_loop.hpp"

#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

namespace dunlinknot {

namespace {

constexpr size_t kMaxEventsPerWait = 64;  // further events are returned by the next epoll_wait
constexpr long long kMaxWaitMs = 60'000;  // epoll_wait takes an int; later timers need another wait

// Outermost frame of a spawned coroutine. It starts immediately, owns the task and destroys itself.
struct Detached {
  struct promise_type {
    EventLoop& loop;
    promise_type(EventLoop& event_loop, Task<void>&) : loop(event_loop) {
      loop.spawned().insert(frame());
    }
    ~promise_type() { loop.spawned().erase(frame()); }
    void* frame() { return std::coroutine_handle<promise_type>::from_promise(*this).address(); }
    Detached get_return_object() { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { std::terminate(); }
  };
};

Detached run_detached([[maybe_unused]] EventLoop& loop, Task<void> task) {
  try {
    co_await task;
  } catch (const std::exception& error) {
    spdlog::error("background task terminated by an exception: {}", error.what());
  }
}

}  // namespace

EventLoop::EventLoop(Clock& clock, bool with_epoll) : clock_(clock) {
  if (with_epoll) {
    epoll_fd_ = ::epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd_ < 0) throw std::runtime_error("epoll_create1 failed");
  }
}

void EventLoop::destroy_coroutines() {
  destroying_ = true;
  ready_.clear();
  timers_.clear();
  fds_.clear();
  while (!spawned_.empty()) std::coroutine_handle<>::from_address(*spawned_.begin()).destroy();
  destroying_ = false;
}

EventLoop::~EventLoop() {
  destroy_coroutines();
  if (epoll_fd_ >= 0) ::close(epoll_fd_);
}

void EventLoop::spawn(Task<void> task) {
  run_detached(*this, std::move(task));
}

void EventLoop::arm(Waiter& waiter) {
  if (waiter.deadline != Instant::max()) {
    waiter.timed = true;
    waiter.timer_sequence = next_timer_sequence_++;
    timers_.emplace(std::pair(waiter.deadline, waiter.timer_sequence), &waiter);
  }
}

void EventLoop::disarm(Waiter& waiter) {
  if (waiter.timed) {
    timers_.erase({waiter.deadline, waiter.timer_sequence});
    waiter.timed = false;
  }
}

void EventLoop::wake(Waiter& waiter, bool timed_out) {
  disarm(waiter);
  if (waiter.slot) *waiter.slot = nullptr;
  waiter.slot = nullptr;
  waiter.timed_out = timed_out;
  ready_.push_back(waiter.handle);
}

void EventLoop::Sleep::await_suspend(std::coroutine_handle<> coroutine) {
  waiter.handle = coroutine;
  loop.arm(waiter);
}

void EventLoop::Io::await_suspend(std::coroutine_handle<> coroutine) {
  waiter.handle = coroutine;
  FdSlots& slots = loop.fds_[static_cast<size_t>(fd)];
  waiter.slot = write ? &slots.writer : &slots.reader;
  *waiter.slot = &waiter;
  loop.arm(waiter);
}

void EventLoop::watch_fd(int fd) {
  if (fds_.size() <= static_cast<size_t>(fd)) fds_.resize(static_cast<size_t>(fd) + 1);
  fds_[static_cast<size_t>(fd)] = FdSlots{};
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.fd = fd;
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::unwatch_fd(int fd) {
  if (destroying_) return;  // closing the socket also removes it from epoll
  // A socket that outlives destroy_coroutines() no longer has an entry in fds_. The access beyond
  // the end of fds_ was found by a failover run under the address sanitizer.
  if (static_cast<size_t>(fd) >= fds_.size()) return;
  FdSlots& slots = fds_[static_cast<size_t>(fd)];
  if (slots.reader) wake(*slots.reader, true);
  if (slots.writer) wake(*slots.writer, true);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::run_ready() {
  while (!ready_.empty() && !stopping_) {
    const auto coroutine = ready_.front();
    ready_.pop_front();
    coroutine.resume();
  }
}

Instant EventLoop::next_timer() const {
  return timers_.empty() ? Instant::max() : timers_.begin()->first.first;
}

void EventLoop::fire_expired_timers() {
  const Instant time = now();
  while (!timers_.empty() && timers_.begin()->first.first <= time)
    wake(*timers_.begin()->second, true);
}

void EventLoop::poll_io() {
  int timeout = -1;
  if (!ready_.empty()) {
    timeout = 0;
  } else if (const Instant next = next_timer(); next != Instant::max()) {
    const auto remaining = std::chrono::ceil<Millis>(next - now()).count();
    timeout = static_cast<int>(std::clamp<long long>(remaining, 0, kMaxWaitMs));
  }
  std::array<epoll_event, kMaxEventsPerWait> events;
  const int count =
      ::epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()), timeout);
  for (int i = 0; i < count; ++i) {
    FdSlots& slots = fds_[static_cast<size_t>(events[static_cast<size_t>(i)].data.fd)];
    const auto event_mask = events[static_cast<size_t>(i)].events;
    if (slots.reader && (event_mask & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
      wake(*slots.reader, false);
    if (slots.writer && (event_mask & (EPOLLOUT | EPOLLHUP | EPOLLERR))) wake(*slots.writer, false);
  }
}

void EventLoop::run() {
  while (!stopping_) {
    run_ready();
    if (stopping_) break;
    poll_io();
    fire_expired_timers();
  }
}

}  // namespace dunlinknot
