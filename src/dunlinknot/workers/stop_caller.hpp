// Calls workers directly to stop tasks. This only reduces latency: every stop is also sent in the
// heartbeat responses, so a failed call has no other effect than a delay.
#pragma once
#include <cstddef>
#include <cstdint>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/client.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::workers {

// Runs on the event loop while this node leads. LeaderContext::stops is notified when calls are
// pending, and Cluster::drain_stop_calls() returns them.
class StopCaller {
 public:
  // The referenced objects must outlive the stop caller.
  StopCaller(cluster::LeaderContext& context, leadership::Elector& elector,
             http::Transport& transport);

  // Makes the pending calls, a bounded number at a time, until the term ends. Spawned once in each
  // term.
  Task<void> run(uint64_t term);

 private:
  // The result of a call.
  enum class Result : uint8_t {
    stopped,     // the worker executed the commands
    failed,      // the worker did not execute the commands, or that is unknown
    superseded,  // the worker has accepted a later epoch: this term is over
  };

  Task<void> call(uint64_t term, cluster::StopCall stop);
  http::Call request_for(const cluster::StopCall& stop, http::Endpoint worker) const;
  Result apply_reply(const http::Reply& reply);
  void clear_nominations(const cluster::StopCall& stop);

  cluster::LeaderContext& context_;
  leadership::Elector& elector_;
  http::Transport& transport_;
  size_t calls_in_flight_ = 0;
};

}  // namespace dunlinknot::workers
