// Leader election on the key-value store. The key `leader` is bound to a short lease; acquiring it
// also increments `epoch`, whose value is the fencing token sent to workers. Every transaction of a
// leader compares the mod revision of `epoch`, so transactions of a previous leader that are still
// in flight fail.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/lease_bounds.hpp"
#include "dunlinknot/settings/settings.hpp"

namespace dunlinknot::leadership {

// One period in which this process leads, under one epoch.
struct Term {
  uint64_t epoch = 0;
  uint64_t epoch_mod_revision = 0;  // of the key `epoch`; compared by the term's transactions
  Instant started_at{};
};

// Is notified when this node's terms begin and end. The two functions are called alternately on the
// event loop and must not suspend; the elector has already changed its state when it calls them.
class LeadershipObserver {
 public:
  virtual ~LeadershipObserver() = default;
  // This node was elected for `term`. It leads, but has not loaded any state yet.
  virtual void on_elected(const Term& term) = 0;
  // The term is over, for whatever reason. No new work may be started under its epoch.
  virtual void on_leadership_lost() = 0;
};

// Campaigns for the key `leader`, renews the lease on it while leading, and otherwise watches which
// node holds it. All functions must be called on the event loop passed to the constructor.
class Elector {
 public:
  // `ttl`: duration of the lease on the key `leader`. `store`, `platform` and `observer` must
  // outlive the elector.
  Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
          LeadershipObserver& observer);

  // Watches the key, campaigns and leads, in an endless loop. Spawned once, by the daemon.
  Task<void> run();

  bool leading() const { return leading_; }
  // The current term, or the last one when this node is not leading.
  const Term& term() const { return term_; }
  // The highest epoch observed so far, and the node that leads it, if known.
  uint64_t known_epoch() const { return known_epoch_; }
  const std::optional<std::string>& known_leader() const { return known_leader_; }

  // Applies an epoch learned from another source: a peer's status, a worker's fencing token or a
  // failed compare. An epoch higher than this node's ends its term. `source` is for the log.
  void observe_epoch(uint64_t epoch, std::optional<std::string> leader, std::string_view source);
  // Steps down and revokes the lease, so that another node can be elected; this node does not
  // campaign during a back-off. Does nothing when not leading. `reason` is for the log.
  void resign(std::string_view reason);

  // A read sent at `sent` was answered and returned every cancellation that existed at that time,
  // and this node has applied all of them.
  void on_cancellations_read(Instant sent);
  // The latest time up to which this node certainly knew all cancellations and no other node had
  // been elected. The renewal window is counted from it. Only requests that read the cancellations
  // or prove the lease advance it; any other answered request does not.
  Instant renewal_window_start() const {
    return std::min(cancellations_read_at_, lease_proven_at_);
  }
  // Whether new work may be started: this node leads, and the key-value store has answered it and
  // returned the cancellations recently enough.
  bool may_start() const;
  // Whether the workers' leases may be renewed. `confirmed_until`: the time up to which all other
  // nodes have confirmed that they acknowledged no cancellation unknown to this node; empty when
  // any of them has not.
  bool may_renew(std::optional<Instant> confirmed_until) const;

 private:
  Task<void> follow();
  Task<bool> read_leader();
  Task<bool> watch_leader();
  void apply_leader_change(const kv::Change& change);
  bool vacant() const;

  Task<void> campaign();
  Task<void> read_back_campaign(uint64_t epoch);
  void become_leader(uint64_t epoch, uint64_t mod_revision, Instant sent);

  Task<void> lead();
  Task<void> reacquire_leader_key();
  Task<void> read_back_reacquisition(uint64_t lease);
  void step_down(std::string_view reason);

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
  // When the last request was sent whose answer proved that this node's lease on `leader` existed.
  Instant lease_proven_at_{};
  uint64_t lease_ = 0;  // the lease that `leader` is bound to while this process holds it
  uint64_t known_epoch_ = 0;
  std::optional<std::string> known_leader_;

  std::optional<uint64_t> leader_mod_revision_;  // of the key `leader`; empty: no such key
  bool leader_is_previous_process_ = false;      // written by this node under another lease
  uint64_t watched_revision_ = 0;  // the next watch of the key starts after this revision

  Instant no_campaign_before_{};  // end of the back-off after a resignation
  bool resigning_ = false;        // the lease is to be revoked at the end of the term
  AutoResetEvent term_ended_;     // wakes lead() when the term ends
};

}  // namespace dunlinknot::leadership
