// Decides whether the load balancer should send requests to this node (GET /ready).
#pragma once
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::node {

// Stateless. Runs on the event loop.
class Readiness {
 public:
  // The referenced objects must outlive this one.
  Readiness(EventLoop& loop, kv::Client& store, const leadership::Peers& peers,
            const jobs::RequestHandler& jobs);

  // Whether this node should receive requests. False until the machine types are known and the
  // key-value store has answered this node once. False while the store answers a peer, but either
  // not this node, or this node's own calls leave no request budget for users. Otherwise true, also
  // while the store answers no node: another node would not do better, and a node that was removed
  // from the load balancer takes a while to be added again. May suspend to probe the store.
  Task<bool> check();

 private:
  EventLoop& loop_;
  kv::Client& store_;
  const leadership::Peers& peers_;
  const jobs::RequestHandler& jobs_;
};

}  // namespace dunlinknot::node
