// Leader election. The key `leader` is bound to a short lease; acquiring it also increments
// `epoch`, and the epoch's number is the fencing token that the workers see. Every transaction of a
// leader compares the mod revision of `epoch`, so whatever a former leader still has in flight
// fails.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/lease_bounds.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::leadership {

// The time for which this process leads under one epoch.
struct Term {
  uint64_t epoch = 0;
  uint64_t epoch_mod_revision = 0;  // what the term's transactions compare the key `epoch` with
  Instant since{};
};

// Is notified of the beginning and the end of this node's terms. Both calls come from the event
// loop, strictly in turns, and must not suspend: the elector's state has changed already.
class LeadershipObserver {
 public:
  virtual ~LeadershipObserver() = default;
  // This node has won `term`. It leads, but has not loaded any state yet.
  virtual void on_elected(const Term& term) = 0;
  // The term is over, whatever ended it; nothing may be started under its epoch any more.
  virtual void on_leadership_lost() = 0;
};

// Campaigns for the key `leader`, keeps the lease on it while leading, and follows who holds it
// otherwise. All functions run on the event loop that it was given.
class Elector {
 public:
  // `ttl`: of the lease on the key `leader`. `store`, `platform` and `observer` must outlive it.
  Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
          LeadershipObserver& observer);

  // Follows, campaigns and leads in turn, for ever. Spawned once, by the daemon.
  Task<void> run();

  bool leading() const { return leading_; }
  // The present term, or the last one.
  const Term& term() const { return term_; }
  // The highest epoch known, and the node that leads it if that is known.
  uint64_t known_epoch() const { return known_epoch_; }
  const std::optional<std::string>& known_leader() const { return known_leader_; }

  // Applies what another source shows of the leadership: a peer's status, a worker's fencing token,
  // a failed compare. A higher epoch than ours ends the term. `from` is for the log.
  void observe_epoch(uint64_t epoch, std::optional<std::string> leader, std::string_view from);
  // Gives up the leadership so that another node may win it; this one does not campaign for a
  // while. Does nothing when not leading. `why` is for the log.
  void resign(std::string_view why);

  // A read sent at `sent` was answered and showed every cancellation that existed by then, and all
  // of them have been carried out here.
  void on_cancellations_read(Instant sent);
  // Until when it is certain that no cancellation exists that we do not know of, and that nobody
  // else was elected; the renewal window is counted from here. An answered request that shows
  // neither proves nothing of the kind.
  Instant renewal_window_start() const {
    return std::min(cancellations_read_at_, lease_proven_at_);
  }
  // Whether new work may be started: the key-value store answered us, and showed the cancellations,
  // recently enough.
  bool may_start() const;
  // Whether the workers' leases may be renewed. `confirmed_until`: until when all other nodes are
  // known to have accepted no cancellation that we do not know of; empty when that is not known.
  bool may_renew(std::optional<Instant> confirmed_until) const;

 private:
  Task<void> follow();
  Task<bool> read_leader();
  Task<bool> watch_leader();
  void apply_leader_change(const kv::Change& change);
  bool vacant() const;

  Task<void> campaign();
  Task<void> read_back_campaign(uint64_t epoch);
  void become_leader(uint64_t epoch, uint64_t mod_revision, Instant asked);

  Task<void> lead();
  Task<void> reacquire_leader_key();
  Task<void> read_back_reacquisition(uint64_t lease);
  void step_down(std::string_view why);

  Task<kv::GetResult> get_essential(std::string_view key);
  kv::Write leader_write(uint64_t epoch, uint64_t lease) const;

  EventLoop& loop_;
  kv::Client& store_;
  const settings::Platform& platform_;
  Nanos ttl_;
  LeadershipObserver& observer_;
  Nanos renewal_window_;

  bool leading_ = false;
  Term term_;
  Instant cancellations_read_at_{};
  // When the last request was sent that proved that our lease on `leader` still existed.
  Instant lease_proven_at_{};
  uint64_t lease_ = 0;  // that `leader` is bound to when this process holds it
  uint64_t known_epoch_ = 0;
  std::optional<std::string> known_leader_;

  std::optional<uint64_t> leader_mod_revision_;  // of the key `leader`; empty: it does not exist
  bool leader_is_previous_process_ = false;      // this node wrote it, under a lease we do not have
  uint64_t revision_ = 0;                        // up to which the key has been followed

  Instant not_before_{};    // no campaign before this, after a resignation
  bool resigning_ = false;  // the lease is revoked at the end of the term
  AutoResetEvent changed_;  // wakes lead() when the term ends
};

}  // namespace dunlinknot::leadership
