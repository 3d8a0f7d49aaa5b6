// Decides whether the load balancer should send requests to this node (GET /ready).
#pragma once
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/peers.hpp"
#include "dunlinknot/runtime/event_loop.hpp"

namespace dunlinknot::node {

// Keeps no state of its own. Event loop only.
class Readiness {
 public:
  // The referenced objects outlive this one.
  Readiness(EventLoop& loop, kv::Client& store, const leadership::Peers& peers,
            const jobs::RequestHandler& jobs);

  // False while the machine types are unknown, and while the key-value store serves a peer but not
  // this node. True when it serves nobody: a node that is taken off the load balancer takes a while
  // to come back, and no other node could do better. May suspend to probe the store.
  Task<bool> check();

 private:
  EventLoop& loop_;
  kv::Client& store_;
  const leadership::Peers& peers_;
  const jobs::RequestHandler& jobs_;
};

}  // namespace dunlinknot::node
