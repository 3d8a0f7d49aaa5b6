// The key-value store's limits that are in force: the present ones, and from the first sign that
// they were lowered those that the settings announce.
#pragma once
#include <optional>

#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::kv {

// Once the announced limits are in force they stay so. Not synchronized: belongs to a client, on
// its event loop.
class Limits {
 public:
  Limits(const settings::StoreLimits& present,
         const std::optional<settings::StoreLimits>& next = std::nullopt);

  // Values are kept below both limits from the start: what is stored small never has to shrink.
  // In bytes, of a value in its form as JSON.
  size_t value_bytes() const;
  // The most writes of one transaction.
  size_t txn_ops() const { return in_force().txn_ops; }
  // Requests, and writes, a second.
  double rps() const { return in_force().rps; }
  double write_rps() const { return in_force().write_rps; }

  // The service refused a transaction as malformed. Returns whether the announced limits explain
  // that; they are in force from now on.
  bool on_malformed(size_t writes, size_t largest_value);
  // The service refused a request that wrote something for its rate. Returns whether the announced
  // limits are in force only since now.
  bool on_throttled_write();

 private:
  const settings::StoreLimits& in_force() const { return lowered_ ? *next_ : present_; }

  settings::StoreLimits present_;
  std::optional<settings::StoreLimits> next_;
  bool lowered_ = false;
};

}  // namespace dunlinknot::kv
