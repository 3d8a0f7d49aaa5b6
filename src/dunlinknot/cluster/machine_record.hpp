// The contents and the size of a machine's record in the key-value store.
#pragma once
#include <cstddef>
#include <cstdint>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/machine.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

// Upper bounds of the bytes that a job adds to a machine's record.
struct RecordCost {
  size_t group_bytes = 0;  // once per job
  size_t task_bytes = 0;   // per task
};

// The bits of an attempt number from this one upwards are the leader's epoch; the lower bits are
// numbered consecutively by the leader.
constexpr unsigned kAttemptEpochShift = 24;

// The record to store: it contains every allocation, regardless of its phase.
wire::MachineRecord machine_record(const Machine& machine);
// An upper bound of the size of that record in bytes of JSON, computed without building it.
size_t machine_record_size(const Machine& machine);
// The cost of one more task of the job, with any attempt number of this epoch.
RecordCost machine_record_cost(const Job& job, uint64_t epoch);

}  // namespace dunlinknot::cluster
