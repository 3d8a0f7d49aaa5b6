// Computes the HTTP server's share of the process's connection quota.
#include "dunlinknot/node/connection_limit.hpp"

#include <algorithm>

namespace dunlinknot::node {

namespace {

// Reserved for stop calls and for calls to the cloud and the key-value store that serve no user
// request.
constexpr size_t kOtherCallConnections = 64;

}  // namespace

// A user request uses at most one outgoing connection, and each peer uses two, one in each
// direction. With a large quota the server gets all other connections, because a leader holds a
// connection from every machine. With a small quota it gets three quarters.
size_t max_server_connections(const settings::Platform& platform,
                              const settings::Operator& operator_settings) {
  const size_t reserved = operator_settings.max_submissions + operator_settings.max_polls +
                          2 * platform.peers.size() + kOtherCallConnections;
  const size_t quota = platform.max_connections;
  return std::max(quota * 3 / 4, quota > reserved ? quota - reserved : 0);
}

}  // namespace dunlinknot::node
