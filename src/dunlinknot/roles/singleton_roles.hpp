// The singleton roles of a controller: who holds them, and what was decided under them.
#pragma once
#include "dunlinknot/roles/intent_log.hpp"
#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

struct SingletonRoles {
  SingletonRoles(cluster::LeaderContext& context, kv::Client& store)
      : holder(context, store), intents(context, store, holder) {}

  RoleHolder holder;
  IntentLog intents;
};

}  // namespace dunlinknot::roles
