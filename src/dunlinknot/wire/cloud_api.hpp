// The cloud's interface by the protocol's names: paths, queries, and the answer without capacity.
// The bodies of its messages are in messages.hpp.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace dunlinknot::wire {

inline constexpr std::string_view kCatalogPath = "/catalog";             // GET
inline constexpr std::string_view kMachinesPath = "/rentals";            // GET: list; POST: launch
inline constexpr std::string_view kTerminationPath = "/rentals/delete";  // POST

// The request target for one page of the machine list: at most `max_machines`, from the first one
// after `after`, or from the beginning if that is empty.
std::string machine_list_target(size_t max_machines, std::string_view after);

// Whether the body of a 503 to a launch says that the cloud has no capacity of that kind. Any other
// 503 is a failure of the service.
bool says_no_capacity(std::string_view body);

}  // namespace dunlinknot::wire
