#include <gtest/gtest.h>

#include "dunlinknot/runtime/budget.hpp"

namespace dunlinknot {
namespace {

TEST(Budget, WhoeverWaitsAsLongAsItSaysGetsItsShare) {
  // Found by the drawn meetings: what was missing refilled in less than a nanosecond, so the wait
  // was none at all, and the caller span.
  Budget b(3.6, 4);
  Instant now{std::chrono::seconds(1)};
  for (int i = 0; i < 1000; ++i) {
    int waits = 0;
    while (!b.take(now)) {
      const Nanos wait = b.until(now);
      ASSERT_GE(wait, Millis(1));
      now += wait;
      ASSERT_LT(++waits, 3);
    }
    now += Nanos(37'000'001);
  }
}

}  // namespace
}  // namespace dunlinknot
