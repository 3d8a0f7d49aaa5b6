// Acquires, renews and releases the singleton roles for the leader.
//
// Only the leader acquires roles. It does not wait for the expiry of the previous holder's lease:
// the acquiring transaction compares the epoch and changes the role's key, so later transactions of
// the previous holder fail (docs/singleton_roles.md).
#pragma once
#include <array>
#include <optional>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_lease.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

// Holds all roles for this process. All functions must be called on the controller's event loop.
// Coroutines of an earlier term return without effect.
class RoleHolder {
 public:
  // `context` and `store` must outlive the holder.
  RoleHolder(cluster::LeaderContext& context, kv::Client& store);

  // Result of acquiring all roles.
  enum class AcquireResult : uint8_t {
    held,
    term_ended,
    // The record of the last fencing token cannot be read, so no token is known to be higher than
    // all earlier ones.
    halted,
  };
  // Acquires all roles. Retries until they are held, the term ends or the result is `halted`.
  Task<AcquireResult> acquire(uint64_t term);
  // Renews the roles until the term ends; acquires all of them again when one is lost.
  Task<void> renew_until_term_ends(uint64_t term);
  // Revokes the lease, which removes the roles' keys.
  Task<void> release();
  // The term is over: `may_act` is false from now on.
  void on_term_ended();

  // Whether requests may be sent under the role.
  bool may_act(Role role) const;
  LeaseState state(Role role) const;
  uint64_t fencing_token(Role role) const { return holding(role).lease.grant().fencing_token; }
  // The compares that every transaction under the role needs: the epoch and, last, the role's key.
  std::vector<kv::Compare> compares(Role role) const;
  // Must be called with the result of every transaction under the role. A failed compare of the
  // role's key shows that the role is lost, otherwise an answer shows that it is held. `sent`: when
  // the transaction was sent, on the boot clock.
  void apply_result(Role role, const kv::TransactionResult& result, Instant sent);
  // Fences off a transaction under the role that was not answered: rewrites the role's key, whose
  // new mod revision makes the transaction's compare fail, so that reads from then on are final.
  // Returns true without a write when there is no such transaction, and false when the rewrite is
  // not known to have been applied.
  Task<bool> fence_unanswered_writes(uint64_t term, Role role);

 private:
  struct Holding {
    explicit Holding(Nanos ttl) : lease(ttl) {}

    RoleLease lease;
    bool has_unanswered_write = false;  // a transaction under the role was not answered
    Instant rewritten_at{};  // when `fence_unanswered_writes` last changed the key's mod revision
  };
  // The roles' keys as last read; mod revision 0: no such key.
  struct StoredRoles {
    std::array<uint64_t, kAllRoles.size()> mod_revisions{};
    uint64_t token_mod_revision = 0;
    uint64_t fencing_token = 0;
  };
  struct Renewal {
    bool expired = false;    // the store's lease expired, and the roles' keys were removed with it
    bool confirmed = false;  // the roles' keys are unchanged
  };

  Task<bool> try_acquire(uint64_t term);
  Task<std::optional<StoredRoles>> read_stored(uint64_t term);
  bool read_last_fencing_token(const kv::KeyValue& item, StoredRoles& stored);
  Task<bool> acquire_role(uint64_t term, Role role, StoredRoles& stored);
  kv::Write holder_write(Role role, uint64_t fencing_token) const;
  Task<std::optional<uint64_t>> own_mod_revision(uint64_t term, Role role, uint64_t fencing_token);
  Task<Renewal> renew(uint64_t term);
  Task<bool> confirm_roles();
  bool all_held() const;
  Holding& holding(Role role) { return holdings_[static_cast<size_t>(role)]; }
  const Holding& holding(Role role) const { return holdings_[static_cast<size_t>(role)]; }

  cluster::LeaderContext& context_;
  kv::Client& store_;
  std::array<Holding, kAllRoles.size()> holdings_;  // indexed by role
  bool halted_ = false;                             // see AcquireResult::halted
  uint64_t store_lease_ = 0;  // the store's lease to which the roles' keys are bound; 0: none
};

}  // namespace dunlinknot::roles
