// Logs what this node did since the last line: refusals and the like are counted, not logged one by
// one.
#pragma once
#include <cstdint>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/server.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/node/leader_loop.hpp"

namespace dunlinknot::node {

// Counts since the start of this process.
struct Counters {
  uint64_t accepted = 0;     // jobs
  uint64_t refused = 0;      // users' requests that were told to come back later
  uint64_t throttled = 0;    // calls of the key-value store over the budget
  uint64_t turned_away = 0;  // connections over the limit
  uint64_t preemptions = 0;  // tasks
};

// Reads the counters of the other parts and logs the difference. Event loop only.
class CounterLog {
 public:
  // The referenced objects outlive the log.
  CounterLog(cluster::LeaderContext& context, const leadership::Elector& elector,
             const jobs::RequestHandler& jobs, const kv::Client& store,
             const LeaderLoop& leader_loop);

  // Counts this server's connections too, from now on; before, their number is logged as 0.
  void include(const http::Server& server) { server_ = &server; }
  // Logs every 30 s, with the cluster's totals while this node leads. Never returns.
  Task<void> run();

 private:
  Counters read() const;
  void log_cluster();

  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  const jobs::RequestHandler& jobs_;
  const kv::Client& store_;
  const LeaderLoop& leader_loop_;
  const http::Server* server_ = nullptr;
};

}  // namespace dunlinknot::node
