// From a heartbeat to its response; the commands are decided when it leaves.
#include "dunlinknot/workers/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dunlinknot::workers {

using cluster::Effects;
using cluster::HeartbeatResponse;
using cluster::LeaderState;

namespace {

constexpr auto kMaxRunWait = Millis(1000);       // far below what a worker waits for an answer
constexpr int kRunWaitShare = 4;                 // and at most this part of a heartbeat interval
constexpr uint64_t kUnreadablePerLogLine = 100;  // so that a broken worker cannot flood the log

constexpr int kStatusBadRequest = 400;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;

}  // namespace

HeartbeatHandler::HeartbeatHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                                   const LeaseRenewalPolicy& renewal_policy)
    : context_(context), elector_(elector), renewal_policy_(renewal_policy) {}

Task<http::Response> HeartbeatHandler::handle(std::string body) {
  const Instant now = context_.loop.now();
  last_heartbeat_ = now;
  if (!elector_.leading()) co_return respond({Verdict::misdirected, {}});
  if (!may_answer()) co_return respond({Verdict::unavailable, {}});
  const auto heartbeat = wire::read_heartbeat(body);
  if (!heartbeat) {
    if (++unreadable_ % kUnreadablePerLogLine == 1)
      spdlog::info("unreadable heartbeats so far: {}", unreadable_);
    co_return respond({Verdict::unreadable, {}});
  }
  HeartbeatResponse response = apply(*heartbeat, now);
  if (response.kind == HeartbeatResponse::Kind::accept) {
    if (response.run_likely) {
      // A `run` travels only in an answer, and the next one would be a whole period away.
      const uint64_t term = context_.term;
      co_await await_run(heartbeat->machine);
      if (!context_.in_term(term) || !may_answer()) co_return respond({Verdict::unavailable, {}});
    }
    // What the answer carries is decided when it leaves, since the state changed while it waited.
    const bool starts = response.status_applied && elector_.may_start();
    response = context_.leader_state.with([&](LeaderState& leader) {
      return leader.cluster.commands_for(*heartbeat, context_.loop.now(), starts);
    });
  }
  const Decision decision = decide(*heartbeat, std::move(response));
  if (decision.verdict == Verdict::commands) last_answered_heartbeat_ = now;
  co_return respond(decision);
}

// Safety 2: without the key-value store a leader renews leases for a bounded time only.
bool HeartbeatHandler::may_answer() const {
  return context_.loaded && renewal_policy_.may_renew();
}

HeartbeatResponse HeartbeatHandler::apply(const Heartbeat& heartbeat, Instant now) {
  Effects effects;
  HeartbeatResponse response = context_.leader_state.with([&](LeaderState& leader) {
    return leader.cluster.apply_heartbeat(heartbeat, now, elector_.may_start(), effects);
  });
  context_.follow_up(effects);
  return response;
}

HeartbeatHandler::Decision HeartbeatHandler::decide(const Heartbeat& heartbeat,
                                                    HeartbeatResponse response) {
  switch (response.kind) {
    case HeartbeatResponse::Kind::superseded:
      // The worker already obeys a later epoch, so this node's term is over.
      elector_.observe_epoch(heartbeat.fencing_token, std::nullopt, "worker " + heartbeat.machine);
      return {Verdict::misdirected, {}};
    case HeartbeatResponse::Kind::stale:
      return {Verdict::unavailable, {}};
    case HeartbeatResponse::Kind::accept:
      break;
  }
  return {Verdict::commands, std::move(response.commands)};
}

http::Response HeartbeatHandler::respond(const Decision& decision) const {
  http::Response response;
  switch (decision.verdict) {
    case Verdict::commands:
      response.body = wire::write_commands(context_.epoch, std::nullopt, decision.commands);
      break;
    case Verdict::misdirected:
      response.status = kStatusMisdirected;
      response.body = wire::write_misdirected(elector_.known_leader());
      break;
    case Verdict::unavailable:
      response.status = kStatusUnavailable;
      break;
    case Verdict::unreadable:
      response.status = kStatusBadRequest;
      break;
  }
  return response;
}

// Returns once the machine may have a `run`, at the latest after the bound. A later heartbeat of
// the same machine releases the earlier answer, which the worker no longer waits for.
Task<void> HeartbeatHandler::await_run(std::string machine) {
  AutoResetEvent released(context_.loop);
  if (const auto it = waiting_.find(machine); it != waiting_.end()) it->second->notify();
  waiting_[machine] = &released;
  const Nanos bound =
      std::min<Nanos>(kMaxRunWait, to_nanos(context_.platform.heartbeat_interval / kRunWaitShare));
  const Instant until = context_.loop.now() + bound;
  (void)co_await released.wait_until(until);
  if (const auto it = waiting_.find(machine); it != waiting_.end() && it->second == &released) {
    waiting_.erase(it);
  }
}

Task<void> HeartbeatHandler::release_responses(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.runs.wait();
    if (!context_.in_term(term)) co_return;
    const std::vector<std::string> machines = context_.leader_state.with(
        [](LeaderState& leader) { return leader.cluster.drain_runnable(); });
    for (const std::string& machine : machines) {
      if (const auto it = waiting_.find(machine); it != waiting_.end()) it->second->notify();
    }
  }
}

}  // namespace dunlinknot::workers
