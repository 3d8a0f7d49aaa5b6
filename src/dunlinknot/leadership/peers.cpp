// Connections between the controllers. The frames are encoded and decoded in wire/peer.
#include "dunlinknot/leadership/peers.hpp"

#include <spdlog/spdlog.h>

#include <array>

namespace dunlinknot::leadership {

namespace {

using wire::peer::Kind;
using wire::peer::Status;

constexpr auto kStatusInterval = Millis(500);   // between two statuses to the same peer
constexpr auto kAnswerTimeout = Millis(1500);   // for connecting, and for the answer to a status
constexpr auto kReconnectDelay = Millis(1000);  // after a connection that failed or was closed
// An incoming connection that receives no frame for this long is closed.
constexpr auto kIdleTimeout = std::chrono::seconds(10);
// Further incoming connections are closed at once. Includes stale connections of restarted peers.
constexpr size_t kMaxIncomingConnections = 32;
// Cancellations queued for one peer; beyond this the oldest is dropped.
constexpr size_t kMaxPendingCancellations = 64;
constexpr size_t kReadBytes = 512;
// Minimum rate of a peer's clock relative to this node's: two clocks, each off by up to 0.05%.
constexpr double kMinClockRate = 0.999;

constexpr auto kMaxStatusAge = Millis(2500);  // older statuses are disregarded
// Maximum time since the store answered the peer for the peer to count as connected to it.
constexpr auto kMaxStoreResponseAge = Millis(1500);
// Maximum time since the peer received a heartbeat for it to count as reachable by workers.
constexpr auto kMaxHeartbeatAge = Millis(2000);

struct Frame {
  Kind kind = Kind::status;
  std::string body;
};

// Reads one frame. Returns nothing when the connection was closed, the deadline passed or the bytes
// are not a frame of this version. `socket` belongs to the awaiting coroutine.
Task<std::optional<Frame>> read_frame(http::Socket& socket, Instant deadline) {
  std::string bytes;
  std::array<char, kReadBytes> chunk;
  std::optional<wire::peer::Header> header;
  size_t expected_bytes = wire::peer::kHeaderBytes;
  while (bytes.size() < expected_bytes) {
    const ssize_t received = co_await socket.read_some(
        chunk.data(), std::min(chunk.size(), expected_bytes - bytes.size()), deadline);
    if (received <= 0) co_return std::nullopt;
    bytes.append(chunk.data(), static_cast<size_t>(received));
    if (!header && bytes.size() == wire::peer::kHeaderBytes) {
      header = wire::peer::read_header(bytes);
      if (!header) {
        spdlog::info(
            "leadership: a peer sent a frame of an unsupported version or unknown kind; closing "
            "the connection");
        co_return std::nullopt;
      }
      expected_bytes += header->length;
    }
  }
  co_return Frame{header->kind, bytes.substr(wire::peer::kHeaderBytes)};
}

// Handles a frame of a kind that is not answered: progress or a cancellation. Returns false for any
// other kind.
bool apply_unanswered(const Frame& frame, PeerHandler& handler) {
  if (frame.kind == Kind::progress) {
    if (const auto progress = wire::peer::read_progress(frame.body)) {
      handler.on_peer_progress(*progress);
    }
    return true;
  }
  if (frame.kind == Kind::cancelled) {
    if (const auto job = wire::peer::read_cancelled(frame.body)) handler.on_peer_cancellation(*job);
    return true;
  }
  return false;
}

// Increments a counter for the lifetime of this object.
class ScopedCount {
 public:
  explicit ScopedCount(size_t& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  size_t& count_;
};

}  // namespace

Peers::Peers(EventLoop& loop, const settings::Platform& platform, PeerHandler& handler)
    : loop_(loop), platform_(platform), handler_(handler) {
  for (const settings::Peer& peer : platform.peers) {
    Link& link = links_[peer.node];
    link.peer = peer;
    link.cancellation_pending = std::make_unique<AutoResetEvent>(loop);
  }
}

void Peers::start() {
  listener_.emplace(loop_, platform_.peer_listen);
  loop_.spawn(listen());
  for (auto& [name, link] : links_) loop_.spawn(dial(link));
}

// Safety 2 (a cancelled job's tasks end within `cancel_s`) depends on this: a peer process has read
// or written every cancellation that it acknowledged before its answer, so `cancel_revision` covers
// them. Cancellations acknowledged by a previous process of the peer existed before `since`.
std::optional<Instant> Peers::no_unknown_cancellation_until(Instant since,
                                                            uint64_t revision) const {
  Instant confirmed_until = Instant::max();
  if (links_.empty()) return std::nullopt;
  for (const auto& [name, link] : links_) {
    if (!link.last_answer || link.last_answer->status_sent_at < since) return std::nullopt;
    const Answer& answer = *link.last_answer;
    const Nanos min_uptime = to_nanos(Seconds(answer.status.uptime) * kMinClockRate);
    if (answer.received_at - min_uptime > since || answer.status.cancel_revision > revision)
      return std::nullopt;
    confirmed_until = std::min(confirmed_until, answer.status_sent_at);
  }
  return confirmed_until;
}

void Peers::apply_status(const Status& status, Instant sent) {
  const auto it = links_.find(status.node);
  if (it == links_.end()) return;
  it->second.last_answer = Answer{status, loop_.now(), sent};
  handler_.on_peer_status(status);
}

void Peers::announce_cancellation(const std::string& job) {
  const std::string leader = handler_.status().leader;
  for (auto& [name, link] : links_) {
    if (!leader.empty() && name != leader) continue;
    if (link.pending_cancellations.size() >= kMaxPendingCancellations)
      link.pending_cancellations.pop_front();
    link.pending_cancellations.push_back(job);
    link.cancellation_pending->notify();
  }
}

template <class Predicate>
bool Peers::any_recent_status(Predicate predicate) const {
  const Instant now = loop_.now();
  for (const auto& [name, link] : links_) {
    if (link.last_answer && now - link.last_answer->received_at < kMaxStatusAge &&
        predicate(link.last_answer->status)) {
      return true;
    }
  }
  return false;
}

bool Peers::any_peer_reaches_store() const {
  return any_recent_status([](const Status& status) {
    return status.store_has_responded && status.store_response_age < kMaxStoreResponseAge;
  });
}

bool Peers::any_peer_receives_heartbeats() const {
  return any_recent_status([](const Status& status) {
    return status.heartbeat_received && status.heartbeat_age < kMaxHeartbeatAge;
  });
}

Task<void> Peers::listen() {
  for (;;) {
    http::Socket socket = co_await listener_->accept();
    if (incoming_connections_ < kMaxIncomingConnections) loop_.spawn(serve(std::move(socket)));
  }
}

// Answers a peer's statuses with this node's status until the connection is closed.
Task<void> Peers::serve(http::Socket socket) {
  const ScopedCount counted(incoming_connections_);
  for (;;) {
    const Instant read_by = loop_.now() + kIdleTimeout;
    const auto frame = co_await read_frame(socket, read_by);
    if (!frame) co_return;
    if (apply_unanswered(*frame, handler_)) continue;
    const auto peer_status = wire::peer::read_status(frame->body);
    if (!peer_status) co_return;
    handler_.on_peer_status(*peer_status);
    Status own_status = handler_.status();
    own_status.echo = peer_status->sequence;
    const std::string bytes = wire::peer::write_status(own_status);
    const Instant write_by = loop_.now() + kAnswerTimeout;
    if (!co_await socket.write_all(bytes, write_by)) co_return;
  }
}

// Encodes this node's status, the progress of open jobs and the pending cancellations for the peer.
std::string Peers::next_frames(Link& link) {
  Status own_status = handler_.status();
  own_status.sequence = ++link.sequence;
  std::string bytes = wire::peer::write_status(own_status);
  const wire::peer::Progress progress = handler_.progress();
  if (!progress.entries.empty()) bytes += wire::peer::write_progress(progress);
  for (const std::string& job : link.pending_cancellations)
    bytes += wire::peer::write_cancelled(job);
  link.pending_cancellations.clear();
  return bytes;
}

// Sends this node's status at the time `sent` and applies the answer. Returns false when the
// connection must be closed.
Task<bool> Peers::exchange_status(Link& link, http::Socket& socket, Instant sent) {
  const std::string bytes = next_frames(link);
  const Instant answer_by = sent + kAnswerTimeout;
  if (!co_await socket.write_all(bytes, answer_by)) co_return false;
  const auto frame = co_await read_frame(socket, answer_by);
  if (!frame || frame->kind != Kind::status) co_return false;
  const auto peer_status = wire::peer::read_status(frame->body);
  // The answer to an earlier status is older than `sent` and must not be applied as if it were
  // newer.
  if (!peer_status || peer_status->node != link.peer.node || peer_status->echo != link.sequence)
    co_return false;
  apply_status(*peer_status, sent);
  co_return true;
}

// Keeps one connection to a peer and sends a status over it every half second.
Task<void> Peers::dial(Link& link) {
  for (;;) {
    const Instant connect_by = loop_.now() + kAnswerTimeout;
    http::Socket socket = co_await http::Socket::connect(loop_, link.peer.address, connect_by);
    while (socket.open()) {
      const Instant sent = loop_.now();
      const bool answered = co_await exchange_status(link, socket, sent);
      if (!answered) break;
      // Pending cancellations are sent without delay, together with an additional status.
      if (link.pending_cancellations.empty())
        (void)co_await link.cancellation_pending->wait_until(sent + kStatusInterval);
    }
    socket.close();
    co_await loop_.sleep(kReconnectDelay);
  }
}

}  // namespace dunlinknot::leadership
