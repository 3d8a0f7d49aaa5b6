// Dealings with the workers: their heartbeats, and direct calls for stops.
#pragma once
#include <functional>
#include <unordered_map>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/client.hpp"
#include "dunlinknot/http/message.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::workers {

class HeartbeatHandler {
 public:
  // `may_renew`: whether a worker's lease may still be renewed (safety 2).
  HeartbeatHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                   std::function<bool()> may_renew, http::Transport& transport);

  Task<http::Response> handle(std::string body);
  Task<void> call_stops(uint64_t term);
  Task<void> release_responses(uint64_t term);  // wakes the answers that wait for a `run`

  bool ever_received() const { return ever_; }
  Instant last_heartbeat() const { return last_heartbeat_; }  // any worker reached us
  Instant last_answered_heartbeat() const {
    return last_answered_heartbeat_;
  }  // and we answered it as the leader

 private:
  Task<void> call_stop(uint64_t term, cluster::StopCall call);
  Task<void> await_run(std::string machine);

  cluster::LeaderContext& context_;
  leadership::Elector& elector_;
  std::function<bool()> may_renew_;
  http::Transport& transport_;
  bool ever_ = false;
  Instant last_heartbeat_{};
  Instant last_answered_heartbeat_{};
  uint64_t bad_ = 0;
  size_t calling_ = 0;
  std::unordered_map<std::string, AutoResetEvent*> waiting_;  // by machine: the answer that waits
};

}  // namespace dunlinknot::workers
