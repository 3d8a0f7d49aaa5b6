// Token bucket, and sockets that outlive the coroutines of the event loop.
#include <gtest/gtest.h>
#include <netinet/in.h>

#include "dunlinknot/http/socket.hpp"
#include "dunlinknot/runtime/token_bucket.hpp"
#include "fake_clock.hpp"

namespace dunlinknot {
namespace {

TEST(TokenBucket, TakeSucceedsAfterReportedWait) {
  // The missing tokens refilled in less than a nanosecond, so the reported wait was zero and the
  // caller retried in a busy loop. Found by the test with random concurrent faults.
  TokenBucket bucket(3.6, 4);
  Instant now{std::chrono::seconds(1)};
  for (int i = 0; i < 1000; ++i) {
    int waits = 0;
    while (!bucket.take(now)) {
      const Nanos wait = bucket.time_until_available(now);
      ASSERT_GE(wait, Millis(1));
      now += wait;
      ASSERT_LT(++waits, 3);
    }
    now += Nanos(37'000'001);
  }
}

// Guards against a debt that grows as long as calls are made, after which no other call was allowed
// for as long again.
TEST(TokenBucket, DebtIsRepaidWithinOneSecond) {
  constexpr double kPerSecond = 10;
  TokenBucket bucket(kPerSecond, kPerSecond);
  Instant now{std::chrono::seconds(1)};
  for (int i = 0; i < 1000; ++i) bucket.take_unconditionally(now);
  EXPECT_EQ(bucket.level(now), -kPerSecond);
  now += std::chrono::seconds(1);
  EXPECT_FALSE(bucket.take(now));
  now += Millis(101);
  EXPECT_TRUE(bucket.take(now));
}

Task<void> append_after(EventLoop& loop, Nanos delay, int number, std::vector<int>& order) {
  co_await loop.sleep(delay);
  order.push_back(number);
}

// Guards against simulated runs that differ because equal deadlines were ordered by address.
TEST(EventLoop, TimersWithTheSameDeadlineFireInTheOrderOfTheirStart) {
  test::Simulation simulation;
  std::vector<int> order;
  std::vector<int> expected;
  for (int number = 0; number < 200; ++number) {
    simulation.loop.spawn(append_after(simulation.loop, std::chrono::seconds(1), number, order));
    expected.push_back(number);
  }
  simulation.run_for(std::chrono::seconds(1));
  EXPECT_EQ(order, expected);
}

Task<void> accept_one(http::Listener& listener) {
  (void)co_await listener.accept();
}

// Closing the socket must not wake a coroutine that destroy_coroutines() has destroyed. Found by
// the handover run under the address sanitizer.
TEST(EventLoop, SocketMayOutliveDestroyedCoroutines) {
  SystemClock clock;
  EventLoop loop(clock);
  auto listener = std::make_unique<http::Listener>(loop, http::Endpoint{htonl(INADDR_LOOPBACK), 0});
  loop.spawn(accept_one(*listener));
  loop.run_ready();
  loop.destroy_coroutines();
  EXPECT_TRUE(loop.spawned().empty());
  listener.reset();
  loop.run_ready();
}

}  // namespace
}  // namespace dunlinknot
