// What the key-value store says about the singleton roles, for operators: holders and open intents,
// read without changing anything.
#pragma once
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

struct RoleStatus {
  Role role = Role::scale_out;
  std::optional<RoleHolderRecord> holder;  // empty: vacant, or unreadable
  std::optional<RecordError> error;
};

struct Overview {
  std::vector<RoleStatus> holders;
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<std::string> unreadable;  // keys of intents
};

// Nothing when the key-value store did not answer.
Task<std::optional<Overview>> read_overview(EventLoop& loop, kv::Client& store);
void print(std::ostream& out, const Overview& overview);

}  // namespace dunlinknot::roles
