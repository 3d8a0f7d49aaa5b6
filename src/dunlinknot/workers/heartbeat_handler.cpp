#include "dunlinknot/workers/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::workers {

using cluster::Effects;
using cluster::HeartbeatResponse;
using cluster::LeaderState;
using http::Outcome;

namespace {
constexpr auto kStopTime = Millis(1500);
constexpr size_t kMaxCalls = 16;
constexpr auto kMostRunWait = Millis(1000);  // far below what a worker waits for an answer
}  // namespace

HeartbeatHandler::HeartbeatHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                                   std::function<bool()> may_renew, http::Transport& transport)
    : context_(context),
      elector_(elector),
      may_renew_(std::move(may_renew)),
      transport_(transport) {}

Task<http::Response> HeartbeatHandler::handle(std::string body) {
  http::Response out;
  const Instant now = context_.loop.now();
  last_heartbeat_ = now;
  ever_ = true;
  if (!elector_.leading()) {
    out.status = 421;
    out.body = wire::write_misdirected(elector_.known_leader());
    co_return out;
  }
  // Safety 2: without the key-value store a leader goes on renewing leases for a bounded time only.
  if (!context_.loaded || !may_renew_()) {
    out.status = 503;
    co_return out;
  }
  const auto heartbeat = wire::read_heartbeat(body);
  if (!heartbeat) {
    if (++bad_ % 100 == 1) spdlog::info("unreadable heartbeats so far: {}", bad_);
    out.status = 400;
    co_return out;
  }
  Effects effects;
  HeartbeatResponse answer = context_.leader_state.with([&](LeaderState& leader) {
    return leader.cluster.apply_heartbeat(*heartbeat, now, elector_.may_start(), effects);
  });
  context_.follow_up(effects);
  if (answer.kind == HeartbeatResponse::Kind::accept) {
    if (answer.run_soon) {
      // A `run` travels only in an answer, and the next one would be a whole period away.
      const uint64_t term = context_.term;
      co_await await_run(heartbeat->machine);
      if (!context_.in_term(term) || !context_.loaded || !may_renew_()) {
        out.status = 503;
        co_return out;
      }
    }
    const bool starts = answer.read && elector_.may_start();
    answer = context_.leader_state.with([&](LeaderState& leader) {
      return leader.cluster.commands_for(*heartbeat, context_.loop.now(), starts);
    });
  }
  switch (answer.kind) {
    case HeartbeatResponse::Kind::superseded:
      elector_.observe_epoch(heartbeat->fencing_token, std::nullopt,
                             "worker " + heartbeat->machine);
      out.status = 421;
      out.body = wire::write_misdirected(elector_.known_leader());
      co_return out;
    case HeartbeatResponse::Kind::stale:
      out.status = 503;
      co_return out;
    case HeartbeatResponse::Kind::accept:
      break;
  }
  last_answered_heartbeat_ = now;
  out.body = wire::write_commands(context_.epoch, std::nullopt, answer.commands);
  co_return out;
}

Task<void> HeartbeatHandler::await_run(std::string machine) {
  AutoResetEvent signal(context_.loop);
  if (const auto it = waiting_.find(machine); it != waiting_.end()) it->second->notify();
  waiting_[machine] = &signal;
  const Nanos most =
      std::min<Nanos>(kMostRunWait, to_nanos(context_.platform.heartbeat_interval / 4));
  const Instant until = context_.loop.now() + most;
  (void)co_await signal.wait_until(until);
  if (const auto it = waiting_.find(machine); it != waiting_.end() && it->second == &signal) {
    waiting_.erase(it);
  }
}

Task<void> HeartbeatHandler::release_responses(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.runs.wait();
    if (!context_.in_term(term)) co_return;
    for (const auto& id : context_.leader_state.with(
             [](LeaderState& leader) { return leader.cluster.drain_runnable(); })) {
      if (const auto it = waiting_.find(id); it != waiting_.end()) it->second->notify();
    }
  }
}

Task<void> HeartbeatHandler::call_stops(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.stops.wait();
    if (!context_.in_term(term)) co_return;
    auto calls = context_.leader_state.with(
        [](LeaderState& leader) { return leader.cluster.drain_stop_calls(); });
    for (auto& call : calls) {
      // Over the limit the heartbeats alone carry the stops.
      if (calling_ < kMaxCalls) context_.loop.spawn(call_stop(term, std::move(call)));
    }
  }
}

Task<void> HeartbeatHandler::call_stop(uint64_t term, cluster::StopCall call) {
  const auto to = http::Endpoint::parse(call.address);
  if (!to) co_return;
  ++calling_;
  http::Call request;
  request.to = *to;
  request.method = "POST";
  request.target = "/do";
  request.body = wire::write_commands(context_.epoch, call.incarnation, call.commands);
  request.deadline = context_.loop.now() + kStopTime;
  request.keep = false;
  http::Reply reply = co_await transport_.exchange(std::move(request));
  --calling_;
  if (!context_.in_term(term)) co_return;
  if (reply.outcome == Outcome::ok && (reply.status == 200 || reply.status == 409)) {
    if (const auto heartbeat = wire::read_heartbeat(reply.body)) {
      if (heartbeat->fencing_token > context_.epoch) {
        elector_.observe_epoch(heartbeat->fencing_token, std::nullopt,
                               "worker " + heartbeat->machine);
        co_return;
      }
      Effects effects = context_.leader_state.with([&](LeaderState& leader) {
        return leader.cluster.apply_direct_status(*heartbeat, context_.loop.now());
      });
      context_.follow_up(effects);
    }
    if (reply.status == 200) co_return;
  }
  // The call failed: the nominations that counted on it are cleared. The stop itself stays ordered
  // and goes out with the heartbeats, since nobody knows whether the call may still arrive.
  std::vector<preemption::Victim> victims;
  for (const auto& k : call.commands) victims.push_back({k.task, k.attempt});
  context_.leader_state.with(
      [&](LeaderState& leader) { leader.nominations.stop_failed(call.machine, victims); });
  context_.schedule.notify();
}

}  // namespace dunlinknot::workers
