// The leader's records in the key-value store. An allocation is durable before its `run` is sent,
// and a completion before it is acknowledged to a user or a worker. The components are in
// allocation_store/.
#pragma once
#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/job_watcher.hpp"
#include "dunlinknot/cluster/allocation_store/machine_record_writer.hpp"
#include "dunlinknot/cluster/allocation_store/progress_writer.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"
#include "dunlinknot/cluster/allocation_store/state_loader.hpp"
#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// Combines the components. The daemon awaits `load` at failover and then spawns the other three
// coroutines, which end with the term. Runs on the context's event loop.
class AllocationStore {
 public:
  // `context`, `store` and `handler` must outlive this object.
  AllocationStore(LeaderContext& context, kv::Client& store, AllocationStoreHandler& handler);
  // Not copyable: the components hold references to one another.
  AllocationStore(const AllocationStore&) = delete;
  AllocationStore& operator=(const AllocationStore&) = delete;

  // Reads all records that a new leader needs. Returns false if the term ended meanwhile.
  Task<bool> load(uint64_t term);
  // Writes the records of machines and deletes obsolete records, until the term ends.
  Task<void> store_machines(uint64_t term);
  // Writes the progress and the completion of jobs, until the term ends.
  Task<void> store_progress(uint64_t term) { return progress_writer_.run(term); }
  // Watches submissions and cancellations, until the term ends.
  Task<void> watch_jobs(uint64_t term) { return watcher_.run(term); }
  // Applies a cancellation that another node reported, before the watch delivers it.
  void apply_cancellation(const std::string& id) { watcher_.apply_cancellation(id); }
  // All changes of the open jobs up to this revision have been applied to the leader's state.
  uint64_t jobs_revision() const { return watcher_.revision(); }

 private:
  const StoreAccess access_;
  const JobRecords jobs_;
  RecordCleaner cleaner_;
  StateLoader loader_;
  JobWatcher watcher_;
  MachineRecordWriter machine_writer_;
  ProgressWriter progress_writer_;
};

}  // namespace dunlinknot::cluster
