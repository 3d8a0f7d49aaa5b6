// The elector against a key-value store that keeps only the last 10,000 changes and limits the rate
// of requests.
#include "dunlinknot/leadership/elector.hpp"

#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

// More changes than the store keeps.
constexpr size_t kForgottenChanges = 10'001;
constexpr auto kLeaderTtl = seconds(3);

struct IgnoreTerms : leadership::LeadershipObserver {
  void on_elected(const leadership::Term& /*term*/) override {}
  void on_leadership_lost() override {}
};

// One elector and the store; other nodes are scripted by writing the leadership keys.
struct ElectorTest : testing::Test {
  ~ElectorTest() override { simulation.loop.destroy_coroutines(); }
  void start_elector() { simulation.loop.spawn(elector.run()); }
  void elect_other_node(uint64_t epoch) {
    store.put(std::string(wire::kEpochKey), wire::write_epoch(epoch));
    store.put(std::string(wire::kLeaderKey), wire::write_leader({"dunlin-9", epoch}));
  }
  void change_other_keys(size_t changes) {
    for (size_t i = 0; i < changes; ++i) store.put("other/key", wire::write_epoch(i));
  }
  void remove_leader_key() { store.erase(std::string(wire::kLeaderKey)); }

  Simulation simulation;
  settings::Platform platform = Site::platform(0, 3);
  ScriptedStore store{simulation.loop, platform.store_limits};
  StoreTransport transport{store};
  kv::Client client{simulation.loop, transport, platform.key_value_store,
                    kv::Limits(platform.store_limits), 0.85};
  IgnoreTerms observer;
  leadership::Elector elector{simulation.loop, client, platform, kLeaderTtl, observer};
};

// Guards against a watch that is repeated without a pause from a revision that the store no longer
// has: the requests of users at this node got no budget any more.
TEST_F(ElectorTest, StartedMoreChangesAfterElectionThanStoreKeepsWatchesWithoutRetries) {
  elect_other_node(4);
  change_other_keys(kForgottenChanges);
  start_elector();
  simulation.run_for(seconds(9));
  EXPECT_EQ(store.expired_watches, 0u);
  EXPECT_LT(store.requests, 10u);
  EXPECT_EQ(elector.known_epoch(), 4u);
  EXPECT_EQ(elector.known_leader(), "dunlin-9");
  remove_leader_key();
  simulation.run_for(seconds(1));
  EXPECT_TRUE(elector.leading()) << "the watch must report the removal of the key";
}

// The same after an outage for this node alone, in which the other nodes went on.
TEST_F(ElectorTest, CutOffForMoreChangesThanStoreKeepsWatchesAgainWithoutRetries) {
  elect_other_node(4);
  start_elector();
  simulation.run_for(seconds(1));
  store.call_fault = [](const http::Call&) { return CallFault::refuse; };
  simulation.run_for(seconds(20));
  change_other_keys(kForgottenChanges);
  store.call_fault = nullptr;
  simulation.run_for(seconds(5));
  const uint64_t requests = store.requests;
  simulation.run_for(seconds(20));
  EXPECT_LE(store.expired_watches, 1u);
  EXPECT_LT(store.requests - requests, 10u);
  remove_leader_key();
  simulation.run_for(seconds(1));
  EXPECT_TRUE(elector.leading());
}

// Guards against watches in a busy loop while the store keeps too few changes for any watch.
TEST_F(ElectorTest, PausesBetweenWatchesThatAreAllAnsweredTooOld) {
  elect_other_node(4);
  store.watches_too_old = true;
  start_elector();
  constexpr auto kWatched = seconds(10);
  simulation.run_for(kWatched);
  constexpr size_t kMaxRequestsPerSecond = 25;
  EXPECT_LT(store.requests, kMaxRequestsPerSecond * kWatched.count());
  store.watches_too_old = false;
  remove_leader_key();
  simulation.run_for(seconds(1));
  EXPECT_TRUE(elector.leading());
}

// Guards against campaigns in a busy loop, each with a new lease, while the store refuses writes.
TEST_F(ElectorTest, PausesBetweenCampaignsWhoseTransactionIsRefused) {
  store.call_fault = [](const http::Call& call) {
    return is_transaction_on(call, wire::kLeaderKey) ? CallFault::refuse : CallFault::none;
  };
  start_elector();
  constexpr auto kRefused = seconds(10);
  simulation.run_for(kRefused);
  constexpr size_t kMaxRequestsPerSecond = 40;
  EXPECT_LT(store.requests, kMaxRequestsPerSecond * kRefused.count());
  store.call_fault = nullptr;
  simulation.run_for(seconds(1));
  EXPECT_TRUE(elector.leading());
}

}  // namespace
}  // namespace dunlinknot::test
