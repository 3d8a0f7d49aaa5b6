// Answers the load balancer's readiness probe.
#include "dunlinknot/node/readiness.hpp"

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::node {

namespace {

// kProbeAfter and kStoreTimeout are times since the key-value store last answered.
constexpr auto kProbeAfter = Millis(700);     // then the store is probed
constexpr auto kProbeTimeout = Millis(600);   // below the load balancer's timeout of 1 s
constexpr auto kStoreTimeout = Millis(1500);  // then the store is considered unreachable
// After this time without any request budget for users' requests, this node answers none of them.
constexpr auto kOverdraftTimeout = Millis(1500);

}  // namespace

Readiness::Readiness(EventLoop& loop, kv::Client& store, const leadership::Peers& peers,
                     const jobs::RequestHandler& jobs)
    : loop_(loop), store_(store), peers_(peers), jobs_(jobs) {}

Task<bool> Readiness::check() {
  if (!jobs_.catalog_known() || !store_.has_responded()) co_return false;
  if (loop_.now() - store_.last_response_at() > kProbeAfter) {
    // An idle node sends no requests to the store and so gets no answers. Only a failed probe shows
    // an outage.
    (void)co_await store_.get(std::string(wire::kLeaderKey), kProbeTimeout,
                              kv::Importance::essential);
  }
  const bool reaches_store = loop_.now() - store_.last_response_at() < kStoreTimeout;
  const bool has_budget = store_.overdrawn_for() < kOverdraftTimeout;
  if (reaches_store && has_budget) co_return true;
  co_return !peers_.any_peer_reaches_store();
}

}  // namespace dunlinknot::node
