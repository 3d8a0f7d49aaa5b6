// Terminates machines: each decision is sent to the cloud and retried until the cloud confirms it.
// A decision is never revoked.
//
// With singleton roles enabled, a termination is sent only once its intent is durable.
#pragma once
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/autoscaler/termination_policy.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"

namespace dunlinknot::autoscaler {

// The terminations of this controller's term. Runs on the controller's event loop.
class ScaleIn {
 public:
  // `roles` is null when the singleton roles are disabled. All referenced objects must outlive this
  // one. A termination ends the backoff of `scale_out` for the machine's offer.
  ScaleIn(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles,
          ScaleOut& scale_out);

  // Discards all decisions of earlier terms.
  void begin_term();
  // Resumes the open terminations of the previous role holder. These machines get no more work.
  // Each is terminated only once it has no allocations, because a controller with singleton roles
  // disabled, which does not know the intents, may have led in between.
  void resume(const roles::OpenIntents& open);

  // Decides to terminate the machine, which gets no more work from now on. Does nothing if that is
  // decided already or the machine is not known.
  void decide(const Termination& termination);
  // Makes the resumed terminations whose machines have no allocations ready to be sent.
  void release_resumed();
  // Writes the intents of new decisions. A failed write is retried by the next call.
  Task<void> record(uint64_t term);
  // Sends the next request unless one is in flight.
  void send(uint64_t term);

 private:
  Task<void> terminate(uint64_t term, std::vector<std::string> machines);
  void apply_terminated(const std::vector<std::string>& machines);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  ScaleOut& scale_out_;
  std::deque<Termination> unrecorded_;  // decisions whose intents are not durable yet
  std::deque<std::string> ready_;       // machines whose termination may be sent to the cloud
  std::set<std::string> resumed_;       // machines of resumed terminations that are not ready yet
  bool sending_ = false;                // a request is in flight
};

}  // namespace dunlinknot::autoscaler
