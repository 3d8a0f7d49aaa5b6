// Launching machines. The name of a launch request is never used for another request, not even by
// another controller; a request without an answer is repeated under its own name, which makes it
// idempotent.
//
// With the singleton roles on, a request is sent only once its intent is durable, and the intent
// stays open until the next leader would learn of the launched machines without it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/refusal_backoff.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

// The launch requests of this controller's term, from the scheduler's request to the last evidence
// of the machines. On the controller's event loop.
class ScaleOut {
 public:
  // `roles` is null when the singleton roles are turned off. All must outlive this object.
  ScaleOut(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Forgets what was decided in an earlier term.
  void begin_term();
  // Resumes what a former holder decided. Its requests may have been sent, or may yet be.
  void resume(const std::vector<roles::ScaleOutIntent>& intents);

  // The whole list of machines was read in this term; nothing is ordered before.
  void list_was_read() { list_read_ = true; }
  // What the scheduler has to know: launches under way, and offers that are not to be asked for.
  scheduler::CloudCapacity cloud_capacity(Instant now) const;
  // Adds requests; one at a time for each offer.
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests);
  // Makes new requests durable; a failure is tried again with the next call.
  Task<void> record(uint64_t term);
  // Sends what is decided and not under way.
  void send(uint64_t term);
  // A machine of this kind was terminated, so there may be capacity for another.
  void end_refusal(const scheduler::Offer& offer) { backoff_.reset(offer); }
  // Ends the intents of answered launches whose machines any leader can see by now. Only with the
  // singleton roles on.
  void settle(Instant now);

 private:
  struct Launch {
    std::string request;  // its name
    scheduler::Offer offer;
    uint32_t count = 0;
    std::string job;
    uint32_t tries = 0;
    bool recorded = false;  // its intent is durable; always so when the singleton roles are off
    // A copy of the request may be under way whose answer nobody has: a refusal of another copy
    // settles nothing, and the name stays open.
    bool doubtful = false;
    bool parked = false;  // not asked for at present: the cloud had none of that kind
  };
  Task<void> send_launch(uint64_t term, Launch launch);
  void apply_launched(const Launch& launch, const std::vector<std::string>& machines);
  void apply_refusal(const Launch& launch, cloud::LaunchOutcome outcome);
  void apply_unknown_outcome(const std::string& request);
  void back_off(const scheduler::Offer& offer, Instant now);
  Launch* find(const std::string& request);
  void forget(const std::string& request);
  bool may_send(const Launch& launch) const;
  std::string next_name();

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  uint64_t counter_ = 0;  // of request names in this term
  // Whether the cloud's list was read in this term. A machine is in it, or in an open intent:
  // before both are known, what a former leader launched would be launched again.
  bool list_read_ = false;
  std::vector<Launch> launches_;     // ordered and not answered
  std::set<std::string> in_flight_;  // names of the launches whose request is being sent
  RefusalBackoff backoff_;
  std::map<std::string, std::set<std::string>> unseen_;  // machines of answered requests, by name
};

}  // namespace dunlinknot::autoscaler
