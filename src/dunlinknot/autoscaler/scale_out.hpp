// Launches machines. The name of a launch request is unique across requests and controllers. A
// request without an answer is retried under the same name, which makes the launch idempotent.
//
// With singleton roles enabled, a request is sent only once its intent is durable. The intent stays
// open until the next leader can find the launched machines without it.
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

// The launch requests of this controller's term, from the scheduler's request until every launched
// machine is confirmed. Runs on the controller's event loop.
class ScaleOut {
 public:
  // `roles` is null when the singleton roles are disabled. All referenced objects must outlive this
  // one.
  ScaleOut(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles);

  // Discards all requests of earlier terms.
  void begin_term();
  // Resumes the open requests of the previous role holder, which it may have sent already or may
  // still send.
  void resume(const std::vector<roles::ScaleOutIntent>& intents);

  // Records that the whole machine list was read in this term. With singleton roles enabled,
  // launches are requested only after that.
  void mark_list_read() { list_read_ = true; }
  // The launches in flight and the offers in backoff, as input of a scheduling cycle.
  scheduler::CloudCapacity cloud_capacity(Instant now) const;
  // Adds launch requests, at most one at a time for each offer.
  void request_launches(const std::vector<scheduler::CapacityRequest>& capacity_requests);
  // Writes the intents of new requests. A failed write is retried by the next call.
  Task<void> record(uint64_t term);
  // Sends the requests that may be sent and are not in flight.
  void send(uint64_t term);
  // Ends the backoff of an offer: one of its machines was terminated, so there may be capacity for
  // another.
  void reset_backoff(const scheduler::Offer& offer) { backoff_.reset(offer); }
  // Settles the intents of answered launches whose machines any leader can find by now. Called only
  // with singleton roles enabled.
  void settle_confirmed_launches(Instant now);

 private:
  struct Launch {
    std::string request;  // the request's name
    scheduler::Offer offer;
    uint32_t count = 0;
    std::string job;                // the job that requested the capacity first
    uint32_t unanswered_sends = 0;  // requests sent that got no definite answer
    bool recorded = false;  // the intent is durable; always true with singleton roles disabled
    // An earlier copy of the request may still be executed. The refusal of a later copy does not
    // rule that out, so the name stays open.
    bool outcome_uncertain = false;
    bool suspended = false;  // not sent for now: the cloud refused a copy of the request
  };
  Task<void> send_launch(uint64_t term, Launch launch);
  void apply_launched(const Launch& launch, const std::vector<std::string>& machines);
  void apply_refusal(const Launch& launch, cloud::LaunchOutcome outcome);
  void apply_unknown_outcome(const std::string& request);
  void back_off(const scheduler::Offer& offer, Instant now);
  Launch* find_launch(const std::string& request);
  void remove_launch(const std::string& request);
  bool may_send(const Launch& launch) const;
  std::string next_name();

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  uint64_t request_count_ = 0;  // number of request names used in this term
  // Whether the whole machine list was read in this term. Every machine that a previous leader
  // launched is in the list or in an open intent. Before both are read, those machines would be
  // launched a second time.
  bool list_read_ = false;
  std::vector<Launch> launches_;     // requests without a final answer
  std::set<std::string> in_flight_;  // names of the requests in flight
  RefusalBackoff backoff_;
  // By request name: launched machines that the next leader might not find without the intent.
  std::map<std::string, std::set<std::string>> unconfirmed_;
};

}  // namespace dunlinknot::autoscaler
