// An overview of the singleton roles for operators: their holders and the open intents, as stored
// in the key-value store. Printed by `dunlinknot duties`. Writes nothing to the store.
#pragma once
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

// The holder of one role.
struct RoleStatus {
  Role role = Role::scale_out;
  std::optional<RoleHolderRecord> holder;  // empty: no holder, or unreadable
  std::optional<RecordError> error;        // set when the record cannot be read
};

// The contents of the overview; intents are in key order.
struct Overview {
  std::vector<RoleStatus> holders;  // one per role
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<std::string> unreadable;  // keys of intents that cannot be read
};

// Reads the overview. Returns nothing when the key-value store did not answer after a few attempts.
// `loop` and `store` must outlive the call.
Task<std::optional<Overview>> read_overview(EventLoop& loop, kv::Client& store);
void print(std::ostream& out, const Overview& overview);

}  // namespace dunlinknot::roles
