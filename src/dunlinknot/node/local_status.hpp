// What this node reports to its peers: whether it leads, whom it reaches, how far the jobs are.
#pragma once
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"

namespace dunlinknot::node {

// Reads from the other parts whenever a peer is sent a status. Event loop only.
class LocalStatus {
 public:
  // The referenced objects outlive this one.
  LocalStatus(cluster::LeaderContext& context, const leadership::Elector& elector,
              const kv::Client& store, const jobs::RequestHandler& jobs,
              const workers::HeartbeatHandler& heartbeats);

  // All fields but the sequence number and the echo, which belong to the connection.
  wire::peer::Status status() const;
  // The counts of open jobs, for display on the other nodes; empty unless this node leads.
  wire::peer::Progress progress();

 private:
  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  const kv::Client& store_;
  const jobs::RequestHandler& jobs_;
  const workers::HeartbeatHandler& heartbeats_;
  Instant started_;
};

}  // namespace dunlinknot::node
