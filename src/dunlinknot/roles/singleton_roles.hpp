// The singleton roles of a controller: their holder and the intent log.
#pragma once
#include "dunlinknot/roles/intent_log.hpp"
#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

// Groups both components. Owned by the daemon, which creates it only when the singleton roles are
// enabled; its users have a pointer that is null otherwise.
struct SingletonRoles {
  SingletonRoles(cluster::LeaderContext& context, kv::Client& store)
      : holder(context, store), intents(context, store, holder) {}

  RoleHolder holder;
  IntentLog intents;
};

}  // namespace dunlinknot::roles
