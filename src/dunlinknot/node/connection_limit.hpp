// The HTTP server's share of the process's connection quota.
#pragma once
#include <cstddef>

#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::node {

// The maximum number of connections of the HTTP server. The rest of the quota is left for this
// node's outgoing calls and its peers.
size_t max_server_connections(const settings::Platform& platform,
                              const settings::Operator& operator_settings);

}  // namespace dunlinknot::node
