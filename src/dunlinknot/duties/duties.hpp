// The single-holder duties of a controller: who holds them, and what was decided under them.
#pragma once
#include "dunlinknot/duties/holder.hpp"
#include "dunlinknot/duties/intents.hpp"

namespace dunlinknot::duties {

struct Duties {
  Duties(cluster::LeaderContext& context, state::Client& state)
      : holder(context, state), intents(context, state, holder) {}

  Holder holder;
  IntentLog intents;
};

}  // namespace dunlinknot::duties
