// What the controllers tell one another: who leads, whether the key-value store and the workers
// reach each of them, how far the open jobs are, and which were just cancelled. Nothing here is
// needed for safety except one thing: every peer's word on the cancellations that it knows of.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::leadership {

class Peers {
 public:
  struct Hooks {
    std::function<wire::peer::Status()> status;  // ours, but for seq and echo
    std::function<void(const wire::peer::Status&)> status_received;
    std::function<wire::peer::Progress()> progress;  // to send, when leading; may be empty
    std::function<void(const wire::peer::Progress&)> progress_received;
    std::function<void(const std::string& job)> cancellation_received;  // a peer told its user so
  };

  Peers(EventLoop& loop, const settings::Platform& platform, Hooks hooks);
  void start();

  // The time until which every peer is known to have told of no cancellation beyond `revision`;
  // empty when any of them may have. One whose process began after `since` cannot speak for the
  // process before it.
  std::optional<Instant> no_unknown_cancellation_until(Instant since, uint64_t revision) const;
  // Tells the leader, as far as it is known, that a job was cancelled: for speed only, it may get
  // lost and it may come late.
  void announce_cancellation(const std::string& job);
  // A peer's answer to our status, which was sent at `sent`.
  void apply_status(const wire::peer::Status& status, Instant sent);
  // Some peer said within the last seconds that the key-value store serves it.
  bool any_peer_reaches_store() const;
  // Some peer said within the last seconds that workers reach it.
  bool any_peer_receives_heartbeats() const;

 private:
  struct Link {
    settings::Peer peer;
    uint64_t sequence = 0;  // of our last status on the outgoing connection
    std::optional<wire::peer::Status> last;
    Instant received_at{};
    Instant confirmed_to{};  // its answer was made after this moment
    std::unique_ptr<AutoResetEvent> wake;
    std::deque<std::string> cancelled;  // to be told
  };
  Task<void> dial(Link& link);
  Task<void> listen();
  Task<void> serve(http::Socket socket);
  Task<std::optional<std::pair<wire::peer::Kind, std::string>>> read_frame(http::Socket& socket,
                                                                           Instant deadline);

  EventLoop& loop_;
  const settings::Platform& platform_;
  Hooks hooks_;
  std::map<std::string, Link> links_;
  std::optional<http::Listener> listener_;
  size_t served_ = 0;
};

}  // namespace dunlinknot::leadership
