// The singleton roles of a controller: its holdings, and the log of what is decided under them.
#pragma once
#include "dunlinknot/roles/intent_log.hpp"
#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

// Both parts of the feature, owned by the daemon. It exists only where the singleton roles are
// turned on; users hold a pointer that is null otherwise.
struct SingletonRoles {
  SingletonRoles(cluster::LeaderContext& context, kv::Client& store)
      : holder(context, store), intents(context, store, holder) {}

  RoleHolder holder;
  IntentLog intents;
};

}  // namespace dunlinknot::roles
