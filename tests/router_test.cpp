// Unit tests of find_route: the action for each path and method.
#include "dunlinknot/node/router.hpp"

#include <gtest/gtest.h>

namespace dunlinknot::node {
namespace {

TEST(Router, EveryProtocolRouteHasItsAction) {
  EXPECT_EQ(find_route("POST", "/agent/beat").action, Action::heartbeat);
  EXPECT_EQ(find_route("GET", "/ready").action, Action::ready);
  EXPECT_EQ(find_route("POST", "/v1/jobs").action, Action::submit_job);
  EXPECT_EQ(find_route("GET", "/v1/jobs/j1").action, Action::poll_job);
  EXPECT_EQ(find_route("GET", "/v1/jobs/j1").job_id, "j1");
  EXPECT_EQ(find_route("POST", "/v1/jobs/j1/withdraw").action, Action::cancel_job);
  EXPECT_EQ(find_route("POST", "/v1/jobs/j1/withdraw").job_id, "j1");
}

TEST(Router, QueryIsIgnored) {
  EXPECT_EQ(find_route("GET", "/ready?probe=1").action, Action::ready);
  EXPECT_EQ(find_route("GET", "/v1/jobs/j1?x=/withdraw").job_id, "j1");
}

TEST(Router, OtherMethodsOfKnownPathsAreNotAllowed) {
  EXPECT_EQ(find_route("GET", "/agent/beat").action, Action::method_not_allowed);
  EXPECT_EQ(find_route("POST", "/ready").action, Action::method_not_allowed);
  EXPECT_EQ(find_route("GET", "/v1/jobs").action, Action::method_not_allowed);
  EXPECT_EQ(find_route("DELETE", "/v1/jobs/j1").action, Action::method_not_allowed);
  EXPECT_EQ(find_route("GET", "/v1/jobs/j1/withdraw").action, Action::method_not_allowed);
}

TEST(Router, UnknownPathsAreNotFound) {
  EXPECT_EQ(find_route("GET", "/").action, Action::not_found);
  EXPECT_EQ(find_route("POST", "/v1/job").action, Action::not_found);
  EXPECT_EQ(find_route("POST", "/agent/beat/").action, Action::not_found);
}

}  // namespace
}  // namespace dunlinknot::node
