// The log of what the singleton roles decided: each act on the cloud is durable here before it is
// sent, in a transaction that guards the role's key, and stays until there is evidence of how it
// ended.
//
// A successor reads the open intents and goes on with the same acts under the same names before it
// decides anything of its own. So whatever a former holder still sends, however late, repeats what
// is decided anyway.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

// An intent that cannot be taken as it is. Its name is known from its key.
struct UnreadableIntent {
  std::string key;
  RecordError error = RecordError::damaged;
};

struct OpenIntents {
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<UnreadableIntent> unreadable;
};

class IntentLog {
 public:
  IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder);

  void begin_term();
  // All that is open; nothing when the term ended meanwhile.
  Task<std::optional<OpenIntents>> load(uint64_t term);

  // Whether these intents are durable now. If not, nothing may be sent for them; they may be
  // recorded again. No more than `max_batch` at a time.
  Task<bool> record_scale_out(uint64_t term, std::vector<ScaleOutIntent> intents);
  Task<bool> record_scale_in(uint64_t term, std::vector<ScaleInIntent> intents);
  size_t max_batch() const;

  // There is evidence that the act is settled: its record may go.
  void end_scale_out(const std::string& request) { end(Role::scale_out, scale_out_key(request)); }
  void end_scale_in(const std::string& machine) { end(Role::scale_in, scale_in_key(machine)); }
  // Removes the records of what is settled, as long as the term lasts.
  Task<void> remove_ended(uint64_t term);

  size_t open() const { return mod_revisions_.size(); }

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Ended {
    Role role;
    std::string key;
  };
  Task<bool> record(uint64_t term, Role role, std::vector<Entry> entries);
  Task<bool> read_back(uint64_t term, const std::vector<Entry>& entries);
  Task<bool> remove_batch(uint64_t term);
  Task<void> reread_ended(uint64_t term, const std::vector<Ended>& batch);
  void end(Role role, std::string key);

  cluster::LeaderContext& context_;
  kv::Client& store_;
  RoleHolder& holder_;
  std::map<std::string, uint64_t> mod_revisions_;  // of the open intents
  std::deque<Ended> ended_;
  AutoResetEvent has_ended_;
};

}  // namespace dunlinknot::roles
