// The singleton roles as the key-value store shows them, for operators: holders and open intents.
// Printed by `dunlinknot duties`; reads only.
#pragma once
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

// Who holds one role.
struct RoleStatus {
  Role role = Role::scale_out;
  std::optional<RoleHolderRecord> holder;  // empty: vacant, or unreadable
  std::optional<RecordError> error;        // why the record cannot be read
};

// Everything that is printed, in key order.
struct Overview {
  std::vector<RoleStatus> holders;  // one of each role
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<std::string> unreadable;  // keys of intents
};

// Nothing when the key-value store did not answer after a few tries. `loop` and `store` must
// outlive the call.
Task<std::optional<Overview>> read_overview(EventLoop& loop, kv::Client& store);
void print(std::ostream& out, const Overview& overview);

}  // namespace dunlinknot::roles
