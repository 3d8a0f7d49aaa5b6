// Computes totals over the cluster state and logs them.
#include "dunlinknot/node/cluster_summary.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::node {

namespace {

using cluster::Allocation;
using cluster::Machine;
using Phase = cluster::AllocationPhase;

bool is_up(const Machine& machine) {
  return machine.has_heartbeat && !machine.lost;
}

void add_allocation(ClusterTotals& totals, const Allocation& allocation) {
  if (allocation.queued) {
    ++totals.queued;
    return;
  }
  totals.planned += allocation.phase == Phase::planned ? 1 : 0;
  totals.durable += allocation.phase == Phase::durable ? 1 : 0;
  totals.sent += allocation.phase == Phase::sent ? 1 : 0;
  const bool seen = allocation.phase == Phase::seen;
  if (seen && allocation.state == TaskState::fetching) {
    ++totals.fetching;
  } else if (seen && allocation.state == TaskState::running) {
    ++totals.running;
  } else {
    ++totals.starting_or_stopping;
  }
}

}  // namespace

ClusterTotals cluster_totals(const cluster::Cluster& cluster) {
  ClusterTotals totals;
  totals.machines = cluster.machines().size();
  totals.records_to_write = cluster.dirty_machine_count();
  for (const auto& [id, machine] : cluster.machines()) {
    if (!is_up(*machine)) continue;
    ++totals.machines_up;
    totals.size += machine->size;
    totals.used += machine->used;
    for (const Allocation& allocation : machine->allocations) add_allocation(totals, allocation);
  }
  for (const auto& [id, job] : cluster.jobs()) {
    totals.waiting += job->pending();
    if (!job->spec().service) continue;
    totals.replicas_requested += job->spec().tasks;
    totals.replicas_running += job->running;
  }
  return totals;
}

std::map<std::string, MachineTypeTotals> totals_by_type(const cluster::Cluster& cluster) {
  std::map<std::string, MachineTypeTotals> types;
  for (const auto& [id, machine] : cluster.machines()) {
    if (!is_up(*machine)) continue;
    MachineTypeTotals& totals = types[machine->type];
    ++totals.machines;
    totals.size += machine->size;
    totals.used += machine->used;
    for (const Allocation& allocation : machine->allocations) {
      if (!allocation.queued && allocation.need.gpus <= 0)
        (allocation.gang ? totals.gangs : totals.arrays) += allocation.need;
    }
  }
  return types;
}

void log_totals(const ClusterTotals& totals) {
  spdlog::debug("allocations: {} planned, {} durable, {} sent; {} records to write", totals.planned,
                totals.durable, totals.sent, totals.records_to_write);
  spdlog::info(
      "cluster: {} of {} machines up, {:.0f} of {:.0f} cpus and {:.0f} of {:.0f} gpus allocated; "
      "tasks: {} running, {} fetching, {} starting or stopping, {} queued on machines, {} waiting",
      totals.machines_up, totals.machines, totals.used.cpus, totals.size.cpus, totals.used.gpus,
      totals.size.gpus, totals.running, totals.fetching, totals.starting_or_stopping, totals.queued,
      totals.waiting);
  if (totals.replicas_requested > 0) {
    spdlog::info("services: {} of {} replicas running", totals.replicas_running,
                 totals.replicas_requested);
  }
}

void log_totals_by_type(const std::map<std::string, MachineTypeTotals>& types) {
  for (const auto& [name, totals] : types) {
    spdlog::debug(
        "{}: {} machines, {:.0f} of {:.0f} cpus, {:.0f} of {:.0f} gpus allocated; work without "
        "accelerators: gangs {:.0f} cpus, arrays {:.0f} cpus",
        name, totals.machines, totals.used.cpus, totals.size.cpus, totals.used.gpus,
        totals.size.gpus, totals.gangs.cpus, totals.arrays.cpus);
  }
}

void log_restarts(const cluster::ReplicaRestarts& restarts) {
  if (restarts.machine_lost + restarts.moved + restarts.preempted + restarts.ended == 0) return;
  spdlog::info(
      "replicas run again since the failover: {} machine lost, {} moved, {} preempted, {} ended",
      restarts.machine_lost, restarts.moved, restarts.preempted, restarts.ended);
}

}  // namespace dunlinknot::node
