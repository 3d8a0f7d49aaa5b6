// State shared inside the process sits behind a short lock. The lock is only ever held for the
// length of a plain call, so it cannot be carried across a co_await.
#pragma once
#include <mutex>
#include <utility>

namespace dunlinknot {

template <class T>
class Synchronized {
 public:
  template <class... A>
  explicit Synchronized(A&&... a) : value_(std::forward<A>(a)...) {}

  template <class F>
  auto with(F&& f) {
    std::lock_guard lock(mutex_);
    return std::forward<F>(f)(value_);
  }
  template <class F>
  auto with(F&& f) const {
    std::lock_guard lock(mutex_);
    return std::forward<F>(f)(value_);
  }

 private:
  mutable std::mutex mutex_;
  T value_;
};

}  // namespace dunlinknot
