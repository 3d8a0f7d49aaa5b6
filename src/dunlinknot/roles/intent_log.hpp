// The log of decisions made under the singleton roles. Each request to the cloud is recorded here
// as an intent before it is sent, by a transaction that compares the role's key. The intent stays
// until the outcome of the request is known.
//
// A successor reads the open intents and repeats the same requests under the same names before it
// makes decisions of its own. So a request that a previous holder sends late is always a duplicate
// of one that is sent anyway (docs/singleton_roles.md).
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

// An intent that cannot be used. Its key still names the request or machine.
struct UnreadableIntent {
  std::string key;
  RecordError error = RecordError::damaged;
};

// The open intents that a new holder loads from the log, each kind in key order.
struct OpenIntents {
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<UnreadableIntent> unreadable;
};

// Records and removes intents for the holder of the roles. All functions must be called on the
// controller's event loop. Coroutines of an earlier term return without effect.
class IntentLog {
 public:
  // `context`, `store` and `holder` must outlive the log.
  IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder);

  // Discards the state of the previous term.
  void begin_term();
  // Reads all open intents, with retries. Returns nothing when the term ended meanwhile.
  Task<std::optional<OpenIntents>> load(uint64_t term);

  // Records intents, at most `max_batch` at a time. Returns whether they are durable. If they are
  // not, no request may be sent for them; the caller may record them again.
  Task<bool> record_scale_out(uint64_t term, std::vector<ScaleOutIntent> intents);
  Task<bool> record_scale_in(uint64_t term, std::vector<ScaleInIntent> intents);
  size_t max_batch() const;

  // Called when the outcome of the request is known. `remove_settled` then removes its record.
  void mark_scale_out_settled(const std::string& request) {
    mark_settled(Role::scale_out, scale_out_key(request));
  }
  void mark_scale_in_settled(const std::string& machine) {
    mark_settled(Role::scale_in, scale_in_key(machine));
  }
  // Removes the records of settled requests until the term ends.
  Task<void> remove_settled(uint64_t term);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct SettledIntent {
    Role role;
    std::string key;
  };
  enum class WriteResult : uint8_t { applied, not_applied, unknown };

  void add_loaded(OpenIntents& open, const kv::KeyValue& item);
  Task<bool> record(uint64_t term, Role role, std::vector<Entry> entries);
  Task<WriteResult> write(uint64_t term, Role role, std::vector<Entry> entries);
  Task<bool> read_back(uint64_t term, std::vector<Entry> entries);
  Task<bool> remove_batch(uint64_t term);
  Task<void> reread_settled(uint64_t term, std::vector<SettledIntent> batch);
  void mark_settled(Role role, std::string key);

  cluster::LeaderContext& context_;
  kv::Client& store_;
  RoleHolder& holder_;
  std::map<std::string, uint64_t> mod_revisions_;  // of the open intents, by key
  std::deque<SettledIntent> settled_;              // intents whose records are still to be removed
  AutoResetEvent has_settled_;
};

}  // namespace dunlinknot::roles
