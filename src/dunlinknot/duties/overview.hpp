// What the state service says about the duties, for operators: holders and open intents, read
// without changing anything.
#pragma once
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "dunlinknot/duties/records.hpp"
#include "dunlinknot/state/client.hpp"

namespace dunlinknot::duties {

struct HolderLine {
  Duty duty = Duty::scale_out;
  std::optional<HolderRecord> holder;  // empty: vacant, or unreadable
  std::optional<RecordError> error;
};

struct Overview {
  std::vector<HolderLine> holders;
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<std::string> unreadable;  // keys of intents
};

// Nothing when the state service did not answer.
Task<std::optional<Overview>> read_overview(Loop& loop, state::Client& state);
void print(std::ostream& out, const Overview& overview);

}  // namespace dunlinknot::duties
