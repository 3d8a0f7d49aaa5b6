// The records that controllers keep in the key-value store, and their keys.
//
//   leader     the current leader, bound to its lease
//   epoch      the last epoch
//   catalog    the last known machine types
//   job/ID     an open job
//   final/ID   the result of a closed job, kept forever
//   done/ID/n  the completed tasks of chunk n
//   host/VM    the allocations on the machine VM
#pragma once
#include <map>

#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::wire {

inline constexpr std::string_view kLeaderKey = "leader";
inline constexpr std::string_view kEpochKey = "epoch";
inline constexpr std::string_view kCatalogKey = "catalog";
inline constexpr std::string_view kJobPrefix = "job/";
inline constexpr std::string_view kFinalPrefix = "final/";
inline constexpr std::string_view kDonePrefix = "done/";
inline constexpr std::string_view kMachinePrefix = "host/";

std::string job_key(std::string_view id);
std::string final_key(std::string_view id);
std::string done_key(std::string_view id, uint32_t chunk);
std::string machine_key(std::string_view machine);
// The part of `key` after `prefix`; empty if `key` does not start with `prefix`.
std::string_view after_prefix(std::string_view key, std::string_view prefix);
// The job id and the chunk of a key done/ID/n.
std::optional<std::pair<std::string, uint32_t>> parse_done_key(std::string_view key);

// An open job, stored under job/ID.
struct JobRecord {
  JobSpec spec;
  WallTime submitted{};
};
std::string write_job_record(const JobRecord& record);
std::optional<JobRecord> read_job_record(View value);
// Reads only the number of tasks; 0 if it cannot be read.
uint32_t read_job_record_tasks(View value);

// The result of a closed job, stored under final/ID.
struct FinalRecord {
  bool cancelled = false;
  uint32_t tasks = 0;
};
std::string write_final(const FinalRecord& record);
std::optional<FinalRecord> read_final(View value);

// The current leader, stored under `leader`.
struct LeaderRecord {
  std::string node;
  uint64_t epoch = 0;
};
std::string write_leader(const LeaderRecord& record);
std::optional<LeaderRecord> read_leader(View value);
std::string write_epoch(uint64_t epoch);
std::optional<uint64_t> read_epoch(View value);

// Tasks covered by one chunk of completed tasks. Each hexadecimal digit of a chunk covers four
// tasks.
inline constexpr uint32_t kChunkTasks = 8192;
// Number of a chunk's tasks, counted from its first, that fit in a record of at most `value_bytes`.
uint32_t storable_chunk_tasks(size_t value_bytes);
// Writes the completed tasks of `chunk`, but only the first `storable` tasks of the chunk.
std::string write_done_chunk(const std::vector<bool>& done, uint32_t chunk,
                             uint32_t storable = kChunkTasks);
// Marks the completed tasks in `done`. Returns false if the record is malformed.
bool read_done_chunk(View value, uint32_t chunk, std::vector<bool>& done);

// The allocations on a machine. The record includes team and resources, so that an allocation still
// counts against its team's limit when its job is closed and the job's record is deleted.
struct MachineRecord {
  // The allocated tasks of one job.
  struct Group {
    std::string job;
    std::string team;
    Resources need;  // of each task
    bool gang = false;
    std::vector<std::pair<uint32_t, uint64_t>> tasks;  // index, attempt
  };
  std::string type;
  std::string zone;
  std::string address;
  bool spot = false;
  std::vector<Group> groups;
};
std::string write_machine_record(const MachineRecord& record);
std::optional<MachineRecord> read_machine_record(View value);

// Upper bounds of the bytes that the parts of a machine record add to its size in JSON.
size_t machine_record_size(std::string_view type, std::string_view zone, std::string_view address);
size_t machine_group_size(std::string_view job, std::string_view team, const Resources& need);
size_t machine_task_size(uint32_t index, uint64_t attempt);

}  // namespace dunlinknot::wire
