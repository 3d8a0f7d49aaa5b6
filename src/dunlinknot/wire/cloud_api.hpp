// Paths, query parameters and the no-capacity error of the cloud API. The message bodies are
// declared in messages.hpp.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace dunlinknot::wire {

inline constexpr std::string_view kCatalogPath = "/catalog";             // GET
inline constexpr std::string_view kMachinesPath = "/rentals";            // GET: list; POST: launch
inline constexpr std::string_view kTerminationPath = "/rentals/delete";  // POST

// Returns the request target for one page of the machine list. The page holds up to `max_machines`
// machines and starts after the machine id `after`, or at the beginning if `after` is empty.
std::string machine_list_target(size_t max_machines, std::string_view after);

// Returns whether the body of a 503 response to a launch request reports that the cloud has no
// capacity for the requested machines. Any other 503 is a failure of the cloud API.
bool says_no_capacity(std::string_view body);

}  // namespace dunlinknot::wire
