// RAII counter of operations in flight, such as calls and connections.
#pragma once
#include <cstddef>

namespace dunlinknot {

// Increments a counter for its own lifetime; as a local of a coroutine, until the coroutine ends.
// The counter must outlive it. Not synchronized: for use on one event loop.
class ScopedCount {
 public:
  explicit ScopedCount(size_t& count) : count_(count) { ++count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;
  ~ScopedCount() { --count_; }

 private:
  size_t& count_;
};

}  // namespace dunlinknot
