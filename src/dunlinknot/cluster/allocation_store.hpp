// The leader's records in the key-value store: allocations are durable before their `run`,
// completions before they are acknowledged to anybody. The parts are under allocation_store/.
#pragma once
#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/job_watcher.hpp"
#include "dunlinknot/cluster/allocation_store/machine_record_writer.hpp"
#include "dunlinknot/cluster/allocation_store/progress_writer.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"
#include "dunlinknot/cluster/allocation_store/state_loader.hpp"
#include "dunlinknot/cluster/allocation_store/store_access.hpp"

namespace dunlinknot::cluster {

// The parts together. The daemon awaits `load` at failover and then spawns the other three
// coroutines, which end with the term. Runs on the context's event loop.
class AllocationStore {
 public:
  // All three must outlive it.
  AllocationStore(LeaderContext& context, kv::Client& store, AllocationStoreHandler& handler);
  // The parts refer to one another.
  AllocationStore(const AllocationStore&) = delete;
  AllocationStore& operator=(const AllocationStore&) = delete;

  // Reads everything a new leader needs; false when the term ended meanwhile.
  Task<bool> load(uint64_t term);
  // Writes the records of machines and deletes dead records, until the term ends.
  Task<void> store_machines(uint64_t term);
  // Writes the progress and the ends of jobs, until the term ends.
  Task<void> store_progress(uint64_t term) { return progress_writer_.run(term); }
  // Follows submissions and cancellations, until the term ends.
  Task<void> watch_jobs(uint64_t term) { return watcher_.run(term); }
  // Another node reports that the job was cancelled; the watch will show it too.
  void apply_cancellation(const std::string& id) { watcher_.apply_cancellation(id); }
  // Every change of the open jobs up to this revision has been carried out here.
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
