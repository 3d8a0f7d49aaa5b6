#include "dunlinknot/leadership/peers.hpp"

#include <spdlog/spdlog.h>

#include <array>

namespace dunlinknot::leadership {

namespace {
constexpr auto kPace = Millis(500);
constexpr auto kAnswerTime = Millis(1500);
constexpr auto kFresh = Millis(2500);
constexpr auto kRedial = Millis(1000);
constexpr auto kIdle = std::chrono::seconds(10);
constexpr size_t kMaxServed = 32;
constexpr size_t kMaxCancelled = 64;  // hints that wait for their connection
constexpr double kSlowest = 0.999;    // of our clock: two clocks, each off by up to 0.05%
}  // namespace

using wire::peer::Kind;
using wire::peer::Status;

Peers::Peers(EventLoop& loop, const settings::Platform& platform, Hooks hooks)
    : loop_(loop), platform_(platform), hooks_(std::move(hooks)) {
  for (const auto& p : platform.peers) {
    Link& link = links_[p.node];
    link.peer = p;
    link.wake = std::make_unique<AutoResetEvent>(loop);
  }
}

void Peers::start() {
  listener_.emplace(loop_, platform_.back);
  loop_.spawn(listen());
  for (auto& [name, link] : links_) loop_.spawn(dial(link));
}

// Safety 2: whatever a peer's process told before its answer, it had read or written before, and
// says so in `cancel_revision`. What a process before it told stood before `since`.
std::optional<Instant> Peers::no_unknown_cancellation_until(Instant since,
                                                            uint64_t revision) const {
  Instant until = Instant::max();
  if (links_.empty()) return std::nullopt;
  for (const auto& [name, link] : links_) {
    if (!link.last || link.confirmed_to < since) return std::nullopt;
    const Nanos up = to_nanos(Seconds(link.last->up) * kSlowest);
    if (link.received_at - up > since || link.last->cancel_revision > revision) return std::nullopt;
    until = std::min(until, link.confirmed_to);
  }
  return until;
}

void Peers::apply_status(const Status& status, Instant sent) {
  const auto it = links_.find(status.node);
  if (it == links_.end()) return;
  it->second.last = status;
  it->second.received_at = loop_.now();
  it->second.confirmed_to = sent;
  hooks_.status_received(status);
}

void Peers::announce_cancellation(const std::string& job) {
  const std::string leader = hooks_.status().leader;
  for (auto& [name, link] : links_) {
    if (!leader.empty() && name != leader) continue;
    if (link.cancelled.size() >= kMaxCancelled) link.cancelled.pop_front();
    link.cancelled.push_back(job);
    link.wake->notify();
  }
}

bool Peers::any_peer_reaches_store() const {
  const Instant now = loop_.now();
  for (const auto& [name, link] : links_) {
    if (link.last && now - link.received_at < kFresh && link.last->store_known &&
        link.last->store_silent < Millis(1500)) {
      return true;
    }
  }
  return false;
}

bool Peers::any_peer_receives_heartbeats() const {
  const Instant now = loop_.now();
  for (const auto& [name, link] : links_) {
    if (link.last && now - link.received_at < kFresh && link.last->heartbeats_known &&
        link.last->heartbeats_silent < Millis(2000)) {
      return true;
    }
  }
  return false;
}

Task<std::optional<std::pair<Kind, std::string>>> Peers::read_frame(http::Socket& socket,
                                                                    Instant deadline) {
  std::string bytes;
  std::array<char, 512> chunk;
  std::optional<wire::peer::Header> header;
  size_t want = wire::peer::kHeaderBytes;
  while (bytes.size() < want) {
    const ssize_t n = co_await socket.read_some(
        chunk.data(), std::min(chunk.size(), want - bytes.size()), deadline);
    if (n <= 0) co_return std::nullopt;
    bytes.append(chunk.data(), static_cast<size_t>(n));
    if (!header && bytes.size() == wire::peer::kHeaderBytes) {
      header = wire::peer::read_header(bytes);
      if (!header) {
        spdlog::info("a peer sent a frame of another version or none of ours; connection closed");
        co_return std::nullopt;
      }
      want += header->length;
    }
  }
  co_return std::pair{header->kind, bytes.substr(wire::peer::kHeaderBytes)};
}

Task<void> Peers::listen() {
  for (;;) {
    http::Socket socket = co_await listener_->accept();
    if (served_ < kMaxServed) loop_.spawn(serve(std::move(socket)));
  }
}

// Answers a peer's statuses with our own.
Task<void> Peers::serve(http::Socket socket) {
  ++served_;
  struct Done {
    size_t& n;
    ~Done() { --n; }
  } done{served_};
  for (;;) {
    const Instant deadline = loop_.now() + kIdle;
    const auto frame = co_await read_frame(socket, deadline);
    if (!frame) co_return;
    if (frame->first == Kind::progress) {
      if (const auto p = wire::peer::read_progress(frame->second)) hooks_.progress_received(*p);
      continue;
    }
    if (frame->first == Kind::cancelled) {
      if (const auto job = wire::peer::read_cancelled(frame->second))
        hooks_.cancellation_received(*job);
      continue;
    }
    const auto s = wire::peer::read_status(frame->second);
    if (!s) co_return;
    hooks_.status_received(*s);
    Status mine = hooks_.status();
    mine.echo = s->sequence;
    const std::string bytes = wire::peer::write_status(mine);
    const Instant write_by = loop_.now() + kAnswerTime;
    if (!co_await socket.write_all(bytes, write_by)) co_return;
  }
}

// Keeps one connection to a peer, with a status every half second.
Task<void> Peers::dial(Link& link) {
  for (;;) {
    const Instant connect_by = loop_.now() + kAnswerTime;
    http::Socket socket = co_await http::Socket::connect(loop_, link.peer.address, connect_by);
    while (socket.open()) {
      const Instant sent = loop_.now();
      Status mine = hooks_.status();
      mine.sequence = ++link.sequence;
      std::string bytes = wire::peer::write_status(mine);
      const wire::peer::Progress progress = hooks_.progress();
      if (!progress.entries.empty()) bytes += wire::peer::write_progress(progress);
      for (const auto& job : link.cancelled) bytes += wire::peer::write_cancelled(job);
      link.cancelled.clear();
      const Instant answer_by = sent + kAnswerTime;
      if (!co_await socket.write_all(bytes, answer_by)) break;
      const auto frame = co_await read_frame(socket, answer_by);
      if (!frame || frame->first != Kind::status) break;
      const auto s = wire::peer::read_status(frame->second);
      if (!s || s->node != link.peer.node || s->echo != link.sequence) break;
      apply_status(*s, sent);
      // A cancellation goes out at once, with a status of its own.
      if (link.cancelled.empty()) (void)co_await link.wake->wait_until(sent + kPace);
    }
    socket.close();
    co_await loop_.sleep(kRedial);
  }
}

}  // namespace dunlinknot::leadership
