// Writes the records of machines, which contain their allocations.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"

namespace dunlinknot::cluster {

// Writes the records of machines whose allocations changed, several per transaction. An allocation
// is durable before its `run` is sent (safety 1: no task runs twice). A transaction compares
// `epoch`, the records that it writes, and the records of the jobs to which it adds allocations
// (safety 3: completions and cancellations are durable, so no task of a closed job starts).
class MachineRecordWriter {
 public:
  MachineRecordWriter(const StoreAccess& access, const JobRecords& jobs, RecordCleaner& cleaner)
      : access_(access), jobs_(jobs), cleaner_(cleaner) {}
  // Writes a batch; with `include_shrunk`, also records that only lost entries. Returns whether
  // there may be more to write immediately.
  Task<bool> write_some(uint64_t term, bool include_shrunk);

 private:
  struct MachineWrite {
    std::string id;
    uint64_t mod_revision = 0;  // expected mod revision of the record
    wire::MachineRecord record;
  };
  struct Batch {  // the contents of one transaction
    std::vector<MachineWrite> machines;
    std::set<std::string> jobs;  // jobs with new allocations, whose records are compared
    size_t bytes = 0;            // an upper bound of the transaction's size in JSON
    kv::Transaction txn;
  };
  struct Applied {  // the follow-up work that the result of a transaction requires
    Effects effects;
    std::vector<std::string> changed_jobs;  // jobs whose record had an unexpected mod revision
  };
  Task<void> reread_unknown(uint64_t term);
  std::vector<std::string> machines_to_reread() const;
  Effects apply_stored(const std::string& id, const kv::GetResult& got) const;

  Batch collect(Cluster& cluster, bool include_shrunk) const;
  void collect_dirty(Batch& batch, Cluster& cluster) const;
  void collect_shrunk(Batch& batch, Cluster& cluster) const;
  bool add_record(Batch& batch, Cluster& cluster, Machine& machine) const;
  size_t max_machines() const;
  bool full(const Batch& batch) const;
  size_t compares_left(const Batch& batch) const;

  Applied apply_result(Cluster& cluster, const Batch& batch, const kv::TransactionResult& result);
  Effects apply_write(Cluster& cluster, const MachineWrite& write,
                      const kv::TransactionResult& result);
  Effects apply_rejection(Cluster& cluster, const Batch& batch);

  const StoreAccess& access_;
  const JobRecords& jobs_;
  RecordCleaner& cleaner_;
  bool mod_revisions_unknown_ = false;  // some machine's record must be reread before writing
  // Records per transaction: fewer after a transaction that the store rejects for a reason that is
  // not known, so that one such record does not keep the others from being written.
  size_t max_machines_ = StoreAccess::kMaxWrites;
};

}  // namespace dunlinknot::cluster
