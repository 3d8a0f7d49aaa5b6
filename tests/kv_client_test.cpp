// The client of the key-value store: its request budget, and what it makes of refusals.
#include <gtest/gtest.h>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/node/readiness.hpp"
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

  // Sends essential calls at this rate, as a component that retries without a pause would.
  Task<void> send_essential_calls(double per_second, Nanos duration) {
    const Instant end = simulation.clock.now() + duration;
    while (simulation.clock.now() < end) {
      simulation.loop.spawn(send_essential_call());
      co_await simulation.loop.sleep(to_nanos(Seconds(1 / per_second)));
    }
  }
  Task<void> send_essential_call() {
    (void)co_await client.get("some/key", seconds(1), kv::Importance::essential);
  }
  void exceed_budget_for(Nanos duration) {
    simulation.loop.spawn(send_essential_calls(4 * kRequestsPerSecond, duration));
    simulation.run_for(duration);
  }
  bool serves_users() {
    return simulation.get(client.get("some/key", seconds(1))).outcome == http::Outcome::ok;
  }

  Simulation simulation;
  settings::Platform platform = Site::platform(0, 2);
  settings::Operator operator_settings;
  ScriptedStore store{simulation.loop, platform.store_limits};
  StoreTransport transport{store};
  kv::Client client{simulation.loop, transport, platform.key_value_store,
                    kv::Limits({kRequestsPerSecond, 100, 8192, 16}), 1.0};
};

// Guards against a debt of the request budget that grows without bound: after a minute of essential
// calls beyond the budget, no user was answered for minutes.
TEST_F(ClientTest, UsersAreServedSoonAfterEssentialCallsExceededBudgetForAMinute) {
  exceed_budget_for(seconds(60));
  EXPECT_FALSE(serves_users());
  simulation.run_for(Millis(1200));
  EXPECT_TRUE(serves_users());
}

TEST_F(ClientTest, OverdraftCountsWhileEssentialCallsLeaveNoBudgetAndEndsWithThem) {
  EXPECT_EQ(client.overdrawn_for(), Nanos(0));
  exceed_budget_for(seconds(5));
  EXPECT_GT(client.overdrawn_for(), seconds(3));
  simulation.run_for(seconds(2));
  EXPECT_EQ(client.overdrawn_for(), Nanos(0));
}

// Users' requests alone never overdraw the budget, however many there are: a node that answers as
// many of them as it may stays ready.
TEST_F(ClientTest, RefusedUserRequestsAreNoOverdraft) {
  for (int i = 0; i < 3000; ++i) {
    simulation.loop.spawn([](kv::Client& shared) -> Task<void> {
      (void)co_await shared.get("some/key", seconds(1));
    }(client));
    simulation.run_for(Millis(1));
  }
  EXPECT_GT(client.counts().throttled, 1000u);
  EXPECT_EQ(client.overdrawn_for(), Nanos(0));
}

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

// A peer whose status says that the store answers it.
wire::peer::Status status_of_peer_that_reaches_store() {
  wire::peer::Status status;
  status.node = "dunlin-1";
  status.store_has_responded = true;
  return status;
}

struct NoPeerEvents : leadership::PeerHandler {
  wire::peer::Status status() const override { return {}; }
  wire::peer::Progress progress() override { return {}; }
  void on_peer_status(const wire::peer::Status& /*status*/) override {}
  void on_peer_progress(const wire::peer::Progress& /*progress*/) override {}
  void on_peer_cancellation(const std::string& /*id*/) override {}
};

// Guards against a node that is ready although it answers every request of a user with 503.
TEST_F(ClientTest, NodeWithoutBudgetForUsersIsNotReadyWhileAPeerReachesStore) {
  NoPeerEvents events;
  leadership::Peers peers(simulation.loop, platform, events);
  jobs::RequestHandler jobs(simulation.loop, client, platform, operator_settings, 1,
                            [](const std::string&) {});
  jobs.set_catalog({MachineType{}});
  node::Readiness readiness(simulation.loop, client, peers, jobs);
  ASSERT_TRUE(serves_users());
  EXPECT_TRUE(simulation.get(readiness.check()));
  exceed_budget_for(seconds(5));
  EXPECT_TRUE(simulation.get(readiness.check())) << "no other node is known to do better";
  exceed_budget_for(seconds(1));
  peers.apply_status(status_of_peer_that_reaches_store(), simulation.clock.now());
  EXPECT_FALSE(simulation.get(readiness.check()));
  simulation.run_for(seconds(2));
  peers.apply_status(status_of_peer_that_reaches_store(), simulation.clock.now());
  EXPECT_TRUE(simulation.get(readiness.check()));
}

}  // namespace
}  // namespace dunlinknot::test
