// The leader's writing in the key-value store: allocations before their `run`, completions before
// they are told or forgotten. Every transaction guards `epoch` and the mod revisions of what it
// changes.
#pragma once
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::cluster {

class AllocationStore {
 public:
  struct Hooks {
    std::function<void(std::string_view why)> deposed;  // a guard on `epoch` failed
    std::function<void(const std::string& id, uint32_t tasks)> finished;  // `done` is durable
    // All cancellations that stood when a read was sent at `sent` have been carried out here.
    std::function<void(Instant sent)> caught_up;
    // What a removal of records has to guard; nothing while this node may not remove any.
    std::function<std::optional<std::vector<kv::Compare>>()> cleanup_compares;
    // Such a removal, sent at `sent` by the clock that counts suspended time, was answered.
    std::function<void(const kv::TransactionResult&, Instant sent)> cleanup_result;
  };
  AllocationStore(LeaderContext& context, kv::Client& store, Hooks hooks);

  // Reads everything a new leader needs; false when the term ended meanwhile.
  Task<bool> load(uint64_t term);
  Task<void> store_machines(uint64_t term);
  Task<void> store_done(uint64_t term);
  Task<void> watch_jobs(uint64_t term);
  void cancelled(const std::string& id);  // another node says so; the watch will too
  // Every change of the open jobs up to this revision has been carried out here.
  uint64_t jobs_revision() const { return jobs_revision_; }

 private:
  static constexpr Millis kCommitTime{1200};  // for one call of the key-value store
  static constexpr Millis kRetry{120};        // after a call that was refused or got no answer
  struct MachineWrite {
    std::string id;
    uint64_t mod_revision = 0;
    wire::MachineRecord record;
  };
  struct MachineBatch {  // one transaction over the records of machines
    std::vector<MachineWrite> machines;
    std::set<std::string> jobs;  // with new allocations there: their records are guarded
    size_t bytes = 0;
    kv::Transaction txn;
  };
  struct ChunkWrite {
    std::string job;
    uint32_t chunk = 0;
    std::vector<bool> bits;
  };
  struct FinishedJob {
    std::string job;
    uint32_t tasks = 0;
  };
  struct ProgressBatch {  // one transaction over the progress and the ends of jobs
    std::vector<ChunkWrite> chunks;
    std::vector<FinishedJob> finished;
    std::set<std::string> jobs;
    kv::Transaction txn;
  };
  using Visit = std::function<void(const kv::KeyValue&)>;
  struct Reading {  // of a listing's first page: what it shows is at least this new
    uint64_t revision = 0;
    Instant sent{};
  };
  Task<bool> list_all(uint64_t term, std::string prefix, Visit visit, Reading& reading);
  Task<void> refresh_machines(uint64_t term);
  static constexpr size_t kMostOps = 16;
  size_t max_ops() const { return std::min(store_.limits().txn_ops(), kMostOps); }
  size_t compares_left(const MachineBatch& batch) const;
  bool add_machine_record(MachineBatch& batch, Cluster& cluster, Machine& machine) const;
  MachineBatch collect_machines(Cluster& cluster, bool trailing) const;
  Effects apply_machines_result(Cluster& cluster, const MachineBatch& batch,
                                const kv::TransactionResult& result,
                                std::vector<std::string>& recheck);
  Task<bool> store_some_machines(uint64_t term, bool trailing);
  Task<bool> delete_some_records(uint64_t term);
  void add_end(ProgressBatch& batch, const Job& job) const;
  void add_chunks(ProgressBatch& batch, const Job& job) const;
  ProgressBatch collect_progress(const Cluster& cluster, bool partial) const;
  void progress_stored(const ProgressBatch& batch, uint64_t revision);
  Task<bool> reread_progress(uint64_t term, const ProgressBatch& batch,
                             const kv::TransactionResult& result);
  void pause_partial(const ProgressBatch& batch);
  Task<bool> store_some_done(uint64_t term);
  Task<void> recheck_job(uint64_t term, std::string id);
  Task<bool> relist_jobs(uint64_t term);
  void apply_job_record(const kv::KeyValue& item);
  Effects close_over(LeaderState& leader, const std::string& id);
  kv::Compare epoch_compare() const;
  Task<void> await_budget(uint64_t term, double writes);

  LeaderContext& context_;
  kv::Client& store_;
  Hooks hooks_;
  uint64_t jobs_revision_ = 0;
  bool mod_revisions_unknown_ = false;
  Instant next_partial_{};        // when the progress of open jobs is written next
  std::string last_partial_job_;  // the last one whose progress was written
  std::deque<std::pair<std::string, uint64_t>> garbage_;  // keys to delete when there is time
};

}  // namespace dunlinknot::cluster
