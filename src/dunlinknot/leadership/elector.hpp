// Who leads. The key `leader` is bound to a short lease; taking it also bumps `epoch`, and the
// epoch's number is the fencing token the workers see. Every transaction of a leader guards the mod
// revision of `epoch`, so whatever a former leader still has in flight fails.
#pragma once
#include <algorithm>
#include <functional>
#include <optional>
#include <string>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::leadership {

struct Term {
  uint64_t epoch = 0;
  uint64_t epoch_mod_revision = 0;
  Instant since{};
};

// How long after its last evidence (see Elector::evidence) a leader may go on renewing the workers'
// leases: a cancellation it cannot hear of must still be over on every machine within cancel_s.
Nanos renewal_window(const settings::Platform& platform);
// The same window as another node has to wait for it, the two clocks drifting apart: no leader
// renews a lease later than this after its successor's election.
Nanos former_leader_renewal_window(const settings::Platform& platform);
// The time after which a worker that was last answered at `t` has certainly killed its tasks.
Nanos worker_lease_bound(const settings::Platform& platform);

class Elector {
 public:
  struct Hooks {
    std::function<void(const Term&)> elected;
    std::function<void(uint64_t epoch, std::string_view why)> deposed;
  };
  Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
          Hooks hooks);

  Task<void> run();

  bool leading() const { return leading_; }
  const Term& term() const { return term_; }
  // The highest epoch heard of, and who leads it, if known.
  uint64_t known_epoch() const { return known_epoch_; }
  const std::optional<std::string>& known_leader() const { return known_leader_; }

  // News of a leadership from elsewhere: a peer, a worker's fencing token, a failed guard.
  void observe_epoch(uint64_t epoch, std::optional<std::string> leader, std::string_view from);
  // Gives the leadership up so that another node may take it; stays out of the race for a while.
  void resign(std::string_view why);

  // A read sent at `sent` was answered and showed every cancellation that stood by then, and all of
  // them have been carried out here (the horizon).
  void cancellations_read(Instant sent);
  // Until when it is certain that no cancellation stands that we do not know of, and that nobody
  // else was elected. A request that was served, but shows neither, proves nothing of it.
  Instant renewal_window_start() const {
    return std::min(cancellations_read_at_, lease_proven_at_);
  }
  // Served by the key-value store, and cancellations seen, recently enough to start work.
  bool may_start() const;
  // May still renew the workers' leases. `vouched`: until when all nodes were known to have told
  // of no cancellation since `evidence` that we do not know of.
  bool may_renew(std::optional<Instant> confirmed_until) const;

 private:
  Task<void> follow();
  Task<void> campaign();
  Task<void> lead();
  void step_down(std::string_view why);
  void become_leader(uint64_t epoch, uint64_t mod_revision, Instant asked);

  EventLoop& loop_;
  kv::Client& store_;
  const settings::Platform& platform_;
  Nanos ttl_;
  Hooks hooks_;
  Nanos renewal_window_;

  bool leading_ = false;
  Term term_;
  Instant cancellations_read_at_{};
  Instant
      lease_proven_at_{};  // the sending of the last request that proved that our lease still stood
  uint64_t lease_ = 0;
  uint64_t known_epoch_ = 0;
  std::optional<std::string> known_leader_;
  std::optional<uint64_t> leader_mod_revision_;  // of the key, when it exists
  bool leader_is_previous_process_ = false;
  uint64_t revision_ = 0;
  Instant not_before_{};
  bool resigning_ = false;
  AutoResetEvent changed_;
};

}  // namespace dunlinknot::leadership
