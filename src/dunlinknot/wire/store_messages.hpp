// The protocol of the key-value store: paths, requests and answers. Its field names (`stamp`,
// `tenancy`, `ledgerRev`, `guards`, `news`) are used in the .cpp only; here they have the terms of
// the field: mod revision, lease, revision, compares, changes.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::wire::store {

// A key as it is stored. `value` points into the answer's document.
struct KeyValue {
  std::string key;
  View value;
  uint64_t mod_revision = 0;  // the revision of the key's last change
  uint64_t lease = 0;         // that the key is bound to; 0: none
};

// A condition of a transaction: the key's last change is still the one that we know.
struct Compare {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key must not exist
};

// A change that a transaction makes.
struct Write {
  std::string key;
  std::string value;   // packed; empty: the key is deleted
  uint64_t lease = 0;  // to bind the key to; 0: none
};

// Writes that are applied together, and only if all compares hold.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

// A change that a watch reports. `value` points into the answer's document.
struct Change {
  std::string key;
  bool deleted = false;
  View value;
  uint64_t mod_revision = 0;
};

// One page of the keys under a prefix, in order.
struct Listing {
  std::vector<KeyValue> items;
  bool more = false;      // there are keys after the last of `items`
  uint64_t revision = 0;  // what the page shows is at least this new
};

// All changes under a prefix after the revision that was asked for.
struct Changes {
  std::vector<Change> changes;
  uint64_t revision = 0;  // up to which there are no others
};

// The paths of requests, with their queries.
inline constexpr std::string_view kTransactionPath = "/multi";
inline constexpr std::string_view kLeasesPath = "/leases";
std::string key_path(std::string_view key);
// The keys under `prefix` after `after`; all of them when that is empty.
std::string list_path(std::string_view prefix, std::string_view after);
// The changes under `prefix` after the revision `since`, waiting up to `block` for one.
std::string changes_path(std::string_view prefix, uint64_t since, Millis block);
std::string lease_path(uint64_t lease);
std::string lease_renewal_path(uint64_t lease);

// The bodies of requests, packed.
std::string write_transaction(const Transaction& transaction);
std::string write_lease_request(Millis ttl);

// Parts of answers; empty when the answer is not of the expected form.
std::optional<KeyValue> read_key_value(View item);
std::optional<uint64_t> read_revision(View answer);
std::optional<Listing> read_listing(View answer);
std::optional<Changes> read_changes(View answer);
std::optional<uint64_t> read_lease(View answer);
// The keys whose compare failed.
std::optional<std::vector<std::string>> read_failed_compares(View answer);
// Why a request was refused, in the store's words; "?" when it does not say.
std::string read_error(View answer);
// Whether that error is the expiry of a lease that a transaction was to bind a key to.
bool is_expired_lease(std::string_view error);

}  // namespace dunlinknot::wire::store
