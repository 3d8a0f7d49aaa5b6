// Takes the singleton roles for the leader, keeps them and gives them up.
//
// Only the leader stands for them, and takes them at once, whoever held them: the transaction
// guards the epoch, and from then on whatever the former holder writes fails on the role's key. It
// need not wait for the former holder's lease (docs/duties.md).
#pragma once
#include <array>
#include <optional>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/roles/role_lease.hpp"
#include "dunlinknot/roles/role_records.hpp"

namespace dunlinknot::roles {

class RoleHolder {
 public:
  RoleHolder(cluster::LeaderContext& context, kv::Client& store);

  // Takes all singleton roles; tries until they are held, the term ends, or a record forbids it.
  enum class Acquired : uint8_t { held, term_over, halted };
  Task<Acquired> acquire(uint64_t term);
  // Renews them, and takes them again when they are not held.
  Task<void> keep(uint64_t term);
  // Gives them up, so that nobody has to wait for the lease's end.
  Task<void> release();
  // The term is over: nothing may be done any more.
  void lose();

  bool may_act(Role role) const;
  LeaseState state(Role role) const;
  uint64_t fencing_token(Role role) const { return lease(role).grant().fencing_token; }
  // What every transaction under the role has to guard.
  std::vector<kv::Compare> compares(Role role) const;
  // What became of a transaction under the role: its guards may tell that it is lost.
  void apply_result(Role role, const kv::TransactionResult& result, Instant sent);
  // After a transaction under the role without an answer: gives the role's key a new mod revision,
  // so that the transaction cannot be carried out any more. What is read afterwards is final. False
  // when that is not known to have worked.
  Task<bool> settle_writes(uint64_t term, Role role);

 private:
  struct ModRevisions {  // of the singleton roles' keys, as they were read
    std::array<uint64_t, kAllRoles.size()> role{};
    uint64_t token_mod_revision = 0;
    uint64_t fencing_token = 0;
  };
  Task<bool> try_acquire(uint64_t term);
  Task<std::optional<ModRevisions>> read_mod_revisions(uint64_t term);
  Task<bool> acquire_role(uint64_t term, Role role, ModRevisions& mod_revisions);
  Task<std::optional<uint64_t>> own_mod_revision(uint64_t term, Role role, uint64_t fencing_token);
  Task<bool> prove();
  bool all_held() const;
  RoleLease& lease(Role role) { return leases_[static_cast<size_t>(role)]; }
  const RoleLease& lease(Role role) const { return leases_[static_cast<size_t>(role)]; }

  cluster::LeaderContext& context_;
  kv::Client& store_;
  std::array<RoleLease, kAllRoles.size()> leases_;
  std::array<bool, kAllRoles.size()> writes_unsettled_{};
  std::array<Instant, kAllRoles.size()>
      rewritten_at_{};   // when the key last had a new mod revision from us
  bool halted_ = false;  // the record of the last fencing token cannot be read
  uint64_t grant_ = 0;  // the key-value store's lease, to which the singleton roles' keys are bound
};

}  // namespace dunlinknot::roles
