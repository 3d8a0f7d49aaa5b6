// The answer to the load balancer's probe.
#include "dunlinknot/node/readiness.hpp"

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::node {

namespace {

constexpr auto kStoreIdle = Millis(700);      // silence after which the store is probed
constexpr auto kProbeTime = Millis(600);      // the load balancer waits 1 s for an answer
constexpr auto kStoreSilence = Millis(1500);  // silence after which the store is held unreachable

}  // namespace

Readiness::Readiness(EventLoop& loop, kv::Client& store, const leadership::Peers& peers,
                     const jobs::RequestHandler& jobs)
    : loop_(loop), store_(store), peers_(peers), jobs_(jobs) {}

Task<bool> Readiness::check() {
  if (!jobs_.catalog_known() || !store_.has_responded()) co_return false;
  if (loop_.now() - store_.last_response_at() > kStoreIdle) {
    // A node that had nothing to ask of the store has no answer of it either: the silence is a sign
    // of an outage only if a probe fails too.
    (void)co_await store_.get(std::string(wire::kLeaderKey), kProbeTime, kv::Importance::essential);
  }
  if (loop_.now() - store_.last_response_at() < kStoreSilence) co_return true;
  co_return !peers_.any_peer_reaches_store();
}

}  // namespace dunlinknot::node
