// Encodes and decodes the frames of peer.hpp. Every length is checked before a read.
#include "dunlinknot/wire/peer.hpp"

#include <algorithm>
#include <concepts>
#include <cstring>

namespace dunlinknot::wire::peer {

namespace {

constexpr size_t kStatusBytes = 4 * 8 + 4 * 4 + 2 * kNameBytes;
constexpr size_t kIdBytes = 24;  // of a job id
constexpr size_t kEntryBytes = kIdBytes + 8;

template <std::unsigned_integral T>
void put(std::string& out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

// Writes a text of fixed length: filled up with zero bytes, or cut off.
void put_name(std::string& out, std::string_view name, size_t width) {
  const size_t length = std::min(name.size(), width);
  out.append(name.substr(0, length)).append(width - length, '\0');
}

void put_ms(std::string& out, Millis ms) {
  put<uint32_t>(out, static_cast<uint32_t>(std::clamp<int64_t>(ms.count(), 0, UINT32_MAX)));
}

// Reads consecutive fields. The caller must have checked that enough bytes are left.
struct Cursor {
  std::string_view bytes;
  template <std::unsigned_integral T>
  T get() {
    T value = 0;
    for (size_t i = 0; i < sizeof(T); ++i) {
      value = static_cast<T>(
          value | static_cast<T>(static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i)));
    }
    bytes.remove_prefix(sizeof(T));
    return value;
  }
  std::string name(size_t width) {
    const std::string_view field = bytes.substr(0, width);
    bytes.remove_prefix(width);
    return std::string(field.substr(0, field.find('\0')));
  }
  Millis ms() { return Millis(get<uint32_t>()); }
};

std::string frame(Kind kind, std::string_view body) {
  std::string out;
  out.reserve(kHeaderBytes + body.size());
  put<uint32_t>(out, kMagic);
  put<uint16_t>(out, kVersion);
  put<uint16_t>(out, static_cast<uint16_t>(kind));
  put<uint32_t>(out, static_cast<uint32_t>(body.size()));
  out.append(body);
  return out;
}

// Bits of the flags in a status frame.
constexpr uint32_t kLeading = 1, kStoreHasResponded = 2, kHeartbeatReceived = 4;

}  // namespace

std::optional<Header> read_header(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  Cursor cursor{bytes};
  if (cursor.get<uint32_t>() != kMagic || cursor.get<uint16_t>() != kVersion) return std::nullopt;
  const uint16_t kind = cursor.get<uint16_t>();
  const uint32_t length = cursor.get<uint32_t>();
  if (kind < 1 || kind > 3 || length > kMaxBody) return std::nullopt;
  return Header{static_cast<Kind>(kind), length};
}

std::optional<Status> read_status(std::string_view body) {
  if (body.size() != kStatusBytes) return std::nullopt;
  Cursor cursor{body};
  Status status;
  status.sequence = cursor.get<uint64_t>();
  status.echo = cursor.get<uint64_t>();
  status.epoch = cursor.get<uint64_t>();
  status.cancel_revision = cursor.get<uint64_t>();
  status.store_response_age = cursor.ms();
  status.uptime = cursor.ms();
  status.heartbeat_age = cursor.ms();
  const uint32_t flags = cursor.get<uint32_t>();
  status.leading = (flags & kLeading) != 0;
  status.store_has_responded = (flags & kStoreHasResponded) != 0;
  status.heartbeat_received = (flags & kHeartbeatReceived) != 0;
  status.node = cursor.name(kNameBytes);
  status.leader = cursor.name(kNameBytes);
  return status;
}

std::string write_status(const Status& status) {
  std::string body;
  put<uint64_t>(body, status.sequence);
  put<uint64_t>(body, status.echo);
  put<uint64_t>(body, status.epoch);
  put<uint64_t>(body, status.cancel_revision);
  put_ms(body, status.store_response_age);
  put_ms(body, status.uptime);
  put_ms(body, status.heartbeat_age);
  put<uint32_t>(body, (status.leading ? kLeading : 0) |
                          (status.store_has_responded ? kStoreHasResponded : 0) |
                          (status.heartbeat_received ? kHeartbeatReceived : 0));
  put_name(body, status.node, kNameBytes);
  put_name(body, status.leader, kNameBytes);
  return frame(Kind::status, body);
}

std::optional<Progress> read_progress(std::string_view body) {
  if (body.size() < 16) return std::nullopt;
  Cursor cursor{body};
  Progress progress;
  progress.epoch = cursor.get<uint64_t>();
  const uint32_t count = cursor.get<uint32_t>();
  (void)cursor.get<uint32_t>();  // reserved
  if (count > kMaxEntries || cursor.bytes.size() != count * kEntryBytes) return std::nullopt;
  for (uint32_t i = 0; i < count; ++i) {
    ProgressEntry entry;
    entry.id = cursor.name(kIdBytes);
    entry.done = cursor.get<uint32_t>();
    entry.running = cursor.get<uint32_t>();
    progress.entries.push_back(std::move(entry));
  }
  return progress;
}

std::optional<std::string> read_cancelled(std::string_view body) {
  if (body.size() != kIdBytes) return std::nullopt;
  return Cursor{body}.name(kIdBytes);
}

std::string write_cancelled(const std::string& job) {
  std::string body;
  put_name(body, job, kIdBytes);
  return frame(Kind::cancelled, body);
}

std::string write_progress(const Progress& progress) {
  std::string body;
  const size_t count = std::min(progress.entries.size(), kMaxEntries);
  put<uint64_t>(body, progress.epoch);
  put<uint32_t>(body, static_cast<uint32_t>(count));
  put<uint32_t>(body, 0);
  for (size_t i = 0; i < count; ++i) {
    put_name(body, progress.entries[i].id, kIdBytes);
    put<uint32_t>(body, progress.entries[i].done);
    put<uint32_t>(body, progress.entries[i].running);
  }
  return frame(Kind::progress, body);
}

}  // namespace dunlinknot::wire::peer
