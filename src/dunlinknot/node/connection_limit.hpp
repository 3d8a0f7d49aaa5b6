// How many of the process's connections the HTTP server may use.
#pragma once
#include <cstddef>

#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::node {

// How many connections the server may hold, so that the calls of this node find sockets too.
size_t max_server_connections(const settings::Platform& platform,
                              const settings::Operator& operator_settings);

}  // namespace dunlinknot::node
