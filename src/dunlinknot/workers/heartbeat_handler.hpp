// Responds to the workers' heartbeats. The responses carry the commands for the workers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/http/message.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/workers/lease_renewal_policy.hpp"

namespace dunlinknot::workers {

// Serves POST wire::kHeartbeatPath on every node, leader or not. All functions run on the event
// loop. The cluster state is only accessed under the lock of LeaderContext::leader_state.
class HeartbeatHandler {
 public:
  // The referenced objects must outlive the handler.
  HeartbeatHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                   const LeaseRenewalPolicy& renewal_policy);

  // Applies one heartbeat and responds with 200 and commands, 400 if the heartbeat cannot be
  // parsed, 421 with the leader's name if another node leads, or 503 if this node may not renew
  // leases now or the heartbeat is outdated. May suspend for up to a second while an allocation for
  // this worker becomes durable.
  Task<http::Response> handle(std::string body);
  // Releases the responses that are held back for a `run`, until the term ends. Spawned once in
  // each term.
  Task<void> release_responses(uint64_t term);

  // When this node last received a heartbeat, whatever the response was; empty before the first
  // one.
  std::optional<Instant> last_heartbeat() const { return last_heartbeat_; }
  // When the last heartbeat that got a 200 response was received.
  Instant last_answered_heartbeat() const { return last_answered_heartbeat_; }

 private:
  enum class ResponseType : uint8_t {
    commands,     // the heartbeat was accepted: the worker's lease is renewed
    misdirected,  // another node leads
    unavailable,  // no lease may be renewed now, or the heartbeat is outdated: the worker retries
    unreadable,   // the body is not a valid heartbeat
  };
  // The response to a heartbeat, before it is encoded.
  struct ResponseContent {
    ResponseType type = ResponseType::unavailable;
    std::vector<Command> commands;  // only with ResponseType::commands
  };

  bool may_answer() const;
  cluster::HeartbeatResponse apply(const Heartbeat& heartbeat, Instant now);
  ResponseContent response_content(const Heartbeat& heartbeat, cluster::HeartbeatResponse response);
  http::Response encode_response(const ResponseContent& content) const;
  Task<void> await_run(std::string machine);

  cluster::LeaderContext& context_;
  leadership::Elector& elector_;
  const LeaseRenewalPolicy& renewal_policy_;
  std::optional<Instant> last_heartbeat_;
  Instant last_answered_heartbeat_{};
  uint64_t unreadable_count_ = 0;
  // By machine id: the event that releases the response held back for a `run`. Each event is owned
  // by the coroutine frame of await_run().
  std::unordered_map<std::string, AutoResetEvent*> waiting_responses_;
};

}  // namespace dunlinknot::workers
