// The singleton roles: kinds of work that only one controller at a time does for the whole cluster.
#pragma once
#include <array>
#include <cstdint>
#include <string_view>

namespace dunlinknot::roles {

// A kind of work with a single holder.
enum class Role : uint8_t {
  scale_out,  // launching machines
  scale_in,   // terminating machines
  cleanup,    // removing obsolete records from the key-value store
};

inline constexpr std::array kAllRoles{Role::scale_out, Role::scale_in, Role::cleanup};

// The role's name in keys, in logs and in the output of `dunlinknot duties`. Stored records and
// operators' scripts depend on these names, so they must not change although the enumerators
// differ.
constexpr std::string_view name(Role role) {
  constexpr std::array<std::string_view, kAllRoles.size()> kNames{"rent", "return", "cleanup"};
  return kNames[static_cast<size_t>(role)];
}

}  // namespace dunlinknot::roles
