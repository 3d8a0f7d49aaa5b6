// Unit tests of the caches of terminal job states and of task counts.
#include <gtest/gtest.h>

#include "dunlinknot/jobs/final_cache.hpp"
#include "dunlinknot/jobs/progress_cache.hpp"

namespace dunlinknot::jobs {
namespace {

TEST(FinalCache, OldestJobsAreEvictedBeyondCapacity) {
  FinalCache cache(2);
  EXPECT_TRUE(cache.put("run-000001", {false, 1}));
  EXPECT_TRUE(cache.put("run-000002", {true, 2}));
  EXPECT_FALSE(cache.put("run-000002", {true, 2})) << "in the cache already";
  EXPECT_TRUE(cache.put("run-000003", {false, 3}));
  EXPECT_EQ(cache.find("run-000001"), nullptr);
  ASSERT_NE(cache.find("run-000002"), nullptr);
  EXPECT_TRUE(cache.find("run-000002")->cancelled);
  ASSERT_NE(cache.find("run-000003"), nullptr);
  EXPECT_EQ(cache.find("run-000003")->tasks, 3u);
}

TEST(FinalCache, ZeroCapacityStoresNothing) {
  FinalCache cache(0);
  EXPECT_TRUE(cache.put("run-000001", {false, 1}));
  EXPECT_TRUE(cache.put("run-000001", {false, 1}));
  EXPECT_EQ(cache.find("run-000001"), nullptr);
}

TEST(ProgressCache, CountsOfEarlierEpochsAreIgnored) {
  ProgressCache cache;
  wire::peer::Progress progress;
  progress.epoch = 2;
  progress.entries.push_back({"run-000001", 3, 4});
  cache.replace(progress);
  EXPECT_EQ(cache.counts("run-000001").done, 3u);
  EXPECT_EQ(cache.counts("run-000001").running, 4u);
  EXPECT_EQ(cache.counts("run-000002").done, 0u);
  progress.epoch = 1;
  progress.entries.front().done = 1;
  cache.replace(progress);
  EXPECT_EQ(cache.counts("run-000001").done, 3u) << "counts of a former leader are ignored";
  progress.epoch = 3;
  progress.entries.clear();
  cache.replace(progress);
  EXPECT_EQ(cache.counts("run-000001").done, 0u);
}

}  // namespace
}  // namespace dunlinknot::jobs
