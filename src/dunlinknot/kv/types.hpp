// Types of the key-value store's client and the results of its calls. The views in a result point
// into its `document`.
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

// Result of reading one key.
struct GetResult {
  Outcome outcome = Outcome::unknown;
  bool found = false;
  KeyValue item;          // set when `found`
  uint64_t revision = 0;  // set when not `found`: the store's revision at the time of the read
  std::shared_ptr<wire::Document> document;
};

// Result of reading one page of the keys under a prefix.
struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<KeyValue> items;  // in key order
  bool more = false;            // there is a next page, which starts after the last of `items`
  uint64_t revision = 0;        // the store's revision at the time of the read
  std::shared_ptr<wire::Document> document;
};

// Result of a transaction. When `outcome` is ok and `applied` is false, a compare failed.
struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  bool applied = false;
  bool lease_expired = false;  // refused because a lease named in a write does not exist any more
  // The store rejects this transaction whenever it is sent, and no known limit explains why. Not
  // executed.
  bool rejected = false;
  uint64_t revision = 0;            // when applied: the mod revision of all written keys
  std::vector<std::string> failed;  // keys whose compare failed
  bool compare_failed(std::string_view key) const;
};

// Result of granting, renewing or revoking a lease.
struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  bool expired = false;  // the lease that was to be renewed does not exist any more
  uint64_t lease = 0;
};

// Result of waiting for changes under a prefix.
struct WatchResult {
  Outcome outcome = Outcome::unknown;
  // The store no longer has the changes, or they exceed the maximum size of a response: the caller
  // must list the keys again.
  bool relist_required = false;
  std::vector<Change> changes;
  uint64_t revision = 0;  // the next watch starts after this revision
  std::shared_ptr<wire::Document> document;
};

// How a call may use the rate budget. `essential` calls (leases, leadership) are always sent, even
// when the budget is used up. `user` calls (submissions, cancellations) have a separate share that
// the allocation store's writes cannot use up.
enum class Importance { normal, user, essential };

}  // namespace dunlinknot::kv
