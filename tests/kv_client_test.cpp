// The client of the key-value store: its request budget, and what it makes of refusals.
#include <gtest/gtest.h>

#include "dunlinknot/kv/client.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

constexpr double kRequestsPerSecond = 100;

// The loop, the store and the client of one node.
struct ClientTest : testing::Test {
  ClientTest() {
    platform.store_limits.rps = kRequestsPerSecond;
    store.limits.rps = 10 * kRequestsPerSecond;  // the store itself refuses nothing
  }
  ~ClientTest() override { simulation.loop.destroy_coroutines(); }

  Simulation simulation;
  settings::Platform platform = Site::platform(0, 2);
  settings::Operator operator_settings;
  ScriptedStore store{simulation.loop, platform.store_limits};
  StoreTransport transport{store};
  kv::Client client{simulation.loop, transport, platform.key_value_store,
                    kv::Limits({kRequestsPerSecond, 100, 8192, 16}), 1.0};
};

TEST_F(ClientTest, OnlyRefusalThatNoKnownLimitExplainsIsRejection) {
  kv::Transaction transaction;
  transaction.writes.push_back({"some/key", wire::write_epoch(1), 0});
  store.call_fault = [](const http::Call&) { return CallFault::reject; };
  kv::TransactionResult result = simulation.get(client.commit(transaction, seconds(1)));
  EXPECT_EQ(result.outcome, http::Outcome::not_executed);
  EXPECT_TRUE(result.rejected);

  settings::StoreLimits announced = platform.store_limits;
  announced.txn_ops = 3;
  kv::Client informed(simulation.loop, transport, platform.key_value_store,
                      kv::Limits(platform.store_limits, announced), 1.0);
  for (size_t i = 0; i < announced.txn_ops; ++i)
    transaction.writes.push_back({"other/key", wire::write_epoch(i), 0});
  result = simulation.get(informed.commit(transaction, seconds(1)));
  EXPECT_EQ(result.outcome, http::Outcome::not_executed);
  EXPECT_FALSE(result.rejected);
  EXPECT_EQ(informed.limits().txn_ops(), announced.txn_ops);
}

}  // namespace
}  // namespace dunlinknot::test
