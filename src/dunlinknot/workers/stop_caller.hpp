// Calls workers directly to stop tasks. Only for speed: every stop also travels in the answers to
// heartbeats, so a call that fails loses nothing.
#pragma once
#include <cstddef>
#include <cstdint>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/client.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::workers {

// Runs on the event loop of the leader. Cluster::drain_stop_calls() says whom to call;
// LeaderContext::stops says when.
class StopCaller {
 public:
  // The referenced objects outlive the caller.
  StopCaller(cluster::LeaderContext& context, leadership::Elector& elector,
             http::Transport& transport);

  // Makes the calls that the cluster state asks for, a bounded number at a time, until the term
  // ends. One coroutine a term.
  Task<void> run(uint64_t term);

 private:
  // What a call achieved.
  enum class Result : uint8_t {
    stopped,     // the worker took the commands
    failed,      // it did not, or nobody knows
    superseded,  // the worker obeys a later epoch: this term is over
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
