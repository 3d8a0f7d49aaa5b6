#include "dunlinknot/workers/report_handler.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::workers {

using cluster::Effects;
using cluster::LeaderState;
using cluster::ReportResponse;
using http::Outcome;

namespace {
constexpr auto kStopTime = Millis(1500);
constexpr size_t kMaxCalls = 16;
constexpr auto kMostRunWait = Millis(1000);  // far below what a worker waits for an answer
}  // namespace

ReportHandler::ReportHandler(cluster::LeaderContext& context, leadership::Elector& elector,
                             std::function<bool()> may_renew, http::Transport& transport)
    : context_(context),
      elector_(elector),
      may_renew_(std::move(may_renew)),
      transport_(transport) {}

Task<http::Response> ReportHandler::report(std::string body) {
  http::Response out;
  const Instant now = context_.loop.now();
  last_report_ = now;
  ever_ = true;
  if (!elector_.leading()) {
    out.status = 421;
    out.body = wire::write_misdirected(elector_.known_leader());
    co_return out;
  }
  // Safety 2: without the state service a leader goes on renewing leases for a bounded time only.
  if (!context_.loaded || !may_renew_()) {
    out.status = 503;
    co_return out;
  }
  const auto report = wire::read_report(body);
  if (!report) {
    if (++bad_ % 100 == 1) spdlog::info("unreadable reports so far: {}", bad_);
    out.status = 400;
    co_return out;
  }
  Effects effects;
  ReportResponse answer = context_.leader_state.with(
      [&](LeaderState& p) { return p.cluster.hear(*report, now, elector_.may_start(), effects); });
  context_.follow_up(effects);
  if (answer.kind == ReportResponse::Kind::accept) {
    if (answer.run_soon) {
      // A `run` travels only in an answer, and the next one would be a whole period away.
      const uint64_t term = context_.term;
      co_await await_run(report->machine);
      if (!context_.in_term(term) || !context_.loaded || !may_renew_()) {
        out.status = 503;
        co_return out;
      }
    }
    const bool starts = answer.read && elector_.may_start();
    answer = context_.leader_state.with(
        [&](LeaderState& p) { return p.cluster.orders(*report, context_.loop.now(), starts); });
  }
  switch (answer.kind) {
    case ReportResponse::Kind::superseded:
      elector_.heard_of(report->fencing_token, std::nullopt, "worker " + report->machine);
      out.status = 421;
      out.body = wire::write_misdirected(elector_.known_leader());
      co_return out;
    case ReportResponse::Kind::stale:
      out.status = 503;
      co_return out;
    case ReportResponse::Kind::accept:
      break;
  }
  last_own_report_ = now;
  out.body = wire::write_orders(context_.epoch, std::nullopt, answer.commands);
  co_return out;
}

Task<void> ReportHandler::await_run(std::string machine) {
  Signal signal(context_.loop);
  if (const auto it = waiting_.find(machine); it != waiting_.end()) it->second->notify();
  waiting_[machine] = &signal;
  const Nanos most = std::min<Nanos>(kMostRunWait, to_nanos(context_.platform.report / 4));
  const Instant until = context_.loop.now() + most;
  (void)co_await signal.wait_until(until);
  if (const auto it = waiting_.find(machine); it != waiting_.end() && it->second == &signal) {
    waiting_.erase(it);
  }
}

Task<void> ReportHandler::release_responses(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.runs.wait();
    if (!context_.in_term(term)) co_return;
    for (const auto& id :
         context_.leader_state.with([](LeaderState& p) { return p.cluster.take_runnable(); })) {
      if (const auto it = waiting_.find(id); it != waiting_.end()) it->second->notify();
    }
  }
}

Task<void> ReportHandler::call_stops(uint64_t term) {
  while (context_.in_term(term)) {
    (void)co_await context_.stops.wait();
    if (!context_.in_term(term)) co_return;
    auto calls =
        context_.leader_state.with([](LeaderState& p) { return p.cluster.take_stop_calls(); });
    for (auto& call : calls) {
      // Over the limit the reports alone carry the stops.
      if (calling_ < kMaxCalls) context_.loop.spawn(call_stop(term, std::move(call)));
    }
  }
}

Task<void> ReportHandler::call_stop(uint64_t term, cluster::StopCall call) {
  const auto to = http::Endpoint::parse(call.address);
  if (!to) co_return;
  ++calling_;
  http::Call c;
  c.to = *to;
  c.method = "POST";
  c.target = "/do";
  c.body = wire::write_orders(context_.epoch, call.incarnation, call.commands);
  c.deadline = context_.loop.now() + kStopTime;
  c.keep = false;
  http::Reply r = co_await transport_.exchange(std::move(c));
  --calling_;
  if (!context_.in_term(term)) co_return;
  if (r.outcome == Outcome::ok && (r.status == 200 || r.status == 409)) {
    if (const auto report = wire::read_report(r.body)) {
      if (report->fencing_token > context_.epoch) {
        elector_.heard_of(report->fencing_token, std::nullopt, "worker " + report->machine);
        co_return;
      }
      Effects effects = context_.leader_state.with(
          [&](LeaderState& p) { return p.cluster.on_direct_report(*report, context_.loop.now()); });
      context_.follow_up(effects);
    }
    if (r.status == 200) co_return;
  }
  // The call failed: the nominations that counted on it are cleared. The stop itself stays ordered
  // and goes out with the reports, since nobody knows whether the call may still arrive.
  std::vector<preemption::Victim> victims;
  for (const auto& k : call.commands) victims.push_back({k.task, k.attempt});
  context_.leader_state.with(
      [&](LeaderState& p) { p.nominations.stop_failed(call.machine, victims); });
  context_.schedule.notify();
}

}  // namespace dunlinknot::workers
