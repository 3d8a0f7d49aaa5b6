// The key-value store's terms, and the results of the client's calls. A result's `document` owns
// what the views in it point into.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/http/client.hpp"
#include "dunlinknot/wire/store_messages.hpp"

namespace dunlinknot::kv {

using http::Outcome;
using wire::store::Change;
using wire::store::Compare;
using wire::store::KeyValue;
using wire::store::Transaction;
using wire::store::Write;

// Of reading one key.
struct GetResult {
  Outcome outcome = Outcome::unknown;
  bool found = false;
  KeyValue item;          // when found
  uint64_t revision = 0;  // when not found: the store's revision at the reading
  std::shared_ptr<wire::Document> document;
};

// Of reading one page of the keys under a prefix.
struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> items;  // in the order of their keys
  bool more = false;            // the next page begins after the last of `items`
  uint64_t revision = 0;        // the store's at the reading
  std::shared_ptr<wire::Document> document;
};

// Of a transaction. `outcome` ok and not `applied`: a compare failed.
struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  bool applied = false;
  bool lease_expired = false;       // refused: a lease to bind a key to does not exist any more
  uint64_t revision = 0;            // when applied: the mod revision of all keys written
  std::vector<std::string> failed;  // keys whose compare failed
  bool compare_failed(std::string_view key) const;
};

// Of granting, renewing or revoking a lease.
struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  bool expired = false;  // the lease to be renewed does not exist any more
  uint64_t lease = 0;
};

// Of waiting for changes under a prefix.
struct WatchResult {
  Outcome outcome = Outcome::unknown;
  bool relist_required = false;  // or more than one answer may hold: the keys must be listed again
  std::vector<Change> changes;
  uint64_t revision = 0;  // to watch from next
  std::shared_ptr<wire::Document> document;
};

// How a call may use the budget. `essential` calls (leases, leadership) are sent in any case.
// `user` calls (submissions, cancellations) have a share of their own, which the allocation store's
// writes do not use up.
enum class Importance { normal, user, essential };

}  // namespace dunlinknot::kv
