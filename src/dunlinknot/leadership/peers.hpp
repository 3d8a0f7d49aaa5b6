// The links between the controllers. They exchange who leads, whether the key-value store and the
// workers reach each of them, how far the open jobs are, and which were just cancelled. Safety
// depends on one part of it only: each peer's statement of the cancellations that it knows of.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::leadership {

// This node's side of the exchange: what is sent to the peers and what is done with what they send.
// All calls come from the event loop and must not suspend.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // This node's status; `sequence` and `echo` are filled in by the caller.
  virtual wire::peer::Status status() const = 0;
  // How far the open jobs are, sent along with each status; no entries when this node does not
  // lead.
  virtual wire::peer::Progress progress() = 0;
  virtual void on_peer_status(const wire::peer::Status& status) = 0;
  virtual void on_peer_progress(const wire::peer::Progress& progress) = 0;
  // A peer acknowledged to its user that the job `id` was cancelled.
  virtual void on_peer_cancellation(const std::string& id) = 0;
};

// One outgoing connection to each peer, over which statuses are sent and answered, and the incoming
// ones of the peers. Runs on the event loop that it was given.
class Peers {
 public:
  // `platform` and `handler` must outlive it.
  Peers(EventLoop& loop, const settings::Platform& platform, PeerHandler& handler);
  // Opens the listening socket (throws std::runtime_error) and spawns the links.
  void start();

  // The time until which every peer is known to have accepted no cancellation beyond `revision`;
  // empty when any of them may have. A process that began after `since` cannot answer for the one
  // before it.
  std::optional<Instant> no_unknown_cancellation_until(Instant since, uint64_t revision) const;
  // Sends the leader, or all peers while it is unknown, that a job was cancelled. Only for speed:
  // the message may get lost or arrive late.
  void announce_cancellation(const std::string& job);
  // A peer's answer to our status, which was sent at `sent`. Public for the tests, whose peers have
  // no sockets.
  void apply_status(const wire::peer::Status& status, Instant sent);
  // Whether some peer stated recently that the key-value store answers it.
  bool any_peer_reaches_store() const;
  // Whether some peer stated recently that workers reach it.
  bool any_peer_receives_heartbeats() const;

 private:
  struct Answer {
    wire::peer::Status status;
    Instant received_at{};
    Instant asked_at{};  // the answer was made after this moment
  };
  struct Link {
    settings::Peer peer;
    uint64_t sequence = 0;  // of our last status on the outgoing connection
    std::optional<Answer> last_answer;
    std::unique_ptr<AutoResetEvent> wake;  // a cancellation waits to be sent
    std::deque<std::string> cancelled;     // jobs whose cancellation is to be sent
  };
  template <class Predicate>
  bool any_recent_status(Predicate predicate) const;

  Task<void> dial(Link& link);
  Task<bool> exchange_status(Link& link, http::Socket& socket, Instant sent);
  std::string next_frames(Link& link);

  Task<void> listen();
  Task<void> serve(http::Socket socket);

  EventLoop& loop_;
  const settings::Platform& platform_;
  PeerHandler& handler_;
  std::map<std::string, Link> links_;  // by the peer's node name; fixed after construction
  std::optional<http::Listener> listener_;
  size_t served_ = 0;  // incoming connections
};

}  // namespace dunlinknot::leadership
