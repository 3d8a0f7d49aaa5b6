// The whole service, one or more controllers, against scripted peers.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

TEST(Service, RunsAJobToItsEnd) {
  Site site;
  site.run_for(seconds(2));
  ASSERT_EQ(site.submit(job("run-000001", 6)).status, 201);
  EXPECT_EQ(site.job_state("run-000001"), "queued");
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.starts, 6u);
  EXPECT_EQ(site.duplicate_starts, 0u);
  // Idle machines were returned, and no record of a machine is left behind.
  site.run_for(seconds(60));
  for (const auto& [key, e] : site.store.data) EXPECT_FALSE(key.starts_with("host/")) << key;
}

}  // namespace
}  // namespace dunlinknot::test
