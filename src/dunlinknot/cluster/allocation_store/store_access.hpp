// What the parts of the allocation store share: the leader's state, the key-value store with its
// budget, and whom to notify.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::cluster {

// What the allocation store reports to, and asks of, the daemon. All calls come from the event
// loop, outside the lock on the leader's state, and must not suspend.
class AllocationStoreHandler {
 public:
  virtual ~AllocationStoreHandler() = default;
  // A compare on `epoch` failed: another node leads under a later one.
  virtual void on_epoch_superseded() = 0;
  // The end of a job, with all its `tasks` completed, is durable.
  virtual void on_job_finished(const std::string& id, uint32_t tasks) = 0;
  // All cancellations that existed when a read was sent at `sent` have been carried out here.
  virtual void on_cancellations_applied(Instant sent) = 0;
  // The compares of a transaction that deletes records; empty while this node may not delete any.
  virtual std::optional<std::vector<kv::Compare>> cleanup_compares() const = 0;
  // The result of such a transaction, sent at `sent` by the clock that counts suspended time.
  virtual void apply_cleanup_result(const kv::TransactionResult& result, Instant sent) = 0;
};

// References that outlive all parts, and the limits that all parts keep to.
struct StoreAccess {
  static constexpr Millis kCommitTime{1200};  // for one call of the key-value store
  static constexpr Millis kRetry{120};        // after a call that was refused or got no answer

  LeaderContext& context;
  kv::Client& store;
  AllocationStoreHandler& handler;

  // The most writes of one transaction.
  size_t max_writes() const;
  // Whether so much of the write budget is left that writes which can wait may use it.
  bool has_slack() const;
  // Waits until the budget has room for so many writes and the users' requests, or the term ends.
  Task<void> await_budget(uint64_t term, double writes) const;
  // Whether the result shows that another node leads; the handler is notified of it.
  bool superseded(const kv::TransactionResult& result) const;
};

}  // namespace dunlinknot::cluster
