// The records of the singleton roles in the key-value store. Each is a MessagePack map:
//
//   key                 fields                                           bound to a lease
//   duty/NAME           v, token, node                                   yes
//   duty/token          v, token: the highest fencing token issued       no
//   intent/rent/NAME    v, token, request, type, zone, spot, count, job  no
//   intent/return/VM    v, token, machine, reason                        no
//
// NAME is a role (rent, return, cleanup) or the name of a launch request, VM the id of a machine.
// `v` is the version of the format and `token` the fencing token under which the record was
// written. Unknown fields are ignored. A record of a later version, or one that cannot be read, is
// neither interpreted nor overwritten.
#pragma once
#include <optional>
#include <string>
#include <variant>

#include "dunlinknot/roles/role.hpp"
#include "dunlinknot/wire/pack.hpp"

namespace dunlinknot::roles {

inline constexpr uint64_t kRecordVersion = 1;
inline constexpr std::string_view kRolePrefix = "duty/";
inline constexpr std::string_view kFencingTokenKey = "duty/token";
inline constexpr std::string_view kIntentPrefix = "intent/";

// duty/NAME: the controller that holds the role.
struct RoleHolderRecord {
  std::string node;
  uint64_t fencing_token = 0;
};

// intent/rent/NAME: a launch request that was decided and whose outcome is not yet known.
struct ScaleOutIntent {
  std::string request;  // the request's name, which makes it idempotent in the cloud
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;  // number of machines, at most what the cloud launches for one request
  std::string job;     // the first job that the launch is for; shown to operators only
  uint64_t fencing_token = 0;
};

// intent/return/VM: a decision to terminate a machine.
struct ScaleInIntent {
  std::string machine;
  std::string reason;  // shown to operators only
  uint64_t fencing_token = 0;
};

// The reason why a record cannot be used.
enum class RecordError : uint8_t {
  damaged,  // not a record of this kind, or a field is missing or out of range
  newer,    // written by a later version of this program
};
// Description for log lines and the overview.
std::string_view describe(RecordError error);

// A record, or the reason why it cannot be used.
template <class Record>
using Read = std::variant<Record, RecordError>;

// An intent of either kind, or the reason why it cannot be used.
using ReadIntent = std::variant<ScaleOutIntent, ScaleInIntent, RecordError>;

std::string role_key(Role role);
std::string scale_out_key(std::string_view request);
std::string scale_in_key(std::string_view machine);
// The request or machine named in a key of that kind; empty for any other key. The result is a view
// into `key`.
std::string_view request_of_scale_out_key(std::string_view key);
std::string_view machine_of_scale_in_key(std::string_view key);

// Encode and decode the records. An intent is decoded together with its key: a record that names
// another request or machine than its key does is `damaged`.
std::string write_holder(const RoleHolderRecord& record);
Read<RoleHolderRecord> read_holder(wire::View value);
std::string write_fencing_token(uint64_t fencing_token);
Read<uint64_t> read_fencing_token(wire::View value);
std::string write_scale_out_intent(const ScaleOutIntent& intent);
Read<ScaleOutIntent> read_scale_out_intent(std::string_view key, wire::View value);
std::string write_scale_in_intent(const ScaleInIntent& intent);
Read<ScaleInIntent> read_scale_in_intent(std::string_view key, wire::View value);
// Decodes the intent stored under `key`; the key determines its kind. With a key of neither kind
// the result is `damaged`.
ReadIntent read_intent(std::string_view key, wire::View value);

}  // namespace dunlinknot::roles
