// Encodes and decodes the messages of the key-value store. Its field names are used only here.
#include "dunlinknot/wire/store_messages.hpp"

#include <limits>

namespace dunlinknot::wire::store {

namespace {

constexpr std::string_view kPageItems = "500";  // keys of one page; the store allows up to 1,000

constexpr std::string_view kKey = "key";
constexpr std::string_view kValue = "v";
constexpr std::string_view kModRevision = "stamp";
constexpr std::string_view kLease = "tenancy";
constexpr std::string_view kRevision = "ledgerRev";
constexpr std::string_view kCompares = "guards";
constexpr std::string_view kWrites = "writes";
constexpr std::string_view kPut = "put";
constexpr std::string_view kDelete = "delete";
constexpr std::string_view kItems = "rows";
constexpr std::string_view kMore = "more";
constexpr std::string_view kChanges = "news";
constexpr std::string_view kFailed = "failed";
constexpr std::string_view kError = "error";
constexpr std::string_view kLeaseTtl = "ttlMs";

constexpr size_t kMaxCountDigits = std::numeric_limits<uint64_t>::digits10 + 1;

// Empty if the kind of change is unknown to this version.
std::optional<Change> read_change(View entry) {
  Change change;
  if (const auto put = entry[kPut].text()) {
    change.key = *put;
  } else if (const auto removed = entry[kDelete].text()) {
    change.key = *removed;
    change.deleted = true;
  } else {
    return std::nullopt;
  }
  change.value = entry[kValue];
  change.mod_revision = entry[kModRevision].count().value_or(0);
  return change;
}

}  // namespace

std::string key_path(std::string_view key) {
  return "/keys/" + std::string(key);
}

std::string list_path(std::string_view prefix, std::string_view after) {
  std::string path = "/keys?starts=" + std::string(prefix);
  if (!after.empty()) path += "&since=" + std::string(after);
  return path + "&most=" + std::string(kPageItems);
}

std::string changes_path(std::string_view prefix, uint64_t since, Millis block) {
  return "/changes?starts=" + std::string(prefix) + "&since=" + std::to_string(since) +
         "&blockMs=" + std::to_string(block.count());
}

std::string lease_path(uint64_t lease) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease);
}

std::string lease_renewal_path(uint64_t lease) {
  return lease_path(lease) + "/extend";
}

std::string write_transaction(const Transaction& transaction) {
  Writer writer;
  writer.map(2).key(kCompares).list(transaction.compares.size());
  for (const Compare& compare : transaction.compares) {
    writer.map(2).key(kKey).text(compare.key).key(kModRevision).count(compare.mod_revision);
  }
  writer.key(kWrites).list(transaction.writes.size());
  for (const Write& write : transaction.writes) {
    if (write.value.empty()) {
      writer.map(1).key(kDelete).text(write.key);
      continue;
    }
    writer.map(write.lease ? 3 : 2).key(kPut).text(write.key).key(kValue).raw(write.value);
    if (write.lease) writer.key(kLease).count(write.lease);
  }
  return writer.take();
}

size_t empty_transaction_size() {
  return std::string_view(R"({"guards": [], "writes": []})").size();
}

size_t compare_size(std::string_view key) {
  constexpr std::string_view kFrame = R"({"key": "", "stamp": }, )";
  return kFrame.size() + key.size() + kMaxCountDigits;
}

size_t write_size(std::string_view key, size_t value_size) {
  constexpr std::string_view kFrame = R"({"put": "", "v": , "tenancy": }, )";
  return kFrame.size() + key.size() + value_size + kMaxCountDigits;
}

std::string write_lease_request(Millis ttl) {
  Writer writer;
  writer.map(1).key(kLeaseTtl).count(static_cast<uint64_t>(ttl.count()));
  return writer.take();
}

std::optional<KeyValue> read_key_value(View item) {
  const auto key = item[kKey].text();
  const auto mod_revision = item[kModRevision].count();
  if (!key || !mod_revision) return std::nullopt;
  return KeyValue{std::string(*key), item[kValue], *mod_revision, item[kLease].count().value_or(0)};
}

std::optional<uint64_t> read_revision(View response) {
  return response[kRevision].count();
}

std::optional<Listing> read_listing(View response) {
  const auto revision = read_revision(response);
  const View items = response[kItems];
  if (!revision || !items.is_list()) return std::nullopt;
  Listing listing;
  listing.revision = *revision;
  listing.more = response[kMore].flag().value_or(false);
  for (size_t i = 0; i < items.size(); ++i) {
    auto item = read_key_value(items.at(i));
    if (!item) return std::nullopt;
    listing.items.push_back(std::move(*item));
  }
  return listing;
}

std::optional<Changes> read_changes(View response) {
  const auto revision = read_revision(response);
  if (!revision) return std::nullopt;
  Changes changes;
  changes.revision = *revision;
  const View entries = response[kChanges];
  for (size_t i = 0; i < entries.size(); ++i) {
    if (auto change = read_change(entries.at(i))) changes.changes.push_back(std::move(*change));
  }
  return changes;
}

std::optional<uint64_t> read_lease(View response) {
  return response[kLease].count();
}

std::optional<std::vector<std::string>> read_failed_compares(View response) {
  const View failed = response[kFailed];
  if (!failed.is_list()) return std::nullopt;
  std::vector<std::string> keys;
  for (size_t i = 0; i < failed.size(); ++i) {
    if (const auto key = failed.at(i).text()) keys.emplace_back(*key);
  }
  return keys;
}

std::string read_error(View response) {
  return std::string(response[kError].text().value_or("?"));
}

bool is_expired_lease(std::string_view error) {
  return error == "no such lease";
}

}  // namespace dunlinknot::wire::store
