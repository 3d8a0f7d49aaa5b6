// Processes heartbeats. The commands in a response are computed just before it is sent.
#include "dunlinknot/workers/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dunlinknot::workers {

using cluster::Effects;
using cluster::HeartbeatResponse;
using cluster::LeaderState;

namespace {

// A response is held back for a `run` for at most kMaxRunWait, which is far below the time that a
// worker waits for a response, and at most for 1/kRunWaitDivisor of a heartbeat interval.
constexpr auto kMaxRunWait = Millis(1000);
constexpr int kRunWaitDivisor = 4;
// Only one of this many unreadable heartbeats is logged, so that a faulty worker cannot flood the
// log.
constexpr uint64_t kUnreadablePerLogLine = 100;

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
  if (!elector_.leading()) co_return encode_response({ResponseType::misdirected, {}});
  if (!may_answer()) co_return encode_response({ResponseType::unavailable, {}});
  const auto heartbeat = wire::read_heartbeat(body);
  if (!heartbeat) {
    if (++unreadable_count_ % kUnreadablePerLogLine == 1)
      spdlog::info(
          "workers: rejected {} heartbeats that cannot be parsed since this process started",
          unreadable_count_);
    co_return encode_response({ResponseType::unreadable, {}});
  }
  HeartbeatResponse response = apply(*heartbeat, now);
  if (response.kind == HeartbeatResponse::Kind::accept) {
    if (response.run_likely) {
      // A `run` is only sent in a response, and the next one is a whole heartbeat interval away.
      const uint64_t term = context_.term;
      co_await await_run(heartbeat->machine);
      if (!context_.in_term(term) || !may_answer())
        co_return encode_response({ResponseType::unavailable, {}});
    }
    // The commands are computed now, since the cluster state may have changed during the wait.
    const bool may_start = response.status_applied && elector_.may_start();
    response = context_.leader_state.with([&](LeaderState& leader) {
      return leader.cluster.commands_for(*heartbeat, context_.loop.now(), may_start);
    });
  }
  const ResponseContent content = response_content(*heartbeat, std::move(response));
  if (content.type == ResponseType::commands) last_answered_heartbeat_ = now;
  co_return encode_response(content);
}

// Safety 2: while the key-value store does not answer, a leader renews the workers' leases for a
// bounded time only. A response to a heartbeat renews the lease.
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

HeartbeatHandler::ResponseContent HeartbeatHandler::response_content(const Heartbeat& heartbeat,
                                                                     HeartbeatResponse response) {
  switch (response.kind) {
    case HeartbeatResponse::Kind::superseded:
      // The worker has accepted the fencing token of a later epoch, so this node's term is over.
      elector_.observe_epoch(heartbeat.fencing_token, std::nullopt, "worker " + heartbeat.machine);
      return {ResponseType::misdirected, {}};
    case HeartbeatResponse::Kind::stale:
      return {ResponseType::unavailable, {}};
    case HeartbeatResponse::Kind::accept:
      break;
  }
  return {ResponseType::commands, std::move(response.commands)};
}

http::Response HeartbeatHandler::encode_response(const ResponseContent& content) const {
  http::Response response;
  switch (content.type) {
    case ResponseType::commands:
      response.body = wire::write_commands(context_.epoch, std::nullopt, content.commands);
      break;
    case ResponseType::misdirected:
      response.status = kStatusMisdirected;
      response.body = wire::write_misdirected(elector_.known_leader());
      break;
    case ResponseType::unavailable:
      response.status = kStatusUnavailable;
      break;
    case ResponseType::unreadable:
      response.status = kStatusBadRequest;
      break;
  }
  return response;
}

// Returns once a `run` may be sent to the machine, or after the maximum wait. A later heartbeat of
// the same machine releases the earlier response, for which the worker no longer waits.
Task<void> HeartbeatHandler::await_run(std::string machine) {
  AutoResetEvent release_event(context_.loop);
  if (const auto it = waiting_responses_.find(machine); it != waiting_responses_.end())
    it->second->notify();
  waiting_responses_[machine] = &release_event;
  const Nanos max_wait = std::min<Nanos>(
      kMaxRunWait, to_nanos(context_.platform.heartbeat_interval / kRunWaitDivisor));
  const Instant deadline = context_.loop.now() + max_wait;
  (void)co_await release_event.wait_until(deadline);
  if (const auto it = waiting_responses_.find(machine);
      it != waiting_responses_.end() && it->second == &release_event) {
    waiting_responses_.erase(it);
  }
}

Task<void> HeartbeatHandler::release_responses(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.runs.wait();
    if (!context_.in_term(term)) co_return;
    const std::vector<std::string> machines = context_.leader_state.with(
        [](LeaderState& leader) { return leader.cluster.drain_runnable(); });
    for (const std::string& machine : machines) {
      if (const auto it = waiting_responses_.find(machine); it != waiting_responses_.end())
        it->second->notify();
    }
  }
}

}  // namespace dunlinknot::workers
