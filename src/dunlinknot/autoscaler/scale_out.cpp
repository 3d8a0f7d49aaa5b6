// The life of a launch request: ordered, recorded, sent, answered, settled.
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

constexpr auto kRepeatPause = Millis(1500);  // before a request without an answer is repeated
constexpr uint32_t kMaxLaunches = 24;        // unanswered requests
constexpr uint32_t kMaxCount = 50;           // machines, the cloud's limit for one request
constexpr size_t kMaxInFlight = 4;           // requests being sent
constexpr double kListLagSpread = 2;         // the list lags by up to so many times its usual lag

std::string_view kind(const scheduler::Offer& offer) {
  return offer.spot ? "spot" : "ordinary";
}

}  // namespace

ScaleOut::ScaleOut(cluster::LeaderContext& context, cloud::Client& cloud,
                   roles::SingletonRoles* roles)
    : context_(context), cloud_(cloud), roles_(roles) {}

void ScaleOut::begin_term() {
  counter_ = 0;
  launches_.clear();
  in_flight_.clear();
  backoff_.clear();
  unseen_.clear();
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
    launch.doubtful = true;
    spdlog::info("launch {} of {} x {} {} in {} resumes", launch.request, launch.count,
                 kind(launch.offer), launch.offer.type, launch.offer.zone);
    launches_.push_back(std::move(launch));
  }
}

scheduler::CloudCapacity ScaleOut::cloud_capacity(Instant now) const {
  scheduler::CloudCapacity capacity;
  for (const Launch& launch : launches_) {
    if (!launch.parked) capacity.pending_launches.push_back({launch.offer, launch.count});
  }
  capacity.refused_offers = backoff_.paused(now);
  return capacity;
}

// Also withdraws requests for the offer that were certainly not sent yet.
void ScaleOut::back_off(const scheduler::Offer& offer, Instant now) {
  backoff_.refused(offer, to_nanos(context_.op.refusal_pause), now);
  std::erase_if(launches_, [&](const Launch& launch) {
    const bool unsent = launch.tries == 0 && !in_flight_.contains(launch.request);
    if (launch.offer != offer || !unsent || launch.doubtful) return false;
    if (roles_) roles_->intents.mark_scale_out_settled(launch.request);
    return true;
  });
}

// Unique across controllers and terms: the epoch is one term's, the fencing token one holding's.
std::string ScaleOut::next_name() {
  const std::string number = std::to_string(++counter_);
  if (!roles_) return "h-" + std::to_string(context_.epoch) + "-" + number;
  return "d-" + std::to_string(roles_->holder.fencing_token(Role::scale_out)) + "-" + number;
}

void ScaleOut::order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
  if (roles_ && !list_read_) return;
  for (const auto& request : capacity_requests) {
    auto* same = cluster::find_where(
        launches_, [&](const Launch& launch) { return launch.offer == request.offer; });
    if (same) {
      same->parked = false;
      continue;  // one request at a time for each offer
    }
    if (launches_.size() >= kMaxLaunches) continue;  // the next cycle asks again
    if (roles_ && !roles_->holder.may_act(Role::scale_out)) return;
    Launch launch;
    launch.request = next_name();
    launch.offer = request.offer;
    launch.count = std::min(request.count, kMaxCount);
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
    if (Launch* launch = find(intent.request)) launch->recorded = true;
  }
}

bool ScaleOut::may_send(const Launch& launch) const {
  if (launch.parked || !launch.recorded) return false;
  return !roles_ || roles_->holder.may_act(Role::scale_out);
}

void ScaleOut::send(uint64_t term) {
  for (const Launch& launch : launches_) {
    if (in_flight_.size() >= kMaxInFlight) break;
    if (!may_send(launch)) continue;
    // While the cloud does not answer, repeated requests are sent one at a time.
    if (launch.tries > 0 && !in_flight_.empty() && !cloud_.answering()) break;
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
      apply_refusal(launch, result.outcome);
      context_.schedule.notify();
      co_return;
    case LaunchOutcome::unknown:
      break;
  }
  apply_unknown_outcome(launch.request);
  co_await context_.loop.sleep(kRepeatPause);
  if (context_.in_term(term)) context_.scaling.notify();
}

void ScaleOut::apply_launched(const Launch& launch, const std::vector<std::string>& machines) {
  const Instant now = context_.loop.now();
  const scheduler::Offer& offer = launch.offer;
  forget(launch.request);
  spdlog::info("launched {} of {} for {}", machines.size(), launch.count, launch.request);
  context_.leader_state.with([&](LeaderState& leader) {
    for (const auto& id : machines) {
      // A repeated answer may name machines that were terminated meanwhile.
      if (leader.cluster.was_removed(id)) continue;
      leader.cluster.register_machine(id, offer.type, offer.zone, offer.spot, now);
    }
  });
  if (roles_) {
    unseen_[launch.request].insert(machines.begin(), machines.end());
    settle(now);
  }
  if (!machines.empty()) backoff_.reset(offer);
  if (machines.size() < launch.count) back_off(offer, now);
}

// The request was certainly not carried out; the scheduler may ask for something else. If an
// earlier copy of it may still be under way, its name stays open and is used again when machines of
// that kind are needed.
void ScaleOut::apply_refusal(const Launch& launch, LaunchOutcome outcome) {
  Launch* current = find(launch.request);
  if (roles_ && current && current->doubtful) {
    current->parked = true;
  } else {
    forget(launch.request);
    if (roles_) roles_->intents.mark_scale_out_settled(launch.request);
  }
  if (outcome != LaunchOutcome::no_capacity) return;
  back_off(launch.offer, context_.loop.now());
  spdlog::info("no capacity for {} {} in {}", kind(launch.offer), launch.offer.type,
               launch.offer.zone);
}

// A server error, or no answer: the same request is sent again, only ever under its own name.
void ScaleOut::apply_unknown_outcome(const std::string& request) {
  Launch* launch = find(request);
  if (!launch) return;
  launch->doubtful = true;
  if (launch->tries++ == 0) spdlog::info("no answer to launch {}: it is retried", request);
}

void ScaleOut::settle(Instant now) {
  const Nanos lag = to_nanos(context_.platform.list_lag * kListLagSpread);
  context_.leader_state.with([&](LeaderState& leader) {
    // A successor learns of the machine from its heartbeats or from the list, or needs not to.
    const auto seen = [&](const std::string& id) {
      if (leader.cluster.was_removed(id)) return true;
      const Machine* machine = leader.cluster.find_machine(id);
      return !machine || machine->has_heartbeat ||
             (machine->listed && now - machine->known_since > lag);
    };
    for (auto& [request, machines] : unseen_) {
      std::erase_if(machines, seen);
      if (machines.empty()) roles_->intents.mark_scale_out_settled(request);
    }
    std::erase_if(unseen_, [](const auto& entry) { return entry.second.empty(); });
  });
}

ScaleOut::Launch* ScaleOut::find(const std::string& request) {
  return cluster::find_where(launches_,
                             [&](const Launch& launch) { return launch.request == request; });
}

void ScaleOut::forget(const std::string& request) {
  std::erase_if(launches_, [&](const Launch& launch) { return launch.request == request; });
}

}  // namespace dunlinknot::autoscaler
