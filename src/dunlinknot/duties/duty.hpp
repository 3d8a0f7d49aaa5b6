// The duties of which each is done by one controller at a time.
#pragma once
#include <array>
#include <cstdint>
#include <string_view>

namespace dunlinknot::duties {

enum class Duty : uint8_t {
  scale_out,  // launching machines
  scale_in,   // returning and reclaiming machines
  cleanup,    // removing what is no longer needed from the state service
};

inline constexpr std::array kAllDuties{Duty::scale_out, Duty::scale_in, Duty::cleanup};

// The duty's name in keys, logs and on the command line.
constexpr std::string_view name(Duty duty) {
  constexpr std::array<std::string_view, kAllDuties.size()> kNames{"rent", "return", "cleanup"};
  return kNames[static_cast<size_t>(duty)];
}

}  // namespace dunlinknot::duties
