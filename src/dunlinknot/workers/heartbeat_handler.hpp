// Answers the workers' heartbeats. The commands for a worker travel in these answers.
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
// loop; the cluster state is only touched under the lock of LeaderContext::leader_state.
class HeartbeatHandler {
 public:
  // The referenced objects outlive the handler.
  HeartbeatHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                   const LeaseRenewalPolicy& renewal_policy);

  // Applies one heartbeat and answers it: 200 with commands, 400 when it cannot be read, 421 with
  // the leader's name when another node leads, 503 when this node may not answer now. May suspend
  // for up to a second while a `run` for this worker becomes durable.
  Task<http::Response> handle(std::string body);
  // Releases answers that wait for a `run`, until the term ends. One coroutine a term.
  Task<void> release_responses(uint64_t term);

  // When a worker last reached this node, whether or not it could be answered; empty before the
  // first heartbeat.
  std::optional<Instant> last_heartbeat() const { return last_heartbeat_; }
  // When the last heartbeat that was answered with commands arrived.
  Instant last_answered_heartbeat() const { return last_answered_heartbeat_; }

 private:
  enum class Verdict : uint8_t {
    commands,     // the worker obeys this leader: its lease is renewed
    misdirected,  // another node leads
    unavailable,  // this node may not answer now: the worker tries again
    unreadable,   // not a heartbeat
  };
  // What a heartbeat is answered with.
  struct Decision {
    Verdict verdict = Verdict::unavailable;
    std::vector<Command> commands;  // only with Verdict::commands
  };

  bool may_answer() const;
  cluster::HeartbeatResponse apply(const Heartbeat& heartbeat, Instant now);
  Decision decide(const Heartbeat& heartbeat, cluster::HeartbeatResponse response);
  http::Response respond(const Decision& decision) const;
  Task<void> await_run(std::string machine);

  cluster::LeaderContext& context_;
  leadership::Elector& elector_;
  const LeaseRenewalPolicy& renewal_policy_;
  std::optional<Instant> last_heartbeat_;
  Instant last_answered_heartbeat_{};
  uint64_t unreadable_ = 0;
  // By machine: the event that releases the answer waiting for a `run`. Each event belongs to the
  // coroutine frame of its await_run().
  std::unordered_map<std::string, AutoResetEvent*> waiting_;
};

}  // namespace dunlinknot::workers
