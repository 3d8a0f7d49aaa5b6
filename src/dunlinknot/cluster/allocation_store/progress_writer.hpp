// Writes the progress and the completion of jobs.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/cluster/allocation_store/job_records.hpp"

namespace dunlinknot::cluster {

// Writes the completed tasks of jobs, in chunks, and the completion of jobs. Both are durable
// before they are acknowledged to a user or a worker. A transaction compares `epoch`, the records
// that it writes, and the records of the jobs concerned.
class ProgressWriter {
 public:
  ProgressWriter(const StoreAccess& access, const JobRecords& jobs)
      : access_(access), jobs_(jobs) {}
  // Runs until the term ends.
  Task<void> run(uint64_t term);

 private:
  struct ChunkWrite {
    std::string job;
    uint32_t chunk = 0;
    std::vector<bool> bits;  // the done tasks as written, with an entry for each task of the job
  };
  struct FinishedJob {
    std::string id;
    uint32_t tasks = 0;
  };
  struct Batch {  // the contents of one transaction
    std::vector<ChunkWrite> chunks;
    std::vector<FinishedJob> finished;
    std::set<std::string> jobs;
    kv::Transaction txn;
  };
  Task<bool> write_some(uint64_t term);
  Batch collect(const Cluster& cluster, bool include_open) const;
  void add_completion(Batch& batch, const Job& job) const;
  void add_chunks(Batch& batch, const Job& job) const;
  void schedule_next_open(const Batch& batch);

  void apply_stored(const Batch& batch, uint64_t revision) const;
  Task<bool> reread(uint64_t term, Batch batch, kv::TransactionResult result) const;
  void apply_reread(const ChunkWrite& chunk, const kv::GetResult& got) const;

  const StoreAccess& access_;
  const JobRecords& jobs_;
  Instant next_open_{};        // earliest time of the next write of progress of open jobs
  std::string last_open_job_;  // id of the job whose progress was written last
};

}  // namespace dunlinknot::cluster
