// What the log tells of the cluster now and then: machines, allocations, and how services fare.
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

  // Tasks by what is known of them.
  size_t running = 0;
  size_t fetching = 0;
  size_t in_transition = 0;  // starting or stopping
  size_t queued = 0;
  size_t waiting = 0;
  // Allocations that wait for their record to be written, for a heartbeat to answer, for the
  // worker.
  size_t planned = 0;
  size_t durable = 0;
  size_t sent = 0;
  size_t records_to_write = 0;

  // Replicas of services.
  size_t replicas_wanted = 0;
  size_t replicas_running = 0;
};

struct MachineTypeTotals {
  size_t machines = 0;
  Resources size;
  Resources used;
  // Work that needs no accelerators.
  Resources gangs;
  Resources arrays;
};

ClusterTotals total(const cluster::Cluster& cluster);
std::map<std::string, MachineTypeTotals> totals_by_type(const cluster::Cluster& cluster);

void log_totals(const ClusterTotals& totals);
void log_totals_by_type(const std::map<std::string, MachineTypeTotals>& types);
// How many replicas had to run again, by cause; silent when none had.
void log_restarts(const cluster::ReplicaRestarts& restarts);

}  // namespace dunlinknot::node
