// Cache of the terminal states of jobs.
#pragma once
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::jobs {

// The terminal states that this node has read or written. They never change, so an entry is never
// stale and saves a read of the key-value store. Evicts the oldest entries first.
class FinalCache {
 public:
  // `capacity`: maximum number of jobs; 0 disables the cache.
  explicit FinalCache(size_t capacity) : capacity_(capacity) {}

  // Returns whether the job was not in the cache before; always true when the cache is disabled.
  bool put(const std::string& id, wire::FinalRecord record);
  // Null if the job is not in the cache. The pointer is valid until the next put().
  const wire::FinalRecord* find(const std::string& id) const;

 private:
  size_t capacity_;
  std::unordered_map<std::string, wire::FinalRecord> records_;
  std::deque<std::string> oldest_first_;
};

}  // namespace dunlinknot::jobs
