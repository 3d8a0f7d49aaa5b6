// The log of what is decided under the singleton roles. Each request to the cloud is durable here
// before it is sent, in a transaction that compares the role's key, and stays until there is
// evidence of its outcome.
//
// A successor reads the open intents and repeats the same requests under the same names before it
// decides anything of its own. So whatever a former holder still sends, however late, is a
// duplicate of what is decided anyway (docs/singleton_roles.md).
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/roles/role_holder.hpp"

namespace dunlinknot::roles {

// An intent that cannot be used. Its key still says which request or machine it is about.
struct UnreadableIntent {
  std::string key;
  RecordError error = RecordError::damaged;
};

// What a new holder finds in the log, each kind in key order.
struct OpenIntents {
  std::vector<ScaleOutIntent> scale_out;
  std::vector<ScaleInIntent> scale_in;
  std::vector<UnreadableIntent> unreadable;
};

// Records and removes intents for the holder of the roles. All calls on the controller's event
// loop; a call of an earlier term ends without an effect.
class IntentLog {
 public:
  // All three must outlive the log.
  IntentLog(cluster::LeaderContext& context, kv::Client& store, RoleHolder& holder);

  // Forgets what was known in an earlier term.
  void begin_term();
  // Reads all open intents, with retries; nothing when the term ended meanwhile.
  Task<std::optional<OpenIntents>> load(uint64_t term);

  // Whether these intents are durable now. If not, no request may be sent for them; they may be
  // recorded again. At most `max_batch` at a time.
  Task<bool> record_scale_out(uint64_t term, std::vector<ScaleOutIntent> intents);
  Task<bool> record_scale_in(uint64_t term, std::vector<ScaleInIntent> intents);
  size_t max_batch() const;

  // There is evidence that the request is settled: its record is removed by `remove_settled`.
  void mark_scale_out_settled(const std::string& request) {
    end(Role::scale_out, scale_out_key(request));
  }
  void mark_scale_in_settled(const std::string& machine) {
    end(Role::scale_in, scale_in_key(machine));
  }
  // Removes the records of settled requests, as long as the term lasts.
  Task<void> remove_settled(uint64_t term);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Ended {
    Role role;
    std::string key;
  };
  enum class Written : uint8_t { yes, no, unknown };

  void add_loaded(OpenIntents& open, const kv::KeyValue& item);
  Task<bool> record(uint64_t term, Role role, std::vector<Entry> entries);
  Task<Written> write(uint64_t term, Role role, std::vector<Entry> entries);
  Task<bool> read_back(uint64_t term, std::vector<Entry> entries);
  Task<bool> remove_batch(uint64_t term);
  Task<void> reread_ended(uint64_t term, std::vector<Ended> batch);
  void end(Role role, std::string key);

  cluster::LeaderContext& context_;
  kv::Client& store_;
  RoleHolder& holder_;
  std::map<std::string, uint64_t> mod_revisions_;  // of the open intents, by key
  std::deque<Ended> ended_;                        // to be removed
  AutoResetEvent has_ended_;
};

}  // namespace dunlinknot::roles
