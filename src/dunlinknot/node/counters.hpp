// Periodically logs event counts of this node. Frequent events such as refusals are counted instead
// of being logged individually.
#pragma once
#include <cstdint>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/node/leader_loop.hpp"

namespace dunlinknot::node {

// Event counts since this process started.
struct Counters {
  uint64_t accepted_jobs = 0;         // jobs accepted
  uint64_t unavailable = 0;           // user requests answered with 503
  kv::CallCounts store_calls;         // calls to the key-value store
  uint64_t rejected_connections = 0;  // connections over the server's limit
  uint64_t preemptions = 0;           // tasks preempted
};

// Reads the counters of the other components and logs the difference since the last line. Runs on
// the event loop.
class CounterLog {
 public:
  // The referenced objects must outlive the log.
  CounterLog(cluster::LeaderContext& context, const leadership::Elector& elector,
             const jobs::RequestHandler& jobs, const kv::Client& store,
             const LeaderLoop& leader_loop);

  // Includes the connections of this server from now on. Until then they are logged as 0.
  void set_server(const http::Server& server) { server_ = &server; }
  // Logs the counters every 30 s, and the cluster's totals while this node leads. Never returns.
  Task<void> run();

 private:
  Counters read() const;
  void log_store_calls(const kv::CallCounts& last, const kv::CallCounts& now) const;
  void log_cluster();

  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  const jobs::RequestHandler& jobs_;
  const kv::Client& store_;
  const LeaderLoop& leader_loop_;
  const http::Server* server_ = nullptr;
};

}  // namespace dunlinknot::node
