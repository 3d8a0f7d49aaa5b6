// Connections between the controllers. They exchange which node leads, when each node last received
// responses of the key-value store and heartbeats of workers, the progress of open jobs, and new
// cancellations. Safety depends on one field only: the latest cancellation that each peer knows
// (`Status::cancel_revision`).
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::leadership {

// Supplies what is sent to the peers and handles what they send. All functions are called on the
// event loop and must not suspend.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // This node's status; the caller sets `sequence` and `echo`.
  virtual wire::peer::Status status() const = 0;
  // The progress of the open jobs, sent with each status; no entries when this node does not lead.
  virtual wire::peer::Progress progress() = 0;
  virtual void on_peer_status(const wire::peer::Status& status) = 0;
  virtual void on_peer_progress(const wire::peer::Progress& progress) = 0;
  // A peer acknowledged the cancellation of the job `id` to its user.
  virtual void on_peer_cancellation(const std::string& id) = 0;
};

// Keeps one outgoing connection to each peer, over which it sends statuses and receives the
// answers, and serves the peers' incoming connections. Runs on the event loop passed to the
// constructor.
class Peers {
 public:
  // `platform` and `handler` must outlive this object.
  Peers(EventLoop& loop, const settings::Platform& platform, PeerHandler& handler);
  // Opens the listening socket and spawns the connections. Throws std::runtime_error when the
  // socket cannot be opened.
  void start();

  // The time up to which every peer is known to have acknowledged no cancellation after
  // `revision`. Empty when a peer may have acknowledged one. A peer process that started after
  // `since` cannot confirm this, because its previous process may have acknowledged one.
  std::optional<Instant> no_unknown_cancellation_until(Instant since, uint64_t revision) const;
  // Notifies the leader, or all peers while the leader is unknown, that a job was cancelled. Only
  // an optimization: the message may be lost or delayed.
  void announce_cancellation(const std::string& job);
  // Handles a peer's answer to this node's status that was sent at `sent`. Public for tests, which
  // deliver statuses without sockets.
  void apply_status(const wire::peer::Status& status, Instant sent);
  // Whether a recent status of some peer says that the key-value store answers it.
  bool any_peer_reaches_store() const;
  // Whether a recent status of some peer says that it receives heartbeats.
  bool any_peer_receives_heartbeats() const;

 private:
  struct Answer {
    wire::peer::Status status;
    Instant received_at{};
    Instant status_sent_at{};  // when the answered status was sent; the answer is newer than this
  };
  struct Link {
    settings::Peer peer;
    uint64_t sequence = 0;  // of the last status sent on the outgoing connection
    std::optional<Answer> last_answer;
    std::unique_ptr<AutoResetEvent> cancellation_pending;  // set when a cancellation is to be sent
    std::deque<std::string> pending_cancellations;  // jobs whose cancellation is still to be sent
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
  size_t incoming_connections_ = 0;  // number of open incoming connections
};

}  // namespace dunlinknot::leadership
