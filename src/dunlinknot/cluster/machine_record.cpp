// Building the records of machines and computing their sizes.
#include "dunlinknot/cluster/machine_record.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

wire::MachineRecord machine_record(const Machine& machine) {
  wire::MachineRecord record;
  record.type = machine.type;
  record.zone = machine.zone;
  record.address = machine.address;
  record.spot = machine.spot;
  for (const Allocation& allocation : machine.allocations) {
    auto* group = find_where(
        record.groups, [&](const auto& candidate) { return candidate.job == allocation.task.job; });
    if (!group) {
      record.groups.push_back(
          {allocation.task.job, allocation.team_name, allocation.need, allocation.gang, {}});
      group = &record.groups.back();
    }
    group->tasks.emplace_back(allocation.task.index, allocation.attempt);
  }
  return record;
}

size_t machine_record_size(const Machine& machine) {
  size_t size = wire::machine_record_size(machine.type, machine.zone, machine.address);
  std::vector<std::string_view> jobs;
  for (const Allocation& allocation : machine.allocations) {
    size += wire::machine_task_size(allocation.task.index, allocation.attempt);
    if (std::find(jobs.begin(), jobs.end(), allocation.task.job) != jobs.end()) continue;
    jobs.push_back(allocation.task.job);
    size += allocation.record_group_size;
  }
  return size;
}

RecordCost machine_record_cost(const Job& job, uint64_t epoch) {
  constexpr uint64_t kMaxAttempt = (uint64_t{1} << kAttemptEpochShift) - 1;
  return {job.record_group_size(),
          wire::machine_task_size(job.spec().tasks, epoch << kAttemptEpochShift | kMaxAttempt)};
}

}  // namespace dunlinknot::cluster
