// Remembers how jobs ended.
#pragma once
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::jobs {

// How jobs ended, as far as this node has seen it. Terminal states never change, so an entry is
// never stale and saves a read of the key-value store. Drops the oldest entries.
class FinalCache {
 public:
  // `capacity`: in jobs; 0 turns the cache off.
  explicit FinalCache(size_t capacity) : capacity_(capacity) {}

  // Returns whether the job was not in the cache before; always true when the cache is off.
  bool put(const std::string& id, wire::FinalRecord record);
  // Null when the cache does not know the job. Valid until the next put().
  const wire::FinalRecord* find(const std::string& id) const;

 private:
  size_t capacity_;
  std::unordered_map<std::string, wire::FinalRecord> records_;
  std::deque<std::string> oldest_first_;
};

}  // namespace dunlinknot::jobs
