// How many of the platform's connections the server may use.
#include "dunlinknot/node/connection_limit.hpp"

#include <algorithm>

namespace dunlinknot::node {

namespace {

constexpr size_t kOtherCalls = 64;  // stops, the cloud, the allocation store

}  // namespace

// Calls on the users' behalf take one socket each at most; every peer takes two, one for each
// direction. On a large quota all else is for workers and users: a leader holds a connection of
// every machine. On a small one the server keeps three quarters.
size_t max_server_connections(const settings::Platform& platform,
                              const settings::Operator& operator_settings) {
  const size_t own = operator_settings.max_submissions + operator_settings.max_polls +
                     2 * platform.peers.size() + kOtherCalls;
  const size_t quota = platform.max_connections;
  return std::max(quota * 3 / 4, quota > own ? quota - own : 0);
}

}  // namespace dunlinknot::node
