// What the controllers tell one another: who leads, whether the state service and the workers reach
// each of them, and how far the open jobs are. Nothing here is needed for safety except one thing,
// the confirmation that no peer is served by the state service either.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/peer.hpp"

namespace dunlinknot::leadership {

class Peers {
 public:
  struct Hooks {
    std::function<wire::peer::Status()> status;  // ours, but for seq and echo
    std::function<void(const wire::peer::Status&)> heard;
    std::function<wire::peer::Progress()> progress;  // to send, when leading; may be empty
    std::function<void(const wire::peer::Progress&)> told;
  };

  Peers(Loop& loop, const settings::Platform& platform, Hooks hooks);
  void start();

  // The time until which every peer confirmed that the state service had not served it since
  // `since` or before; empty when any of them did not.
  std::optional<Instant> common_silence(Instant since) const;
  // Some peer said within the last seconds that the state service serves it.
  bool any_served() const;
  // Some peer said within the last seconds that workers reach it.
  bool any_beats() const;

 private:
  struct Link {
    settings::Peer peer;
    uint64_t seq = 0;  // of our last status on the outgoing connection
    std::optional<wire::peer::Status> last;
    Instant heard_at{};
    Instant confirmed_to{};  // its answer was made after this moment
  };
  Task<void> dial(Link& link);
  Task<void> listen();
  Task<void> serve(http::Socket socket);
  Task<std::optional<std::pair<wire::peer::Kind, std::string>>> read_frame(http::Socket& socket,
                                                                           Instant deadline);

  Loop& loop_;
  const settings::Platform& platform_;
  Hooks hooks_;
  std::map<std::string, Link> links_;
  std::optional<http::Listener> listener_;
  size_t served_ = 0;
};

}  // namespace dunlinknot::leadership
