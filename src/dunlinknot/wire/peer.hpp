// Frames exchanged between controllers. The layout is fixed and little-endian; every frame carries
// a protocol version, and its length is checked before the body is read.
//
//   frame  = magic u32 | version u16 | kind u16 | length u32 | body[length]
//   status = sequence u64 | echo u64 | epoch u64 | cancel_revision u64
//            | store_response_age_ms u32 | uptime_ms u32 | heartbeat_age_ms u32 | flags u32
//            | node char[32] | leader char[32]
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
// Limits of a frame's body and of the entries of one progress frame; frames beyond them are
// refused.
inline constexpr size_t kMaxBody = size_t{32} * 1024;
inline constexpr size_t kMaxEntries = 512;
inline constexpr size_t kNameBytes = 32;  // longer node names are cut off

enum class Kind : uint16_t { status = 1, progress = 2, cancelled = 3 };

// Precedes the body of each frame.
struct Header {
  Kind kind = Kind::status;
  uint32_t length = 0;
};

// Status of a controller, sent to every peer each half second.
struct Status {
  uint64_t sequence = 0;  // number of this status, counted by its sender
  uint64_t echo = 0;      // the last sequence number that it received from the addressee
  uint64_t epoch = 0;     // the highest epoch that it knows
  // The latest revision of a cancellation that its process has read or written.
  uint64_t cancel_revision = 0;
  Millis store_response_age{0};  // time since the last response of the key-value store
  Millis uptime{0};              // time since the start of its process
  Millis heartbeat_age{0};       // time since the last heartbeat of any worker
  bool leading = false;
  bool store_has_responded = false;  // the key-value store has responded to this process
  bool heartbeat_received = false;   // a worker has sent a heartbeat to this process
  std::string node;
  std::string leader;  // the leader of `epoch`; empty if unknown
};

// Task counts of one open job, shown to users.
struct ProgressEntry {
  std::string id;
  uint32_t done = 0;
  uint32_t running = 0;
};
// Task counts of open jobs, as known to the leader of `epoch`.
struct Progress {
  uint64_t epoch = 0;
  std::vector<ProgressEntry> entries;
};

// Empty unless the bytes start with a header of this protocol version.
std::optional<Header> read_header(std::string_view bytes);
// These read the body of a frame; empty if it is malformed.
std::optional<Status> read_status(std::string_view body);
std::optional<Progress> read_progress(std::string_view body);
std::optional<std::string> read_cancelled(std::string_view body);
// These return a whole frame. A progress frame holds the first kMaxEntries entries.
std::string write_status(const Status& status);
std::string write_cancelled(const std::string& job);
std::string write_progress(const Progress& progress);

}  // namespace dunlinknot::wire::peer
