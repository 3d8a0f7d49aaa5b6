// The singleton roles of which each is done by one controller at a time.
#pragma once
#include <array>
#include <cstdint>
#include <string_view>

namespace dunlinknot::roles {

enum class Role : uint8_t {
  scale_out,  // launching machines
  scale_in,   // returning and reclaiming machines
  cleanup,    // removing what is no longer needed from the key-value store
};

inline constexpr std::array kAllRoles{Role::scale_out, Role::scale_in, Role::cleanup};

// The role's name in keys, logs and on the command line.
constexpr std::string_view name(Role role) {
  constexpr std::array<std::string_view, kAllRoles.size()> kNames{"rent", "return", "cleanup"};
  return kNames[static_cast<size_t>(role)];
}

}  // namespace dunlinknot::roles
