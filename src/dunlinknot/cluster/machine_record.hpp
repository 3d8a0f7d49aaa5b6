// The record of a machine in the key-value store: its contents and the size it will have.
#pragma once
#include <cstddef>
#include <cstdint>

#include "dunlinknot/cluster/job.hpp"
#include "dunlinknot/cluster/machine.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::cluster {

// Bytes that a job adds to a machine's record at most.
struct RecordCost {
  size_t group_bytes = 0;  // once, however many of its tasks are there
  size_t task_bytes = 0;   // with each task
};

// Attempts are numbered from this bit upwards by the leader's epoch, and below it by the leader.
constexpr unsigned kAttemptEpochShift = 24;

// What the store has to hold: every allocation, whatever its phase.
wire::MachineRecord machine_record(const Machine& machine);
// An upper bound of the size of that record in JSON, without building it.
size_t machine_record_size(const Machine& machine);
// What one more task of the job would add, with any attempt number of this epoch.
RecordCost machine_record_cost(const Job& job, uint64_t epoch);

}  // namespace dunlinknot::cluster
