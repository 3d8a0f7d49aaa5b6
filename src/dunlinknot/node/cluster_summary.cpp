#include "dunlinknot/node/cluster_summary.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::node {

namespace {

using cluster::Allocation;
using cluster::Machine;
using cluster::Phase;

bool is_up(const Machine& h) {
  return h.has_heartbeat && !h.lost;
}

void add_allocation(ClusterTotals& totals, const Allocation& b) {
  if (b.queued) {
    ++totals.queued;
    return;
  }
  totals.planned += b.phase == Phase::planned ? 1 : 0;
  totals.durable += b.phase == Phase::durable ? 1 : 0;
  totals.sent += b.phase == Phase::sent ? 1 : 0;
  const bool seen = b.phase == Phase::seen;
  if (seen && b.state == TaskState::fetching) {
    ++totals.fetching;
  } else if (seen && b.state == TaskState::running) {
    ++totals.running;
  } else {
    ++totals.in_transition;
  }
}

}  // namespace

ClusterTotals total(const cluster::Cluster& cluster) {
  ClusterTotals totals;
  totals.machines = cluster.machines().size();
  totals.records_to_write = cluster.dirty_machine_count();
  for (const auto& [id, h] : cluster.machines()) {
    if (!is_up(*h)) continue;
    ++totals.machines_up;
    totals.size += h->size;
    totals.used += h->used;
    for (const Allocation& b : h->allocations) add_allocation(totals, b);
  }
  for (const auto& [id, j] : cluster.jobs()) {
    totals.waiting += j->pending();
    if (!j->spec().service) continue;
    totals.replicas_wanted += j->spec().tasks;
    totals.replicas_running += j->running;
  }
  return totals;
}

std::map<std::string, MachineTypeTotals> totals_by_type(const cluster::Cluster& cluster) {
  std::map<std::string, MachineTypeTotals> types;
  for (const auto& [id, h] : cluster.machines()) {
    if (!is_up(*h)) continue;
    MachineTypeTotals& t = types[h->type];
    ++t.machines;
    t.size += h->size;
    t.used += h->used;
    for (const Allocation& b : h->allocations) {
      if (!b.queued && b.need.gpus <= 0) (b.gang ? t.gangs : t.arrays) += b.need;
    }
  }
  return types;
}

void log_totals(const ClusterTotals& t) {
  spdlog::debug("allocations: {} planned, {} durable, {} sent; {} records to write", t.planned,
                t.durable, t.sent, t.records_to_write);
  spdlog::info(
      "cluster: {} of {} machines up, {:.0f} of {:.0f} cpus and {:.0f} of {:.0f} gpus allocated; "
      "tasks: {} running, {} fetching, {} starting or stopping, {} queued on machines, {} waiting",
      t.machines_up, t.machines, t.used.cpus, t.size.cpus, t.used.gpus, t.size.gpus, t.running,
      t.fetching, t.in_transition, t.queued, t.waiting);
  if (t.replicas_wanted > 0) {
    spdlog::info("services: {} of {} replicas running", t.replicas_running, t.replicas_wanted);
  }
}

void log_totals_by_type(const std::map<std::string, MachineTypeTotals>& types) {
  for (const auto& [name, t] : types) {
    spdlog::debug(
        "{}: {} machines, {:.0f} of {:.0f} cpus, {:.0f} of {:.0f} gpus allocated; work without "
        "accelerators: gangs {:.0f} cpus, arrays {:.0f} cpus",
        name, t.machines, t.used.cpus, t.size.cpus, t.used.gpus, t.size.gpus, t.gangs.cpus,
        t.arrays.cpus);
  }
}

void log_restarts(const cluster::ReplicaRestarts& r) {
  if (r.machine_lost + r.moved + r.preempted + r.ended == 0) return;
  spdlog::info(
      "replicas run again since the failover: {} machine lost, {} moved, {} preempted, {} ended",
      r.machine_lost, r.moved, r.preempted, r.ended);
}

}  // namespace dunlinknot::node
