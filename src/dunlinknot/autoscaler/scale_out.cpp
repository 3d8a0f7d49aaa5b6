// The stages of a launch request: created, recorded as an intent, sent, answered, and ended once
// its machines are confirmed.
#include "dunlinknot/autoscaler/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::autoscaler {

namespace {

using cloud::LaunchOutcome;
using cluster::LeaderState;
using cluster::Machine;
using roles::Role;

constexpr auto kRetryDelay = Millis(1500);       // after a request without a definite answer
constexpr uint32_t kMaxUnansweredRequests = 24;  // further requests wait for a later cycle
constexpr uint32_t kMaxMachinesPerRequest = 50;  // the cloud's limit
constexpr size_t kMaxRequestsInFlight = 4;
constexpr double kMaxListLagFactor = 2;  // the list lags by up to this multiple of its usual lag

std::string_view kind(const scheduler::Offer& offer) {
  return offer.spot ? "spot" : "ordinary";
}

}  // namespace

ScaleOut::ScaleOut(cluster::LeaderContext& context, cloud::Client& cloud,
                   roles::SingletonRoles* roles)
    : context_(context), cloud_(cloud), roles_(roles) {}

void ScaleOut::begin_term() {
  request_count_ = 0;
  launches_.clear();
  in_flight_.clear();
  backoff_.clear();
  unconfirmed_.clear();
  list_read_ = false;
}

void ScaleOut::resume(const std::vector<roles::ScaleOutIntent>& intents) {
  for (const roles::ScaleOutIntent& intent : intents) {
    Launch launch;
    launch.request = intent.request;
    launch.offer = {intent.type, intent.zone, intent.spot};
    launch.count = intent.count;
    launch.job = intent.job;
    launch.recorded = true;
    launch.outcome_uncertain = true;
    spdlog::info("scaling out: resuming launch {} of {} x {} {} in {}", launch.request,
                 launch.count, kind(launch.offer), launch.offer.type, launch.offer.zone);
    launches_.push_back(std::move(launch));
  }
}

scheduler::CloudCapacity ScaleOut::cloud_capacity(Instant now) const {
  scheduler::CloudCapacity capacity;
  for (const Launch& launch : launches_) {
    if (!launch.suspended) capacity.pending_launches.push_back({launch.offer, launch.count});
  }
  capacity.refused_offers = backoff_.offers_in_backoff(now);
  return capacity;
}

// Also discards the requests for the offer that were certainly not sent yet.
void ScaleOut::back_off(const scheduler::Offer& offer, Instant now) {
  backoff_.record_refusal(offer, to_nanos(context_.op.refusal_pause), now);
  std::erase_if(launches_, [&](const Launch& launch) {
    const bool unsent = launch.unanswered_sends == 0 && !in_flight_.contains(launch.request);
    if (launch.offer != offer || !unsent || launch.outcome_uncertain) return false;
    if (roles_) roles_->intents.mark_scale_out_settled(launch.request);
    return true;
  });
}

// Unique across controllers and terms: an epoch belongs to one term, and a fencing token to one
// acquisition of the role.
std::string ScaleOut::next_name() {
  const std::string number = std::to_string(++request_count_);
  if (!roles_) return "h-" + std::to_string(context_.epoch) + "-" + number;
  return "d-" + std::to_string(roles_->holder.fencing_token(Role::scale_out)) + "-" + number;
}

void ScaleOut::request_launches(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
  if (roles_ && !list_read_) return;
  for (const auto& request : capacity_requests) {
    auto* existing = cluster::find_where(
        launches_, [&](const Launch& launch) { return launch.offer == request.offer; });
    if (existing) {
      existing->suspended = false;
      continue;  // one request at a time for each offer
    }
    if (launches_.size() >= kMaxUnansweredRequests)
      continue;  // the next scheduling cycle requests it again
    if (roles_ && !roles_->holder.may_act(Role::scale_out)) return;
    Launch launch;
    launch.request = next_name();
    launch.offer = request.offer;
    launch.count = std::min(request.count, kMaxMachinesPerRequest);
    launch.job = request.job;
    launch.recorded = !roles_;
    spdlog::info("scaling out: launching {} x {} {} in {} for {} as {}", launch.count,
                 kind(launch.offer), launch.offer.type, launch.offer.zone, launch.job,
                 launch.request);
    launches_.push_back(std::move(launch));
  }
  if (!launches_.empty()) context_.scaling.notify();
}

Task<void> ScaleOut::record(uint64_t term) {
  if (!roles_) co_return;
  std::vector<roles::ScaleOutIntent> intents;
  for (const Launch& launch : launches_) {
    if (launch.recorded || intents.size() >= roles_->intents.max_batch()) continue;
    intents.push_back({launch.request, launch.offer.type, launch.offer.zone, launch.offer.spot,
                       launch.count, launch.job, 0});
  }
  if (intents.empty()) co_return;
  const bool durable = co_await roles_->intents.record_scale_out(term, intents);
  if (!context_.in_term(term) || !durable) co_return;
  for (const auto& intent : intents) {
    if (Launch* launch = find_launch(intent.request)) launch->recorded = true;
  }
}

bool ScaleOut::may_send(const Launch& launch) const {
  if (launch.suspended || !launch.recorded) return false;
  return !roles_ || roles_->holder.may_act(Role::scale_out);
}

void ScaleOut::send(uint64_t term) {
  for (const Launch& launch : launches_) {
    if (in_flight_.size() >= kMaxRequestsInFlight) break;
    if (!may_send(launch)) continue;
    // While the cloud does not answer, retries are sent one at a time.
    if (launch.unanswered_sends > 0 && !in_flight_.empty() && !cloud_.answering()) break;
    if (in_flight_.insert(launch.request).second) context_.loop.spawn(send_launch(term, launch));
  }
}

Task<void> ScaleOut::send_launch(uint64_t term, Launch launch) {
  cloud::LaunchRequest request{launch.request, launch.offer.type, launch.offer.zone,
                               launch.offer.spot, launch.count};
  const cloud::LaunchResult result = co_await cloud_.launch(std::move(request));
  if (!context_.in_term(term)) co_return;
  in_flight_.erase(launch.request);
  switch (result.outcome) {
    case LaunchOutcome::launched:
      apply_launched(launch, result.machines);
      context_.schedule.notify();
      co_return;
    case LaunchOutcome::no_capacity:
    case LaunchOutcome::refused:
    case LaunchOutcome::rejected:
      apply_refusal(launch, result.outcome);
      context_.schedule.notify();
      co_return;
    case LaunchOutcome::unknown:
      break;
  }
  apply_unknown_outcome(launch.request);
  co_await context_.loop.sleep(kRetryDelay);
  if (context_.in_term(term)) context_.scaling.notify();
}

void ScaleOut::apply_launched(const Launch& launch, const std::vector<std::string>& machines) {
  const Instant now = context_.loop.now();
  const scheduler::Offer& offer = launch.offer;
  remove_launch(launch.request);
  spdlog::info("scaling out: cloud launched {} of {} machines for request {}", machines.size(),
               launch.count, launch.request);
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& id : machines) {
      // The answer to a retry may name machines that were terminated meanwhile.
      if (leader.cluster.was_removed(id)) continue;
      leader.cluster.register_machine(id, offer.type, offer.zone, offer.spot, now);
    }
  });
  if (roles_) {
    unconfirmed_[launch.request].insert(machines.begin(), machines.end());
    settle_confirmed_launches(now);
  }
  if (!machines.empty()) backoff_.reset(offer);
  if (machines.size() < launch.count) back_off(offer, now);
}

// The copy of the request that was answered was not executed, so the scheduler may choose
// another offer. If an earlier copy may still be executed, the request stays open under its name
// and is sent again when the scheduler requests the same offer.
void ScaleOut::apply_refusal(const Launch& launch, LaunchOutcome outcome) {
  Launch* current = find_launch(launch.request);
  if (roles_ && current && current->outcome_uncertain) {
    current->suspended = true;
  } else {
    remove_launch(launch.request);
    if (roles_) roles_->intents.mark_scale_out_settled(launch.request);
  }
  if (outcome == LaunchOutcome::refused) return;
  // A request that is invalid now is invalid again if it is repeated at once.
  back_off(launch.offer, context_.loop.now());
  if (outcome == LaunchOutcome::rejected) return;
  spdlog::info("scaling out: cloud has no capacity for {} {} in {}; backing off",
               kind(launch.offer), launch.offer.type, launch.offer.zone);
}

// After a server error or without an answer, the request is retried under the same name.
void ScaleOut::apply_unknown_outcome(const std::string& request) {
  Launch* launch = find_launch(request);
  if (!launch) return;
  launch->outcome_uncertain = true;
  if (launch->unanswered_sends++ == 0)
    spdlog::info("scaling out: no definite answer to launch {}; retrying under the same name",
                 request);
}

void ScaleOut::settle_confirmed_launches(Instant now) {
  const Nanos lag = to_nanos(context_.platform.list_lag * kMaxListLagFactor);
  context_.leader_state.with([&](LeaderState& leader) {
    // The next leader finds the machine by its heartbeats or in the cloud's list, or the machine no
    // longer exists.
    const auto confirmed = [&](const std::string& id) {
      if (leader.cluster.was_removed(id)) return true;
      const Machine* machine = leader.cluster.find_machine(id);
      return !machine || machine->has_heartbeat ||
             (machine->listed && now - machine->known_since > lag);
    };
    for (auto& [request, machines] : unconfirmed_) {
      std::erase_if(machines, confirmed);
      if (machines.empty()) roles_->intents.mark_scale_out_settled(request);
    }
    std::erase_if(unconfirmed_, [](const auto& entry) { return entry.second.empty(); });
  });
}

ScaleOut::Launch* ScaleOut::find_launch(const std::string& request) {
  return cluster::find_where(launches_,
                             [&](const Launch& launch) { return launch.request == request; });
}

void ScaleOut::remove_launch(const std::string& request) {
  std::erase_if(launches_, [&](const Launch& launch) { return launch.request == request; });
}

}  // namespace dunlinknot::autoscaler
