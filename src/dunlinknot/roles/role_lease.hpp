// The lease of one role as its holder sees it: a state machine without I/O.
//
// The lease decides who should act; it does not make an act safe. A process may be suspended for
// any time between checking the lease and sending a request. A late request is harmless because it
// was recorded as an intent before (see intent_log.hpp); the lease only saves useless requests.
#pragma once
#include <optional>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot::roles {

// Whether this process holds a role.
enum class LeaseState : uint8_t {
  candidate,  // wants the role
  held,       // proved recently enough: may act
  doubtful,   // held as far as is known, but the last proof is too old: may not act
  lost,       // somebody else holds it, or nobody does
};

// What identifies one holding of a role.
struct RoleGrant {
  uint64_t fencing_token = 0;  // of this holding alone; later holdings have higher ones
  uint64_t mod_revision = 0;   // of the role's key: every transaction under the role compares it
};

// Tracks the proofs that a role is held and derives from them whether its holder may act. Not
// synchronized: used on the controller's event loop only. All times are of the boot clock, which
// counts time in which the process or machine was suspended.
class RoleLease {
 public:
  // `ttl`: the lease as the key-value store grants it. The possible drift of two clocks is
  // deducted.
  explicit RoleLease(Nanos ttl);

  // The role was acquired by a request sent at `sent`.
  void acquired(const RoleGrant& grant, Instant sent);
  // A request sent at `sent` showed that the role's key was unchanged. The lease counts from the
  // sending, since the answer may have been delayed by any time.
  void proved(Instant sent);
  // Discards the last proof: own timers fired late, so the process may have been suspended.
  void distrust() { proof_.reset(); }
  void lose();
  // After `lose`: the role is to be acquired again.
  void become_candidate();

  LeaseState state(Instant now) const;
  bool may_act(Instant now) const { return state(now) == LeaseState::held; }
  // Meaningful while the state is held or doubtful.
  const RoleGrant& grant() const { return grant_; }

 private:
  enum class Phase : uint8_t { candidate, held, lost };

  Nanos validity_;
  Phase phase_ = Phase::candidate;
  RoleGrant grant_;
  std::optional<Instant> proof_;  // when the last proof was requested
};

}  // namespace dunlinknot::roles
