#include "dunlinknot/workers/desk.hpp"

#include <spdlog/spdlog.h>

namespace dunlinknot::workers {

using cluster::BeatAnswer;
using cluster::Needs;
using cluster::Picture;
using http::Outcome;

namespace {
constexpr auto kStopTime = Millis(1500);
constexpr size_t kMaxCalls = 16;
constexpr auto kMostRunWait = Millis(1000);  // far below what a worker waits for an answer
}  // namespace

Desk::Desk(cluster::Domain& domain, leadership::Elector& elector, std::function<bool()> may_renew,
           http::Transport& transport)
    : domain_(domain), elector_(elector), may_renew_(std::move(may_renew)), transport_(transport) {}

Task<http::Response> Desk::beat(std::string body) {
  http::Response out;
  const Instant now = domain_.loop.now();
  last_beat_ = now;
  ever_ = true;
  if (!elector_.leading()) {
    out.status = 421;
    out.body = wire::write_misdirected(elector_.known_leader());
    co_return out;
  }
  // Safety 2: without the state service a leader goes on renewing leases for a bounded time only.
  if (!domain_.loaded || !may_renew_()) {
    out.status = 503;
    co_return out;
  }
  const auto beat = wire::read_beat(body);
  if (!beat) {
    if (++bad_ % 100 == 1) spdlog::info("unreadable beats so far: {}", bad_);
    out.status = 400;
    co_return out;
  }
  Needs needs;
  BeatAnswer answer = domain_.picture.with(
      [&](Picture& p) { return p.cluster.hear(*beat, now, elector_.may_start(), needs); });
  domain_.follow_up(needs);
  if (answer.kind == BeatAnswer::Kind::accept) {
    if (answer.run_soon) {
      // A `run` travels only in an answer, and the next one would be a whole period away.
      const uint64_t reign = domain_.reign;
      co_await await_run(beat->machine);
      if (!domain_.in_reign(reign) || !domain_.loaded || !may_renew_()) {
        out.status = 503;
        co_return out;
      }
    }
    const bool starts = answer.read && elector_.may_start();
    answer = domain_.picture.with(
        [&](Picture& p) { return p.cluster.orders(*beat, domain_.loop.now(), starts); });
  }
  switch (answer.kind) {
    case BeatAnswer::Kind::superseded:
      elector_.heard_of(beat->token, std::nullopt, "worker " + beat->machine);
      out.status = 421;
      out.body = wire::write_misdirected(elector_.known_leader());
      co_return out;
    case BeatAnswer::Kind::stale:
      out.status = 503;
      co_return out;
    case BeatAnswer::Kind::accept:
      break;
  }
  last_own_beat_ = now;
  out.body = wire::write_orders(domain_.epoch, std::nullopt, answer.commands);
  co_return out;
}

Task<void> Desk::await_run(std::string machine) {
  Signal signal(domain_.loop);
  if (const auto it = waiting_.find(machine); it != waiting_.end()) it->second->notify();
  waiting_[machine] = &signal;
  const Nanos most = std::min<Nanos>(kMostRunWait, to_nanos(domain_.platform.report / 4));
  const Instant until = domain_.loop.now() + most;
  (void)co_await signal.wait_until(until);
  if (const auto it = waiting_.find(machine); it != waiting_.end() && it->second == &signal) {
    waiting_.erase(it);
  }
}

Task<void> Desk::release_beats(uint64_t reign) {
  while (domain_.in_reign(reign)) {
    (void)co_await domain_.runs.wait();
    if (!domain_.in_reign(reign)) co_return;
    for (const auto& id :
         domain_.picture.with([](Picture& p) { return p.cluster.take_runnable(); })) {
      if (const auto it = waiting_.find(id); it != waiting_.end()) it->second->notify();
    }
  }
}

Task<void> Desk::call_stops(uint64_t reign) {
  while (domain_.in_reign(reign)) {
    (void)co_await domain_.stops.wait();
    if (!domain_.in_reign(reign)) co_return;
    auto calls = domain_.picture.with([](Picture& p) { return p.cluster.take_stop_calls(); });
    for (auto& call : calls) {
      // Over the limit the beats alone carry the stops.
      if (calling_ < kMaxCalls) domain_.loop.spawn(call_stop(reign, std::move(call)));
    }
  }
}

Task<void> Desk::call_stop(uint64_t reign, cluster::StopCall call) {
  const auto to = http::Endpoint::parse(call.address);
  if (!to) co_return;
  ++calling_;
  http::Call c;
  c.to = *to;
  c.method = "POST";
  c.target = "/do";
  c.body = wire::write_orders(domain_.epoch, call.session, call.commands);
  c.deadline = domain_.loop.now() + kStopTime;
  c.keep = false;
  http::Reply r = co_await transport_.exchange(std::move(c));
  --calling_;
  if (!domain_.in_reign(reign)) co_return;
  if (r.outcome == Outcome::ok && (r.status == 200 || r.status == 409)) {
    if (const auto report = wire::read_beat(r.body)) {
      if (report->token > domain_.epoch) {
        elector_.heard_of(report->token, std::nullopt, "worker " + report->machine);
        co_return;
      }
      Needs needs = domain_.picture.with(
          [&](Picture& p) { return p.cluster.on_direct_report(*report, domain_.loop.now()); });
      domain_.follow_up(needs);
    }
    if (r.status == 200) co_return;
  }
  // The call failed: the nominations that counted on it are cleared. The stop itself stays ordered
  // and goes out with the beats, since nobody knows whether the call may still arrive.
  std::vector<preemption::Victim> victims;
  for (const auto& k : call.commands) victims.push_back({k.task, k.attempt});
  domain_.picture.with([&](Picture& p) { p.nominations.stop_failed(call.host, victims); });
  domain_.schedule.notify();
}

}  // namespace dunlinknot::workers
