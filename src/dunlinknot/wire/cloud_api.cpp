// Builds request targets of the cloud API and recognizes its no-capacity error.
#include "dunlinknot/wire/cloud_api.hpp"

#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::wire {

std::string machine_list_target(size_t max_machines, std::string_view after) {
  std::string target(kMachinesPath);
  target += "?most=" + std::to_string(max_machines);
  if (!after.empty()) target.append("&since=").append(after);
  return target;
}

bool says_no_capacity(std::string_view body) {
  const auto document = Document::parse(body);
  return document && document->root()["error"].text() == "no capacity";
}

}  // namespace dunlinknot::wire
