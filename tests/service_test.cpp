// The whole service, one or more controllers, against scripted peers.
#include <gtest/gtest.h>

#include "support.hpp"

namespace dunlinknot::test {
namespace {

TEST(Service, RunsAJobToItsEnd) {
  Site s;
  s.run_for(seconds(2));
  ASSERT_EQ(s.submit(job("run-000001", 6)).status, 201);
  EXPECT_EQ(s.standing("run-000001"), "queued");
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_EQ(s.starts, 6u);
  EXPECT_EQ(s.ran_twice, 0u);
  // Idle machines were returned, and no record of a machine is left behind.
  s.run_for(seconds(60));
  for (const auto& [key, e] : s.store.data) EXPECT_FALSE(key.starts_with("host/")) << key;
}

}  // namespace
}  // namespace dunlinknot::test
