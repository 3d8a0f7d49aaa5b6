// End-to-end test of one controller against scripted workers, key-value store, cloud and users.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

TEST(Service, JobRunsToCompletion) {
  Site site;
  site.run_for(seconds(2));
  ASSERT_EQ(site.submit(job("run-000001", 6)).status, 201);
  EXPECT_EQ(site.job_state("run-000001"), "queued");
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.starts, 6u);
  EXPECT_EQ(site.duplicate_starts, 0u);
  // Idle machines are terminated by now, and no machine record is left in the key-value store.
  site.run_for(seconds(60));
  for (const auto& [key, record] : site.store.data) EXPECT_FALSE(key.starts_with("host/")) << key;
}

}  // namespace
}  // namespace dunlinknot::test
