// Which of the key-value store's limits are in force.
#include "dunlinknot/kv/limits.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

Limits::Limits(const settings::StoreLimits& present,
               const std::optional<settings::StoreLimits>& next)
    : present_(present), next_(next) {}

size_t Limits::value_bytes() const {
  return next_ ? std::min(present_.value_bytes, next_->value_bytes) : present_.value_bytes;
}

bool Limits::on_malformed(size_t writes, size_t largest_value) {
  if (!next_) return false;
  if (writes <= next_->txn_ops && largest_value <= next_->value_bytes) return false;
  if (!lowered_) spdlog::info("key-value store: a transaction of {} writes was refused", writes);
  lowered_ = true;
  return true;
}

bool Limits::on_throttled_write() {
  if (!next_ || lowered_) return false;
  spdlog::info("key-value store: {:.0f} writes a second from now on", next_->write_rps);
  lowered_ = true;
  return true;
}

}  // namespace dunlinknot::kv
