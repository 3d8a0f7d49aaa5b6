// The holding of one role, as its holder sees it: a state machine without I/O.
//
// The lease decides who should act; it makes no act safe. A process may stop for any time between
// its look at the lease and the sending, so what makes a late act harmless is that it was decided
// durably before (see intents.hpp).
#pragma once
#include <optional>

#include "dunlinknot/runtime/clock.hpp"

namespace dunlinknot::roles {

enum class LeaseState : uint8_t {
  candidate,  // wants the role
  held,       // proved recently enough: may act
  doubtful,   // held as far as is known, but the last proof is too old: may not act
  lost,       // somebody else holds it, or nobody does
};

struct RoleGrant {
  uint64_t fencing_token = 0;  // of this holding alone; later holdings have higher ones
  uint64_t mod_revision = 0;   // of the role's key: every transaction under the role guards it
};

class RoleLease {
 public:
  // `ttl` is what the key-value store grants; the clocks' drift is taken off.
  explicit RoleLease(Nanos ttl);

  // The request that took the role was sent at `sent`, by a clock that counts suspended time.
  void acquired(const RoleGrant& grant, Instant sent);
  // A request sent at `sent` showed that the holding stood.
  void proved(Instant sent);
  // Own timers came late: nothing is believed until the next proof.
  void distrust() { proof_.reset(); }
  void lose();
  void become_candidate();

  LeaseState state(Instant now) const;
  bool may_act(Instant now) const { return state(now) == LeaseState::held; }
  // Meaningful while the state is holding or doubtful.
  const RoleGrant& grant() const { return grant_held_; }

 private:
  enum class Phase : uint8_t { candidate, held, lost };

  Nanos validity_;
  Phase phase_ = Phase::candidate;
  RoleGrant grant_held_;
  std::optional<Instant> proof_;
};

}  // namespace dunlinknot::roles
