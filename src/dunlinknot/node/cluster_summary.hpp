// Totals of the cluster for the periodic log: machines, allocations, and services' replicas.
#pragma once
#include <map>
#include <string>

#include "dunlinknot/cluster/cluster.hpp"

namespace dunlinknot::node {

// Totals over the machines that are up, and over the open jobs.
struct ClusterTotals {
  size_t machines = 0;
  size_t machines_up = 0;
  Resources size;
  Resources used;

  // Tasks by what their workers last reported.
  size_t running = 0;
  size_t fetching = 0;
  size_t in_transition = 0;  // starting or stopping
  size_t queued = 0;         // on a machine, until a task there ends
  size_t waiting = 0;        // not allocated
  // Allocations that no heartbeat has shown yet, by the step that they wait for.
  size_t planned = 0;           // for their record to be written
  size_t durable = 0;           // for a heartbeat to answer with the `run`
  size_t sent = 0;              // for the worker to report the task
  size_t records_to_write = 0;  // machines whose stored record is out of date

  // Replicas of services.
  size_t replicas_wanted = 0;
  size_t replicas_running = 0;
};

// Totals over the machines of one type that are up.
struct MachineTypeTotals {
  size_t machines = 0;
  Resources size;
  Resources used;
  // Work that needs no accelerators.
  Resources gangs;
  Resources arrays;
};

// Both are called under the lock of the cluster state and cost one pass over the machines.
ClusterTotals total(const cluster::Cluster& cluster);
std::map<std::string, MachineTypeTotals> totals_by_type(const cluster::Cluster& cluster);

// Log lines at `info`; the phases of allocations and the totals by type only at `debug`.
void log_totals(const ClusterTotals& totals);
void log_totals_by_type(const std::map<std::string, MachineTypeTotals>& types);
// How many replicas were run again, by cause; logs nothing when none was.
void log_restarts(const cluster::ReplicaRestarts& restarts);

}  // namespace dunlinknot::node
