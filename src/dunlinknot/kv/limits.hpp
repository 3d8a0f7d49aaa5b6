// The key-value store's limits that are in force: the current limits from the settings and, as soon
// as a refused request shows that the service has lowered them, the limits announced there.
#pragma once
#include <optional>
#include <string>

#include "dunlinknot/kv/transaction_size.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::kv {

// Once the announced limits are in force they stay in force. Not synchronized: used by one client
// on its event loop.
class Limits {
 public:
  Limits(const settings::StoreLimits& current,
         const std::optional<settings::StoreLimits>& announced = std::nullopt);

  // Maximum size of a value in bytes, encoded as JSON. The lower of the current and the announced
  // limit from the start, so that stored values need not be made smaller later, and low enough for
  // a transaction that contains the value and as many compares as are made with one.
  size_t value_bytes() const;
  // Maximum number of writes in one transaction.
  size_t txn_ops() const { return in_force().txn_ops; }
  // Maximum number of compares in one transaction.
  size_t max_compares() const { return max_compares(in_force()); }
  // Maximum size of one transaction in bytes, encoded as JSON.
  static constexpr size_t kMaxTransactionBytes = size_t{64} * 1024;
  // Maximum requests and writes per second.
  double rps() const { return in_force().rps; }
  double write_rps() const { return in_force().write_rps; }

  // Called when the service rejected a transaction as malformed. When the transaction exceeds an
  // announced limit, puts the announced limits in force and returns true.
  bool on_rejected_transaction(const TransactionSize& size);
  // Called when the service refused a request because of its rate. When the announced limits were
  // not in force yet and explain the refusal, puts them in force and returns true. A request
  // without writes can exceed only the rate of requests.
  bool on_throttled(bool has_writes);

  // Each quantity of `size` with its limit in force and, if that is another one, its announced
  // limit. For the log.
  std::string describe(const TransactionSize& size) const;

 private:
  static size_t max_compares(const settings::StoreLimits& limits);
  const settings::StoreLimits& in_force() const {
    return announced_in_force_ ? *announced_ : current_;
  }

  settings::StoreLimits current_;
  std::optional<settings::StoreLimits> announced_;
  bool announced_in_force_ = false;
};

}  // namespace dunlinknot::kv
