// What the service keeps in the key-value store, and under which keys.
//
//   leader            lease-bound: who leads            epoch      the number of leaderships so far
//   job/ID            an open job                       final/ID   how a job ended, kept forever
//   done/ID/n         which tasks of chunk n are done   host/VM    what the leader allocated on VM
//   catalog           the machine types last seen
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
std::string_view after_prefix(std::string_view key, std::string_view prefix);
std::optional<std::pair<std::string, uint32_t>> parse_done_key(std::string_view key);

// An open job, under job/ID.
struct JobRecord {
  JobSpec spec;
  WallTime submitted{};
};
std::string write_job_record(const JobRecord& record);
std::optional<JobRecord> read_job_record(View value);
// Only the number of tasks; 0 when it cannot be read.
uint32_t read_job_record_tasks(View value);

// How a job ended, under final/ID.
struct FinalRecord {
  bool cancelled = false;
  uint32_t tasks = 0;
};
std::string write_final(const FinalRecord& record);
std::optional<FinalRecord> read_final(View value);

// Who leads, under leader.
struct LeaderRecord {
  std::string node;
  uint64_t epoch = 0;
};
std::string write_leader(const LeaderRecord& record);
std::optional<LeaderRecord> read_leader(View value);
std::string write_epoch(uint64_t epoch);
std::optional<uint64_t> read_epoch(View value);

// A chunk covers kChunkTasks tasks, four in a character.
inline constexpr uint32_t kChunkTasks = 8192;
// How many of a chunk's tasks, from its first, a record of at most so many bytes can tell of.
uint32_t storable_chunk_tasks(size_t value_bytes);
std::string write_done_chunk(const std::vector<bool>& done, uint32_t chunk,
                             uint32_t storable = kChunkTasks);
bool read_done_chunk(View value, uint32_t chunk, std::vector<bool>& into);

// What is allocated on a machine. Team and amounts stand here too, so that an allocation still
// counts against its team's limit when its job is over and its record gone.
struct MachineRecord {
  struct Group {
    std::string job;
    std::string team;
    Resources need;
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

// Upper bounds of what the parts of a machine's record add to its size in JSON.
size_t machine_record_size(std::string_view type, std::string_view zone, std::string_view address);
size_t machine_group_size(std::string_view job, std::string_view team, const Resources& need);
size_t machine_task_size(uint32_t index, uint64_t attempt);

}  // namespace dunlinknot::wire
