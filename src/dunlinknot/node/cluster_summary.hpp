// Totals of the cluster for the periodic log: machines, allocations and service replicas.
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

  // Tasks by the state that their workers last reported.
  size_t running = 0;
  size_t fetching = 0;
  size_t starting_or_stopping = 0;
  size_t queued = 0;   // allocated on a full machine, until a task there ends
  size_t waiting = 0;  // not allocated
  // Allocations that no heartbeat has reported yet, by phase.
  size_t planned = 0;           // the machine's record is to be written
  size_t durable = 0;           // the record is written; the `run` is to be sent
  size_t sent = 0;              // the `run` was sent; the worker has not reported the task yet
  size_t records_to_write = 0;  // machines whose stored record is outdated

  // Replicas of services.
  size_t replicas_requested = 0;
  size_t replicas_running = 0;
};

// Totals over the machines of one type that are up.
struct MachineTypeTotals {
  size_t machines = 0;
  Resources size;
  Resources used;
  // Allocated to tasks that need no accelerators.
  Resources gangs;
  Resources arrays;
};

// Both have to be called under the lock of the cluster state and iterate over all machines once.
ClusterTotals cluster_totals(const cluster::Cluster& cluster);
std::map<std::string, MachineTypeTotals> totals_by_type(const cluster::Cluster& cluster);

// Log the totals. The phases of allocations and the totals by machine type are logged at `debug`,
// all else at `info`.
void log_totals(const ClusterTotals& totals);
void log_totals_by_type(const std::map<std::string, MachineTypeTotals>& types);
// Logs how many replicas were restarted, by cause. Logs nothing if there were none.
void log_restarts(const cluster::ReplicaRestarts& restarts);

}  // namespace dunlinknot::node
