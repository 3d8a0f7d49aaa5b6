// The links between the controllers; the frames themselves are formed in wire/peer.
#include "dunlinknot/leadership/peers.hpp"

#include <spdlog/spdlog.h>

#include <array>

namespace dunlinknot::leadership {

namespace {

using wire::peer::Kind;
using wire::peer::Status;

constexpr auto kPace = Millis(500);         // between two statuses
constexpr auto kAnswerTime = Millis(1500);  // to connect, and to answer a status
constexpr auto kRedial = Millis(1000);      // after a connection that failed or ended
constexpr auto kIdle =
    std::chrono::seconds(10);      // without a frame an incoming connection is closed
constexpr size_t kMaxServed = 32;  // incoming connections: stale ones of restarted peers included
constexpr size_t kMaxCancelled = 64;  // hints that wait for their connection
constexpr size_t kReadBytes = 512;
constexpr double kSlowestClock = 0.999;  // of ours: two clocks, each off by up to 0.05%

constexpr auto kRecent = Millis(2500);        // a status older than this shows nothing any more
constexpr auto kStoreReached = Millis(1500);  // since the key-value store answered the peer
constexpr auto kWorkersReach = Millis(2000);  // since a heartbeat reached the peer

struct Frame {
  Kind kind = Kind::status;
  std::string body;
};

// Empty when the connection ended, the deadline passed or the bytes are not a frame of this
// version. `socket` belongs to the awaiting coroutine.
Task<std::optional<Frame>> read_frame(http::Socket& socket, Instant deadline) {
  std::string bytes;
  std::array<char, kReadBytes> chunk;
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
        spdlog::info(
            "a peer sent a frame of another version or an unknown kind; connection closed");
        co_return std::nullopt;
      }
      want += header->length;
    }
  }
  co_return Frame{header->kind, bytes.substr(wire::peer::kHeaderBytes)};
}

// Progress and cancellations get no answer. Returns whether the frame was one of these.
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

// Counts a connection for as long as it is served.
class ServedConnection {
 public:
  explicit ServedConnection(size_t& count) : count_(count) { ++count_; }
  ~ServedConnection() { --count_; }
  ServedConnection(const ServedConnection&) = delete;
  ServedConnection& operator=(const ServedConnection&) = delete;

 private:
  size_t& count_;
};

}  // namespace

Peers::Peers(EventLoop& loop, const settings::Platform& platform, PeerHandler& handler)
    : loop_(loop), platform_(platform), handler_(handler) {
  for (const settings::Peer& peer : platform.peers) {
    Link& link = links_[peer.node];
    link.peer = peer;
    link.wake = std::make_unique<AutoResetEvent>(loop);
  }
}

void Peers::start() {
  listener_.emplace(loop_, platform_.back);
  loop_.spawn(listen());
  for (auto& [name, link] : links_) loop_.spawn(dial(link));
}

// Safety 2: whatever cancellation a peer's process acknowledged before its answer, it had read or
// written before, and states so in `cancel_revision`. What a process before it acknowledged existed
// before `since`.
std::optional<Instant> Peers::no_unknown_cancellation_until(Instant since,
                                                            uint64_t revision) const {
  Instant until = Instant::max();
  if (links_.empty()) return std::nullopt;
  for (const auto& [name, link] : links_) {
    if (!link.last_answer || link.last_answer->asked_at < since) return std::nullopt;
    const Answer& answer = *link.last_answer;
    const Nanos up = to_nanos(Seconds(answer.status.up) * kSlowestClock);
    if (answer.received_at - up > since || answer.status.cancel_revision > revision)
      return std::nullopt;
    until = std::min(until, answer.asked_at);
  }
  return until;
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
    if (link.cancelled.size() >= kMaxCancelled) link.cancelled.pop_front();
    link.cancelled.push_back(job);
    link.wake->notify();
  }
}

template <class Predicate>
bool Peers::any_recent_status(Predicate predicate) const {
  const Instant now = loop_.now();
  for (const auto& [name, link] : links_) {
    if (link.last_answer && now - link.last_answer->received_at < kRecent &&
        predicate(link.last_answer->status)) {
      return true;
    }
  }
  return false;
}

bool Peers::any_peer_reaches_store() const {
  return any_recent_status([](const Status& status) {
    return status.store_known && status.store_silent < kStoreReached;
  });
}

bool Peers::any_peer_receives_heartbeats() const {
  return any_recent_status([](const Status& status) {
    return status.heartbeats_known && status.heartbeats_silent < kWorkersReach;
  });
}

Task<void> Peers::listen() {
  for (;;) {
    http::Socket socket = co_await listener_->accept();
    if (served_ < kMaxServed) loop_.spawn(serve(std::move(socket)));
  }
}

// Answers a peer's statuses with our own, until the connection ends.
Task<void> Peers::serve(http::Socket socket) {
  const ServedConnection counted(served_);
  for (;;) {
    const Instant read_by = loop_.now() + kIdle;
    const auto frame = co_await read_frame(socket, read_by);
    if (!frame) co_return;
    if (apply_unanswered(*frame, handler_)) continue;
    const auto theirs = wire::peer::read_status(frame->body);
    if (!theirs) co_return;
    handler_.on_peer_status(*theirs);
    Status ours = handler_.status();
    ours.echo = theirs->sequence;
    const std::string bytes = wire::peer::write_status(ours);
    const Instant write_by = loop_.now() + kAnswerTime;
    if (!co_await socket.write_all(bytes, write_by)) co_return;
  }
}

// Our status, and with it what else the peer has not been sent yet.
std::string Peers::next_frames(Link& link) {
  Status ours = handler_.status();
  ours.sequence = ++link.sequence;
  std::string bytes = wire::peer::write_status(ours);
  const wire::peer::Progress progress = handler_.progress();
  if (!progress.entries.empty()) bytes += wire::peer::write_progress(progress);
  for (const std::string& job : link.cancelled) bytes += wire::peer::write_cancelled(job);
  link.cancelled.clear();
  return bytes;
}

// Sends our status at `sent` and applies the answer. False when the connection is of no more use.
Task<bool> Peers::exchange_status(Link& link, http::Socket& socket, Instant sent) {
  const std::string bytes = next_frames(link);
  const Instant answer_by = sent + kAnswerTime;
  if (!co_await socket.write_all(bytes, answer_by)) co_return false;
  const auto frame = co_await read_frame(socket, answer_by);
  if (!frame || frame->kind != Kind::status) co_return false;
  const auto theirs = wire::peer::read_status(frame->body);
  // An answer to an earlier status would count as evidence from too late a moment.
  if (!theirs || theirs->node != link.peer.node || theirs->echo != link.sequence) co_return false;
  apply_status(*theirs, sent);
  co_return true;
}

// Keeps one connection to a peer, with a status every half second.
Task<void> Peers::dial(Link& link) {
  for (;;) {
    const Instant connect_by = loop_.now() + kAnswerTime;
    http::Socket socket = co_await http::Socket::connect(loop_, link.peer.address, connect_by);
    while (socket.open()) {
      const Instant sent = loop_.now();
      const bool answered = co_await exchange_status(link, socket, sent);
      if (!answered) break;
      // A cancellation is sent at once, with a status of its own.
      if (link.cancelled.empty()) (void)co_await link.wake->wait_until(sent + kPace);
    }
    socket.close();
    co_await loop_.sleep(kRedial);
  }
}

}  // namespace dunlinknot::leadership
