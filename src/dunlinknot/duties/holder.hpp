// Takes the duties for the leader, keeps them and gives them up.
//
// Only the leader stands for them, and takes them at once, whoever held them: the transaction
// guards the epoch, and from then on whatever the former holder writes fails on the duty's key. It
// need not wait for the former holder's lease (docs/duties.md).
#pragma once
#include <array>
#include <optional>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/duties/lease.hpp"
#include "dunlinknot/duties/records.hpp"
#include "dunlinknot/state/client.hpp"

namespace dunlinknot::duties {

class Holder {
 public:
  Holder(cluster::LeaderContext& context, state::Client& state);

  // Takes all duties; tries until they are held, the term ends, or a record forbids it.
  enum class Acquired : uint8_t { held, term_over, halted };
  Task<Acquired> acquire(uint64_t term);
  // Renews them, and takes them again when they are not held.
  Task<void> keep(uint64_t term);
  // Gives them up, so that nobody has to wait for the lease's end.
  Task<void> release();
  // The term is over: nothing may be done any more.
  void lose();

  bool may_act(Duty duty) const;
  LeaseState state(Duty duty) const;
  uint64_t token(Duty duty) const { return lease(duty).holding().token; }
  // What every transaction under the duty has to guard.
  std::vector<state::Guard> guards(Duty duty) const;
  // What became of a transaction under the duty: its guards may tell that it is lost.
  void take_result(Duty duty, const state::TxnResult& result, Instant sent);
  // After a transaction under the duty without an answer: gives the duty's key a new mod revision,
  // so that the transaction cannot be carried out any more. What is read afterwards is final. False
  // when that is not known to have worked.
  Task<bool> settle_writes(uint64_t term, Duty duty);

 private:
  struct ModRevisions {  // of the duties' keys, as they were read
    std::array<uint64_t, kAllDuties.size()> duty{};
    uint64_t token_mod_revision = 0;
    uint64_t token = 0;
  };
  Task<bool> try_acquire(uint64_t term);
  Task<std::optional<ModRevisions>> read_mod_revisions(uint64_t term);
  Task<bool> take(uint64_t term, Duty duty, ModRevisions& mod_revisions);
  Task<std::optional<uint64_t>> own_mod_revision(uint64_t term, Duty duty, uint64_t token);
  Task<bool> prove();
  bool all_held() const;
  Lease& lease(Duty duty) { return leases_[static_cast<size_t>(duty)]; }
  const Lease& lease(Duty duty) const { return leases_[static_cast<size_t>(duty)]; }

  cluster::LeaderContext& context_;
  state::Client& state_;
  std::array<Lease, kAllDuties.size()> leases_;
  std::array<bool, kAllDuties.size()> writes_unsettled_{};
  std::array<Instant, kAllDuties.size()>
      rewritten_at_{};   // when the key last had a new mod revision from us
  bool halted_ = false;  // the record of the last token cannot be read
  uint64_t grant_ = 0;   // the state service's lease, to which the duties' keys are bound
};

}  // namespace dunlinknot::duties
