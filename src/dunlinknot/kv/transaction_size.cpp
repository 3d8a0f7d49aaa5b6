// Measures a transaction by decoding its encoded form.
#include "dunlinknot/kv/transaction_size.hpp"

#include <algorithm>
#include <string>

namespace dunlinknot::kv {

namespace {

size_t json_size(const std::string& packed) {
  const auto document = wire::Document::parse(packed);
  return document ? wire::json_size(document->root()) : 0;
}

}  // namespace

TransactionSize size_of(const Transaction& transaction) {
  TransactionSize size;
  size.writes = transaction.writes.size();
  size.compares = transaction.compares.size();
  for (const Write& write : transaction.writes) {
    size.largest_value = std::max(size.largest_value, json_size(write.value));
  }
  size.total = json_size(wire::store::write_transaction(transaction));
  return size;
}

}  // namespace dunlinknot::kv
