// A value protected by a mutex. The mutex is held only for the duration of a synchronous call, so
// it cannot be held across a co_await.
#pragma once
#include <mutex>
#include <utility>

namespace dunlinknot {

// Owns the value and its mutex.
template <class T>
class Synchronized {
 public:
  // Constructs the value from the arguments.
  template <class... Arguments>
  explicit Synchronized(Arguments&&... arguments) : value_(std::forward<Arguments>(arguments)...) {}

  // Calls the function with the value while the mutex is locked. Returns the result by value, so
  // that no reference to the protected value escapes. Not reentrant: the function must not call
  // with() again.
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
