// State behind a short lock. The lock is only ever held for the length of a plain call, so it
// cannot be held across a co_await.
#pragma once
#include <mutex>
#include <utility>

namespace dunlinknot {

// Owns the value and its lock.
template <class T>
class Synchronized {
 public:
  // The arguments construct the value.
  template <class... Arguments>
  explicit Synchronized(Arguments&&... arguments) : value_(std::forward<Arguments>(arguments)...) {}

  // Calls the function with the value under the lock and returns a copy of what it returns, so that
  // no reference leaves the lock. Not reentrant: the function must not call with() again.
  template <class Function>
  auto with(Function&& function) {
    std::lock_guard lock(mutex_);
    return std::forward<Function>(function)(value_);
  }
  template <class Function>
  auto with(Function&& function) const {
    std::lock_guard lock(mutex_);
    return std::forward<Function>(function)(value_);
  }

 private:
  mutable std::mutex mutex_;
  T value_;
};

}  // namespace dunlinknot
