// Layout of the frames between controllers; every length is checked before a read.
#include "dunlinknot/wire/peer.hpp"

#include <algorithm>
#include <concepts>
#include <cstring>

namespace dunlinknot::wire::peer {

namespace {

constexpr size_t kStatusBytes = 4 * 8 + 4 * 4 + 2 * kNameBytes;
constexpr size_t kIdBytes = 24;
constexpr size_t kEntryBytes = kIdBytes + 8;

template <std::unsigned_integral T>
void put(std::string& out, T v) {
  for (size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>(v >> (8 * i) & 0xff));
}

void put_name(std::string& out, std::string_view name, size_t room) {
  const size_t n = std::min(name.size(), room);
  out.append(name.substr(0, n)).append(room - n, '\0');
}

void put_ms(std::string& out, Millis ms) {
  put<uint32_t>(out, static_cast<uint32_t>(std::clamp<int64_t>(ms.count(), 0, UINT32_MAX)));
}

// Reads on from a position; the caller has checked the length before.
struct Cursor {
  std::string_view bytes;
  template <std::unsigned_integral T>
  T get() {
    T v = 0;
    for (size_t i = 0; i < sizeof(T); ++i) {
      v = static_cast<T>(
          v | static_cast<T>(static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i)));
    }
    bytes.remove_prefix(sizeof(T));
    return v;
  }
  std::string name(size_t room) {
    const std::string_view field = bytes.substr(0, room);
    bytes.remove_prefix(room);
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

constexpr uint32_t kLeading = 1, kStoreKnown = 2, kHeartbeatsKnown = 4;

}  // namespace

std::optional<Header> read_header(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  Cursor c{bytes};
  if (c.get<uint32_t>() != kMagic || c.get<uint16_t>() != kVersion) return std::nullopt;
  const uint16_t kind = c.get<uint16_t>();
  const uint32_t length = c.get<uint32_t>();
  if (kind < 1 || kind > 3 || length > kMaxBody) return std::nullopt;
  return Header{static_cast<Kind>(kind), length};
}

std::optional<Status> read_status(std::string_view body) {
  if (body.size() != kStatusBytes) return std::nullopt;
  Cursor c{body};
  Status status;
  status.sequence = c.get<uint64_t>();
  status.echo = c.get<uint64_t>();
  status.epoch = c.get<uint64_t>();
  status.cancel_revision = c.get<uint64_t>();
  status.store_silent = c.ms();
  status.up = c.ms();
  status.heartbeats_silent = c.ms();
  const uint32_t flags = c.get<uint32_t>();
  status.leading = (flags & kLeading) != 0;
  status.store_known = (flags & kStoreKnown) != 0;
  status.heartbeats_known = (flags & kHeartbeatsKnown) != 0;
  status.node = c.name(kNameBytes);
  status.leader = c.name(kNameBytes);
  return status;
}

std::string write_status(const Status& s) {
  std::string b;
  put<uint64_t>(b, s.sequence);
  put<uint64_t>(b, s.echo);
  put<uint64_t>(b, s.epoch);
  put<uint64_t>(b, s.cancel_revision);
  put_ms(b, s.store_silent);
  put_ms(b, s.up);
  put_ms(b, s.heartbeats_silent);
  put<uint32_t>(b, (s.leading ? kLeading : 0) | (s.store_known ? kStoreKnown : 0) |
                       (s.heartbeats_known ? kHeartbeatsKnown : 0));
  put_name(b, s.node, kNameBytes);
  put_name(b, s.leader, kNameBytes);
  return frame(Kind::status, b);
}

std::optional<Progress> read_progress(std::string_view body) {
  if (body.size() < 16) return std::nullopt;
  Cursor c{body};
  Progress progress;
  progress.epoch = c.get<uint64_t>();
  const uint32_t n = c.get<uint32_t>();
  (void)c.get<uint32_t>();
  if (n > kMaxEntries || c.bytes.size() != n * kEntryBytes) return std::nullopt;
  for (uint32_t i = 0; i < n; ++i) {
    ProgressEntry e;
    e.id = c.name(kIdBytes);
    e.done = c.get<uint32_t>();
    e.running = c.get<uint32_t>();
    progress.entries.push_back(std::move(e));
  }
  return progress;
}

std::optional<std::string> read_cancelled(std::string_view body) {
  if (body.size() != kIdBytes) return std::nullopt;
  return Cursor{body}.name(kIdBytes);
}

std::string write_cancelled(const std::string& job) {
  std::string b;
  put_name(b, job, kIdBytes);
  return frame(Kind::cancelled, b);
}

std::string write_progress(const Progress& p) {
  std::string b;
  const size_t n = std::min(p.entries.size(), kMaxEntries);
  put<uint64_t>(b, p.epoch);
  put<uint32_t>(b, static_cast<uint32_t>(n));
  put<uint32_t>(b, 0);
  for (size_t i = 0; i < n; ++i) {
    put_name(b, p.entries[i].id, kIdBytes);
    put<uint32_t>(b, p.entries[i].done);
    put<uint32_t>(b, p.entries[i].running);
  }
  return frame(Kind::progress, b);
}

}  // namespace dunlinknot::wire::peer
