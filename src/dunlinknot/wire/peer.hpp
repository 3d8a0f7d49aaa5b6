// What controllers tell one another, as packed structs written by hand: fixed little-endian layout,
// a version in every frame and a length that is checked before anything is read.
//
//   frame  = magic u32 | version u16 | kind u16 | length u32 | body[length]
//   status = seq u64 | echo u64 | epoch u64 | cancel_revision u64 | state_silent_ms u32 | up_ms u32
//   |
//            reports_silent_ms u32 | flags u32 | node char[32] | leader char[32]
//   progress = epoch u64 | count u32 | reserved u32 | count * entry
//   entry  = id char[24] | done u32 | running u32
//   cancelled = id char[24]
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot::wire::peer {

inline constexpr uint32_t kMagic = 0x4b4e4c44;  // "DLNK"
inline constexpr uint16_t kVersion = 2;
inline constexpr size_t kHeaderBytes = 12;
inline constexpr size_t kMaxBody = size_t{32} * 1024;
inline constexpr size_t kMaxEntries = 512;
inline constexpr size_t kNameBytes = 32;

enum class Kind : uint16_t { status = 1, progress = 2, cancelled = 3 };

// What stands before each frame.
struct Header {
  Kind kind = Kind::status;
  uint32_t length = 0;
};

// What a controller says of itself, every half second.
struct Status {
  uint64_t sequence = 0;  // of the sender
  uint64_t echo = 0;      // the last seq it has seen from the receiver
  uint64_t epoch = 0;     // the highest leadership it knows of
  // The latest revision of a cancellation that it has read or written since its process began.
  uint64_t cancel_revision = 0;
  Millis store_silent{0};       // since the key-value store last served it
  Millis up{0};                 // since its process began
  Millis heartbeats_silent{0};  // since a worker last reached it
  bool leading = false;
  bool store_known = false;  // the key-value store has served it since it began
  bool heartbeats_known = false;
  std::string node;
  std::string leader;  // the node leading `epoch`, if known
};

// Counts of one open job, for display.
struct ProgressEntry {
  std::string id;
  uint32_t done = 0;
  uint32_t running = 0;
};
// Counts of open jobs, as the leader of `epoch` knows them.
struct Progress {
  uint64_t epoch = 0;
  std::vector<ProgressEntry> entries;
};

// Empty when the bytes are not a header this version understands.
std::optional<Header> read_header(std::string_view bytes);
std::optional<Status> read_status(std::string_view body);
std::optional<Progress> read_progress(std::string_view body);
std::optional<std::string> read_cancelled(std::string_view body);
std::string write_status(const Status& status);        // a whole frame
std::string write_cancelled(const std::string& job);   // a whole frame
std::string write_progress(const Progress& progress);  // a whole frame

}  // namespace dunlinknot::wire::peer
