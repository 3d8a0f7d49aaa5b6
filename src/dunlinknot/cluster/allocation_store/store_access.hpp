// What the components of the allocation store share: the leader's state, the key-value store with
// its write budget, and the handler of events.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::cluster {

// The interface of the daemon to the allocation store. All functions are called on the event loop,
// without the leader state's lock, and must not suspend.
class AllocationStoreHandler {
 public:
  virtual ~AllocationStoreHandler() = default;
  // A compare on `epoch` failed: another node is the leader in a later epoch.
  virtual void on_epoch_superseded() = 0;
  // The completion of a job with `tasks` tasks is durable.
  virtual void on_job_finished(const std::string& id, uint32_t tasks) = 0;
  // All cancellations that were stored before `sent`, the time of a read request, have been applied
  // to the leader's state.
  virtual void on_cancellations_applied(Instant sent) = 0;
  // The compares for a transaction that deletes obsolete records. Empty while this node must not
  // delete any.
  virtual std::optional<std::vector<kv::Compare>> cleanup_compares() const = 0;
  // The result of such a transaction. `sent`: the time of its request on the clock that includes
  // suspended time.
  virtual void apply_cleanup_result(const kv::TransactionResult& result, Instant sent) = 0;
};

// References that outlive all components, and the limits that apply to all components.
struct StoreAccess {
  static constexpr Millis kCallTimeout{1200};  // for one call to the key-value store
  static constexpr Millis kRetryDelay{120};    // after a call that was refused or got no response

  LeaderContext& context;
  kv::Client& store;
  AllocationStoreHandler& handler;

  // Per transaction, even if the key-value store allows more.
  static constexpr size_t kMaxWrites = 16;
  static constexpr size_t kMaxCompares = 64;

  // The maximum numbers of writes and compares per transaction.
  size_t max_writes() const;
  size_t max_compares() const;
  // Whether enough of the write budget is left for writes that can be delayed.
  bool has_slack() const;
  // Waits until the write budget suffices for `writes` writes in addition to the reserve for users'
  // requests, or until the term ends.
  Task<void> await_budget(uint64_t term, double writes) const;
  // Whether the result shows that another node is the leader. If so, notifies the handler.
  bool superseded(const kv::TransactionResult& result) const;
};

}  // namespace dunlinknot::cluster
