// Sends stop commands by direct calls. Heartbeat responses carry the same commands.
#include "dunlinknot/workers/stop_caller.hpp"

#include <utility>
#include <vector>

#include "dunlinknot/wire/routes.hpp"

namespace dunlinknot::workers {

using cluster::Effects;
using cluster::LeaderState;
using cluster::StopCall;
using http::Outcome;

namespace {

constexpr auto kCallTimeout = Millis(1500);  // beyond this a heartbeat response is as fast
constexpr size_t kMaxCallsInFlight = 16;     // each call uses one connection of the process's quota
constexpr int kStatusOk = 200;               // the worker executed the commands
constexpr int kStatusNotExecuted = 409;      // it did not; the body is the worker's heartbeat

}  // namespace

StopCaller::StopCaller(cluster::LeaderContext& context, leadership::Elector& elector,
                       http::Transport& transport)
    : context_(context), elector_(elector), transport_(transport) {}

Task<void> StopCaller::run(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.stops.wait();
    if (!context_.in_term(term)) co_return;
    std::vector<StopCall> stops = context_.leader_state.with(
        [](LeaderState& leader) { return leader.cluster.drain_stop_calls(); });
    for (StopCall& stop : stops) {
      // Beyond the limit, stops are only sent in heartbeat responses.
      if (calls_in_flight_ < kMaxCallsInFlight) context_.loop.spawn(call(term, std::move(stop)));
    }
  }
}

Task<void> StopCaller::call(uint64_t term, StopCall stop) {
  const auto worker = http::Endpoint::parse(stop.address);
  if (!worker) co_return;
  ++calls_in_flight_;
  http::Call request = request_for(stop, *worker);
  const http::Reply reply = co_await transport_.exchange(std::move(request));
  --calls_in_flight_;
  if (!context_.in_term(term)) co_return;
  if (apply_reply(reply) == Result::failed) clear_nominations(stop);
}

http::Call StopCaller::request_for(const StopCall& stop, http::Endpoint worker) const {
  http::Call request;
  request.to = worker;
  request.method = "POST";
  request.target = wire::kWorkerCommandsPath;
  request.body = wire::write_commands(context_.epoch, stop.incarnation, stop.commands);
  request.deadline = context_.loop.now() + kCallTimeout;
  request.keep_alive = false;
  return request;
}

// Applies the heartbeat in the body of a worker's reply.
StopCaller::Result StopCaller::apply_reply(const http::Reply& reply) {
  const bool stopped = reply.status == kStatusOk;
  if (reply.outcome != Outcome::ok || (!stopped && reply.status != kStatusNotExecuted))
    return Result::failed;
  if (const auto heartbeat = wire::read_heartbeat(reply.body)) {
    if (heartbeat->fencing_token > context_.epoch) {
      elector_.observe_epoch(heartbeat->fencing_token, std::nullopt,
                             "worker " + heartbeat->machine);
      return Result::superseded;
    }
    const Effects effects = context_.leader_state.with([&](LeaderState& leader) {
      return leader.cluster.apply_direct_status(*heartbeat, context_.loop.now());
    });
    context_.follow_up(effects);
  }
  return stopped ? Result::stopped : Result::failed;
}

// Clears the nominations that depended on a failed call. The stop itself remains pending and is
// sent in the next heartbeat response, since the call may still reach the worker.
void StopCaller::clear_nominations(const StopCall& stop) {
  std::vector<preemption::Victim> victims;
  for (const Command& command : stop.commands) victims.push_back({command.task, command.attempt});
  context_.leader_state.with(
      [&](LeaderState& leader) { leader.nominations.handle_stop_failure(stop.machine, victims); });
  context_.schedule.notify();
}

}  // namespace dunlinknot::workers
