// Decides which of the key-value store's limits are in force.
#include "dunlinknot/kv/limits.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::kv {

namespace {

// The store accepts this many compares per permitted write of a transaction.
constexpr size_t kComparesPerWrite = 4;

// The part of a transaction that is reserved for its compares and keys, in bytes of JSON.
constexpr size_t kReservedBytes = size_t{8} * 1024;

// A quantity of a transaction with the limit that applies to it.
std::string with_limit(std::string_view quantity, size_t size, size_t in_force, size_t announced) {
  std::string text = fmt::format("{} {} (at most {}", size, quantity, in_force);
  if (announced != in_force) text += fmt::format(", announced {}", announced);
  return text + ")";
}

}  // namespace

Limits::Limits(const settings::StoreLimits& current,
               const std::optional<settings::StoreLimits>& announced)
    : current_(current), announced_(announced) {}

size_t Limits::value_bytes() const {
  const size_t by_transaction = kMaxTransactionBytes - kReservedBytes;
  const size_t by_announced = announced_ ? announced_->value_bytes : by_transaction;
  return std::min({current_.value_bytes, by_announced, by_transaction});
}

size_t Limits::max_compares(const settings::StoreLimits& limits) {
  return limits.txn_ops * kComparesPerWrite;
}

bool Limits::on_rejected_transaction(const TransactionSize& size) {
  if (!announced_) return false;
  const bool explained = size.writes > announced_->txn_ops ||
                         size.compares > max_compares(*announced_) ||
                         size.largest_value > announced_->value_bytes;
  if (!explained) return false;
  if (!announced_in_force_)
    spdlog::info(
        "key-value store: rejected a transaction of {} writes and {} compares; the announced lower "
        "limits are in force from now on",
        size.writes, size.compares);
  announced_in_force_ = true;
  return true;
}

bool Limits::on_throttled(bool has_writes) {
  if (!announced_ || announced_in_force_) return false;
  if (!has_writes && announced_->rps >= current_.rps) return false;
  spdlog::info(
      "key-value store: throttled {}; the announced limits of {:.0f} requests/s and {:.0f} writes/s"
      " are in force from now on",
      has_writes ? "writes" : "requests", announced_->rps, announced_->write_rps);
  announced_in_force_ = true;
  return true;
}

std::string Limits::describe(const TransactionSize& size) const {
  const settings::StoreLimits& present = in_force();
  const settings::StoreLimits& next = announced_ ? *announced_ : present;
  return fmt::format(
      "{}, {}, {}, {}", with_limit("writes", size.writes, present.txn_ops, next.txn_ops),
      with_limit("compares", size.compares, max_compares(present), max_compares(next)),
      with_limit("bytes in the largest value", size.largest_value, present.value_bytes,
                 next.value_bytes),
      with_limit("bytes in total", size.total, kMaxTransactionBytes, kMaxTransactionBytes));
}

}  // namespace dunlinknot::kv
