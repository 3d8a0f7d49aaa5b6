// The size of a transaction in the quantities that the key-value store limits.
#pragma once
#include <cstddef>

#include "dunlinknot/kv/types.hpp"

namespace dunlinknot::kv {

// Sizes in bytes are those of the request in JSON, the form in which the store counts them; each is
// an upper bound (see wire::json_size).
struct TransactionSize {
  size_t writes = 0;         // puts and deletes
  size_t compares = 0;       // conditions
  size_t largest_value = 0;  // in bytes
  size_t total = 0;          // of the whole request, in bytes
};

TransactionSize size_of(const Transaction& transaction);

}  // namespace dunlinknot::kv
