// Counts what is under way, such as calls and connections.
#pragma once
#include <cstddef>

namespace dunlinknot {

// Raises a counter for as long as it lives; in a coroutine, until that ends. The counter outlives
// it. Not synchronized: for use on one event loop.
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
