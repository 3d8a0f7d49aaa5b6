// Encoding of requests to the key-value store, decoding of its responses including malformed ones,
// and reading all keys under a prefix page by page.
#include "dunlinknot/wire/store_messages.hpp"

#include <gtest/gtest.h>

#include "dunlinknot/kv/pager.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

namespace store = wire::store;

std::string packed_number(uint64_t number) {
  wire::Writer writer;
  writer.count(number);
  return writer.take();
}

wire::Document parsed_document(wire::Writer& writer) {
  return *wire::Document::parse(writer.take());
}

TEST(StoreMessages, TransactionAndLeaseRequestHaveExpectedBytes) {
  store::Transaction transaction;
  transaction.compares.push_back({"a", 4});
  transaction.writes.push_back({"b", packed_number(7), 9});
  transaction.writes.push_back({"d", packed_number(8), 0});
  transaction.writes.push_back({"c", "", 9});
  const std::string expected =
      "\x82\xa6"
      "guards"
      "\x91\x82\xa3"
      "key"
      "\xa1"
      "a"
      "\xa5"
      "stamp"
      "\x04\xa6"
      "writes"
      "\x93\x83\xa3"
      "put"
      "\xa1"
      "b"
      "\xa1"
      "v"
      "\x07\xa7"
      "tenancy"
      "\x09\x82\xa3"
      "put"
      "\xa1"
      "d"
      "\xa1"
      "v"
      "\x08\x81\xa6"
      "delete"
      "\xa1"
      "c";
  EXPECT_EQ(store::write_transaction(transaction), expected);
  EXPECT_EQ(store::write_lease_request(Millis(100)),
            "\x81\xa5"
            "ttlMs"
            "\x64");
}

TEST(StoreMessages, PathsFollowTheProtocol) {
  EXPECT_EQ(store::key_path("job/run-1"), "/keys/job/run-1");
  EXPECT_EQ(store::list_path("job/", ""), "/keys?starts=job/&most=500");
  EXPECT_EQ(store::list_path("job/", "job/7"), "/keys?starts=job/&since=job/7&most=500");
  EXPECT_EQ(store::changes_path("leader", 431, Millis(10'000)),
            "/changes?starts=leader&since=431&blockMs=10000");
  EXPECT_EQ(store::lease_path(7), "/leases/7");
  EXPECT_EQ(store::lease_renewal_path(7), "/leases/7/extend");
}

TEST(StoreMessages, ListingWithUnreadableItemIsRejected) {
  for (const bool complete : {true, false}) {
    wire::Writer writer;
    writer.map(3).key("rows").list(2);
    writer.map(4).key("key").text("a").key("v").count(1).key("stamp").count(5).key("tenancy");
    writer.count(3);
    writer.map(complete ? 3 : 2).key("key").text("b").key("v").count(2);
    if (complete) writer.key("stamp").count(6);
    writer.key("more").flag(true).key("ledgerRev").count(8);
    const wire::Document response = parsed_document(writer);
    const auto listing = store::read_listing(response.root());
    ASSERT_EQ(listing.has_value(), complete);
    if (!listing) continue;
    EXPECT_EQ(listing->revision, 8u);
    EXPECT_TRUE(listing->more);
    ASSERT_EQ(listing->items.size(), 2u);
    EXPECT_EQ(listing->items[0].key, "a");
    EXPECT_EQ(listing->items[0].mod_revision, 5u);
    EXPECT_EQ(listing->items[0].lease, 3u);
    EXPECT_EQ(listing->items[1].value.count(), 2u);
    EXPECT_EQ(listing->items[1].lease, 0u);
  }
}

TEST(StoreMessages, ChangesOfUnknownKindAreSkipped) {
  wire::Writer writer;
  writer.map(2).key("ledgerRev").count(9).key("news").list(3);
  writer.map(3).key("put").text("a").key("v").count(1).key("stamp").count(8);
  writer.map(1).key("rename").text("b");
  writer.map(2).key("delete").text("c").key("stamp").count(9);
  const wire::Document response = parsed_document(writer);
  const auto changes = store::read_changes(response.root());
  ASSERT_TRUE(changes.has_value());
  EXPECT_EQ(changes->revision, 9u);
  ASSERT_EQ(changes->changes.size(), 2u);
  EXPECT_EQ(changes->changes[0].key, "a");
  EXPECT_FALSE(changes->changes[0].deleted);
  EXPECT_EQ(changes->changes[0].value.count(), 1u);
  EXPECT_EQ(changes->changes[0].mod_revision, 8u);
  EXPECT_EQ(changes->changes[1].key, "c");
  EXPECT_TRUE(changes->changes[1].deleted);
}

TEST(StoreMessages, MissingFieldsAreReadAsEmpty) {
  const wire::View nothing;
  EXPECT_FALSE(store::read_key_value(nothing).has_value());
  EXPECT_FALSE(store::read_revision(nothing).has_value());
  EXPECT_FALSE(store::read_listing(nothing).has_value());
  EXPECT_FALSE(store::read_changes(nothing).has_value());
  EXPECT_FALSE(store::read_lease(nothing).has_value());
  EXPECT_FALSE(store::read_failed_compares(nothing).has_value());
  EXPECT_EQ(store::read_error(nothing), "?");
  EXPECT_TRUE(store::is_expired_lease("no such lease"));
  EXPECT_FALSE(store::is_expired_lease("?"));
}

TEST(Pager, ReadsEachKeyOnceAndRetriesUnansweredPage) {
  constexpr size_t kKeys = 1201;  // three pages
  Site site(1);
  for (size_t i = 0; i < kKeys; ++i) {
    site.store.put("paged/" + std::to_string(10'000 + i), packed_number(i));
  }
  size_t list_calls = 0;
  site.store.call_fault = [&](const http::Call& call) {
    if (call.target.starts_with("/keys?starts=paged/")) ++list_calls;
    return list_calls == 2 ? CallFault::refuse : CallFault::none;
  };
  Site::Node& node = *site.nodes.front();
  kv::Client client(site.loop, node, node.platform.key_value_store,
                    kv::Limits(node.platform.store_limits), 1.0);
  kv::Pager pager(client, "paged/", seconds(1));
  std::vector<std::string> keys;
  size_t unanswered_pages = 0;
  while (!pager.done()) {
    const kv::ListResult page = site.get(pager.next());
    if (page.outcome != kv::Outcome::ok) ++unanswered_pages;
    for (const kv::KeyValue& item : page.items) keys.push_back(item.key);
    ASSERT_LT(list_calls, 10u);
  }
  EXPECT_EQ(unanswered_pages, 1u);
  EXPECT_EQ(list_calls, 4u);
  ASSERT_EQ(keys.size(), kKeys);
  for (size_t i = 0; i < kKeys; ++i) EXPECT_EQ(keys[i], "paged/" + std::to_string(10'000 + i));
}

}  // namespace
}  // namespace dunlinknot::test
