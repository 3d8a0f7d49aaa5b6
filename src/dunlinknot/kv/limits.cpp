// Decides which of the key-value store's limits are in force.
#include "dunlinknot/kv/limits.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

Limits::Limits(const settings::StoreLimits& current,
               const std::optional<settings::StoreLimits>& announced)
    : current_(current), announced_(announced) {}

size_t Limits::value_bytes() const {
  return announced_ ? std::min(current_.value_bytes, announced_->value_bytes)
                    : current_.value_bytes;
}

bool Limits::on_rejected_transaction(size_t writes, size_t largest_value) {
  if (!announced_) return false;
  if (writes <= announced_->txn_ops && largest_value <= announced_->value_bytes) return false;
  if (!announced_in_force_)
    spdlog::info(
        "key-value store: rejected a transaction of {} writes; the announced lower limits are in "
        "force from now on",
        writes);
  announced_in_force_ = true;
  return true;
}

bool Limits::on_throttled_write() {
  if (!announced_ || announced_in_force_) return false;
  spdlog::info(
      "key-value store: throttled writes; the announced limit of {:.0f} writes/s is in force from "
      "now on",
      announced_->write_rps);
  announced_in_force_ = true;
  return true;
}

}  // namespace dunlinknot::kv
