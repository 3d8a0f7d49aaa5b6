// Acquires the singleton roles for the leader, keeps them and releases them.
//
// Only the leader acquires roles, and at once, whoever held them: the transaction compares the
// epoch, and from then on whatever the former holder writes fails on the role's key. It need not
// wait for the expiry of the former holder's lease (docs/singleton_roles.md).
#pragma once
#include <array>
#include <optional>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_lease.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

// This process's holding of all roles. All calls on the controller's event loop; coroutines of an
// earlier term end without an effect.
class RoleHolder {
 public:
  // Both must outlive the holder.
  RoleHolder(cluster::LeaderContext& context, kv::Client& store);

  // How an attempt to acquire all roles ended.
  enum class AcquireResult : uint8_t {
    held,
    term_ended,
    halted,  // the record of the last fencing token cannot be read: no token is known to be higher
  };
  // Acquires all roles; retries until they are held, the term ends, or it has to halt.
  Task<AcquireResult> acquire(uint64_t term);
  // Renews them, and acquires them again when one is lost, as long as the term lasts.
  Task<void> renew_until_term_ends(uint64_t term);
  // Revokes the lease, so that the roles' keys show no holder from now on.
  Task<void> release();
  // The term is over: no act is allowed any more.
  void on_term_ended();

  bool may_act(Role role) const;
  LeaseState state(Role role) const;
  uint64_t fencing_token(Role role) const { return holding(role).lease.grant().fencing_token; }
  // What every transaction under the role has to compare: the epoch, and last the role's key.
  std::vector<kv::Compare> compares(Role role) const;
  // Has to be called with the result of every transaction under the role: a failed compare shows
  // that the role is lost, a success that it is held. `sent`: on the boot clock.
  void apply_result(Role role, const kv::TransactionResult& result, Instant sent);
  // After a transaction under the role without an answer: gives the role's key a new mod revision,
  // so that the transaction cannot be applied any more and what is read afterwards is final. True
  // at once when nothing is unsettled; false when the rewrite is not known to have worked.
  Task<bool> settle_writes(uint64_t term, Role role);

 private:
  struct Holding {
    explicit Holding(Nanos ttl) : lease(ttl) {}

    RoleLease lease;
    bool writes_unsettled = false;  // a transaction under the role had no answer
    Instant rewritten_at{};         // when `settle_writes` last changed the key's mod revision
  };
  // The roles' keys as they were read; mod revision 0: no such key.
  struct StoredRoles {
    std::array<uint64_t, kAllRoles.size()> mod_revisions{};
    uint64_t token_mod_revision = 0;
    uint64_t fencing_token = 0;
  };
  struct Renewal {
    bool expired = false;  // the store's lease: the roles' keys are removed with it
    bool proved = false;   // the roles' keys are unchanged
  };

  Task<bool> try_acquire(uint64_t term);
  Task<std::optional<StoredRoles>> read_stored(uint64_t term);
  bool read_token(const kv::KeyValue& item, StoredRoles& stored);
  Task<bool> acquire_role(uint64_t term, Role role, StoredRoles& stored);
  kv::Write holder_write(Role role, uint64_t fencing_token) const;
  Task<std::optional<uint64_t>> own_mod_revision(uint64_t term, Role role, uint64_t fencing_token);
  Task<Renewal> renew(uint64_t term);
  Task<bool> prove();
  bool all_held() const;
  Holding& holding(Role role) { return holdings_[static_cast<size_t>(role)]; }
  const Holding& holding(Role role) const { return holdings_[static_cast<size_t>(role)]; }

  cluster::LeaderContext& context_;
  kv::Client& store_;
  std::array<Holding, kAllRoles.size()> holdings_;  // indexed by role
  bool halted_ = false;       // the record of the last fencing token cannot be read
  uint64_t store_lease_ = 0;  // the store's lease that the roles' keys are bound to; 0: none
};

}  // namespace dunlinknot::roles
