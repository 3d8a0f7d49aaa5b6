// The protocol of the key-value store: paths, requests and responses. Its field names (`stamp`,
// `tenancy`, `ledgerRev`, `guards`, `news`) are used in the .cpp only. In this interface they are
// called mod revision, lease, revision, compares and changes.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::wire::store {

// A stored key with its value. `value` refers to the response's document, which must outlive it.
struct KeyValue {
  std::string key;
  View value;
  uint64_t mod_revision = 0;  // the revision of the key's last change
  uint64_t lease = 0;         // the lease that the key is bound to; 0: none
};

// A condition of a transaction: the key's mod revision still has this value.
struct Compare {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key must not exist
};

// A put or delete in a transaction.
struct Write {
  std::string key;
  std::string value;   // packed; empty: the key is deleted
  uint64_t lease = 0;  // the lease to bind the key to; 0: none
};

// A compare-and-swap: the writes are applied atomically, and only if all compares hold.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

// A change reported by a watch. `value` refers to the response's document, which must outlive it.
struct Change {
  std::string key;
  bool deleted = false;
  View value;
  uint64_t mod_revision = 0;
};

// One page of the keys under a prefix, in ascending order.
struct Listing {
  std::vector<KeyValue> items;
  bool more = false;      // there are keys after the last of `items`
  uint64_t revision = 0;  // the page includes at least all changes up to this one
};

// All changes under a prefix after the requested revision.
struct Changes {
  std::vector<Change> changes;
  uint64_t revision = 0;  // there are no other changes up to this revision
};

// The paths of requests, with their query parameters.
inline constexpr std::string_view kTransactionPath = "/multi";
inline constexpr std::string_view kLeasesPath = "/leases";
std::string key_path(std::string_view key);
// Lists the keys under `prefix` that follow the key `after`, or all of them if `after` is empty.
std::string list_path(std::string_view prefix, std::string_view after);
// Returns the changes under `prefix` after the revision `since`; waits up to `block` if there are
// none.
std::string changes_path(std::string_view prefix, uint64_t since, Millis block);
std::string lease_path(uint64_t lease);
std::string lease_renewal_path(uint64_t lease);

// The bodies of requests, packed.
std::string write_transaction(const Transaction& transaction);
std::string write_lease_request(Millis ttl);

// Upper bounds of the bytes that the parts of a transaction add to its size in JSON: one without
// compares and writes, a compare on `key`, and a write of `value_size` bytes to `key`.
size_t empty_transaction_size();
size_t compare_size(std::string_view key);
size_t write_size(std::string_view key, size_t value_size);

// Parts of responses; empty if the response is malformed.
std::optional<KeyValue> read_key_value(View item);
std::optional<uint64_t> read_revision(View response);
std::optional<Listing> read_listing(View response);
std::optional<Changes> read_changes(View response);
std::optional<uint64_t> read_lease(View response);
// The keys whose compare failed.
std::optional<std::vector<std::string>> read_failed_compares(View response);
// The error text of a refused request; "?" if the response contains none.
std::string read_error(View response);
// Returns whether `error` reports that a lease to which a transaction binds a key has expired.
bool is_expired_lease(std::string_view error);

}  // namespace dunlinknot::wire::store
