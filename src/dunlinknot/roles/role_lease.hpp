// The lease of one role on the side of its holder: a state machine without I/O.
//
// The lease decides which process should send requests; it does not make a request safe. A process
// may be suspended for any time between checking the lease and sending a request. Such a late
// request is harmless because it was recorded as an intent before (see intent_log.hpp); the lease
// only avoids useless requests.
#pragma once
#include <optional>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot::roles {

// Whether this process holds a role.
enum class LeaseState : uint8_t {
  candidate,    // is trying to acquire the role
  held,         // confirmed recently enough: may act
  unconfirmed,  // not known to be lost, but the last confirmation is too old: may not act
  lost,         // another process or none holds the role
};

// Identifies one acquisition of a role.
struct RoleGrant {
  uint64_t fencing_token = 0;  // unique; later acquisitions have higher tokens
  uint64_t mod_revision = 0;   // of the role's key; compared by every transaction under the role
};

// Tracks when the role was last confirmed to be held and derives from that whether the holder may
// act. Not synchronized: used on the controller's event loop only. All times are of the boot clock,
// which includes time during which the process or machine was suspended.
class RoleLease {
 public:
  // `ttl`: duration of the lease in the key-value store. The validity on this side is shorter by
  // the maximum drift of two clocks.
  explicit RoleLease(Nanos ttl);

  // The role was acquired by a request sent at `sent`.
  void acquired(const RoleGrant& grant, Instant sent);
  // A request sent at `sent` showed that the role's key was unchanged. The lease is valid from the
  // time of sending, since the answer may have been delayed by any time.
  void confirmed(Instant sent);
  // Discards the last confirmation. Called when this process's timers fired late, because it may
  // have been suspended.
  void discard_confirmation() { confirmed_at_.reset(); }
  void mark_lost();
  // After `mark_lost`: the role is to be acquired again.
  void become_candidate();

  LeaseState state(Instant now) const;
  bool may_act(Instant now) const { return state(now) == LeaseState::held; }
  // Valid while the state is `held` or `unconfirmed`.
  const RoleGrant& grant() const { return grant_; }

 private:
  enum class Phase : uint8_t { candidate, held, lost };

  Nanos validity_;
  Phase phase_ = Phase::candidate;
  RoleGrant grant_;
  std::optional<Instant> confirmed_at_;  // when the last confirming request was sent
};

}  // namespace dunlinknot::roles
