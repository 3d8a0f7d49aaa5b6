// Launching machines. A request's name is never used for another request, not even by another node;
// a request without an answer is repeated under its own name.
//
// With the singleton roles on, a request is sent only once its intent is durable, and the intent
// stays open until whoever leads next would learn of its machines without it.
#pragma once
#include <map>
#include <set>

#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::autoscaler {

class ScaleOut {
 public:
  // `duties` is null when they are off.
  ScaleOut(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Forgets what was of an earlier term.
  void begin_term();
  // Goes on with what a former holder decided. Its requests may have been sent, or may yet be.
  void resume(const std::vector<roles::ScaleOutIntent>& intents);

  // The whole list of machines was read.
  void list_was_read() { list_read_ = true; }
  scheduler::CloudCapacity cloud_capacity(Instant now) const;
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests);
  // Makes new requests durable; a failure is tried again with the next call.
  Task<void> record(uint64_t term);
  // Sends what is decided and not under way.
  void send(uint64_t term);
  // A machine of this kind went, so there may be room for another.
  void end_refusal(const scheduler::Offer& offer) { refusals_.erase(offer); }
  // Ends the intents of answered launches whose machines everybody can see by now.
  void settle(Instant now);

 private:
  struct Launch {
    std::string request;
    scheduler::Offer offer;
    uint32_t count = 0;
    std::string job;
    uint32_t tries = 0;
    bool recorded = false;  // its intent is durable; always so when the singleton roles are off
    // A copy of the request may be under way whose answer nobody has: the cloud's "no capacity"
    // settles nothing, and the name stays open.
    bool doubtful = false;
    bool parked = false;  // not asked for at present: the cloud had none of that kind
  };
  struct Refusal {
    Instant until{};
    Nanos pause{0};
  };
  Task<void> send_launch(uint64_t term, Launch launch);
  void apply_launched(const Launch& launch, const std::vector<std::string>& machines);
  void apply_refusal(const Launch& launch, bool no_capacity);
  void apply_unknown_outcome(const std::string& request);
  void refused(const scheduler::Offer& offer, Instant now);
  Launch* find(const std::string& request);
  void forget(const std::string& request);
  bool may_send(const Launch& launch) const;
  std::string next_name();

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  uint64_t counter_ = 0;
  // Whether the cloud's list was read in this term. A machine is in it, or in an open intent:
  // before both are known, what a former leader launched would be launched again.
  bool list_read_ = false;
  std::vector<Launch> launches_;     // ordered and not answered
  std::set<std::string> in_flight_;  // of them, the ones being asked for now
  std::map<scheduler::Offer, Refusal> refusals_;
  std::map<std::string, std::set<std::string>> unseen_;  // machines of answered requests, by name
};

}  // namespace dunlinknot::autoscaler
