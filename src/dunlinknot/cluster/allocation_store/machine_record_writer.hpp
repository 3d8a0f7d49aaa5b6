// Writing what is allocated on each machine.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"
#include "dunlinknot/cluster/allocation_store/record_cleaner.hpp"

namespace dunlinknot::cluster {

// Writes the records of machines whose allocations changed, several in one transaction. An
// allocation is durable before its `run` is sent (safety 1). A transaction compares `epoch`, the
// records it writes, and the records of the jobs that it adds allocations of (safety 3).
class MachineRecordWriter {
 public:
  MachineRecordWriter(const StoreAccess& access, const JobRecords& jobs, RecordCleaner& cleaner)
      : access_(access), jobs_(jobs), cleaner_(cleaner) {}
  // Writes a batch; with `include_shrunk`, also records that only lost entries. Returns whether
  // there may be more to write at once.
  Task<bool> write_some(uint64_t term, bool include_shrunk);

 private:
  struct MachineWrite {
    std::string id;
    uint64_t mod_revision = 0;  // that the record is expected to have
    wire::MachineRecord record;
  };
  struct Batch {  // one transaction
    std::vector<MachineWrite> machines;
    std::set<std::string> jobs;  // with new allocations: their records are compared
    size_t bytes = 0;            // of the values as JSON, estimated
    kv::Transaction txn;
  };
  struct Applied {  // what a transaction's result made necessary
    Effects effects;
    std::vector<std::string> changed_jobs;  // whose record was not what the leader took it for
  };
  Task<void> reread_unknown(uint64_t term);
  std::vector<std::string> unknown_machines() const;
  Effects apply_stored(const std::string& id, const kv::GetResult& got) const;

  Batch collect(Cluster& cluster, bool include_shrunk) const;
  void collect_dirty(Batch& batch, Cluster& cluster) const;
  void collect_shrunk(Batch& batch, Cluster& cluster) const;
  bool add_record(Batch& batch, Cluster& cluster, Machine& machine) const;
  bool full(const Batch& batch) const;
  size_t compares_left(const Batch& batch) const;

  Applied apply_result(Cluster& cluster, const Batch& batch, const kv::TransactionResult& result);
  Effects apply_write(Cluster& cluster, const MachineWrite& write,
                      const kv::TransactionResult& result);

  const StoreAccess& access_;
  const JobRecords& jobs_;
  RecordCleaner& cleaner_;
  bool mod_revisions_unknown_ = false;  // of some machine's record; to be reread first
};

}  // namespace dunlinknot::cluster
