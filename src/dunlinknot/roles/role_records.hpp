// What the singleton roles keep in the key-value store:
//
//   duty/NAME         lease-bound: who holds the role, and under which fencing token
//   duty/fencing token        the highest fencing token given to any holding so far
//   intent/rent/NAME  a launch that is decided and not settled
//   intent/return/VM  a machine that is decided to be returned
//
// Each record bears the version of its form. A record of a later version, or one that cannot be
// read, is never guessed at or overwritten.
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

struct RoleHolderRecord {
  std::string node;
  uint64_t fencing_token = 0;
};

struct ScaleOutIntent {
  std::string request;  // the name under which the cloud is asked
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
  std::string job;  // that it is for, first of all
  uint64_t fencing_token = 0;
};

struct ScaleInIntent {
  std::string machine;
  std::string reason;
  uint64_t fencing_token = 0;
};

enum class RecordError : uint8_t { damaged, newer };
std::string_view text(RecordError error);

template <class Record>
using Read = std::variant<Record, RecordError>;

std::string role_key(Role role);
std::string scale_out_key(std::string_view request);
std::string scale_in_key(std::string_view machine);
// The request's or machine's name in a key of that kind; empty for any other key.
std::string_view scale_out_name(std::string_view key);
std::string_view scale_in_name(std::string_view key);

std::string write_holder(const RoleHolderRecord& record);
Read<RoleHolderRecord> read_holder(wire::View value);
std::string write_fencing_token(uint64_t fencing_token);
Read<uint64_t> read_fencing_token(wire::View value);
std::string write_scale_out_intent(const ScaleOutIntent& intent);
Read<ScaleOutIntent> read_scale_out_intent(std::string_view key, wire::View value);
std::string write_scale_in_intent(const ScaleInIntent& intent);
Read<ScaleInIntent> read_scale_in_intent(std::string_view key, wire::View value);

}  // namespace dunlinknot::roles
