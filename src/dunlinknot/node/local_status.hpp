// The status that this node reports to its peers: whether it leads, whether the key-value store
// answers it and heartbeats reach it, and the progress of open jobs.
#pragma once
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/jobs/request_handler.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/workers/heartbeat_handler.hpp"

namespace dunlinknot::node {

// Reads the state of the other components each time a status is sent to a peer. Runs on the event
// loop.
class LocalStatus {
 public:
  // The referenced objects must outlive this one.
  LocalStatus(cluster::LeaderContext& context, const leadership::Elector& elector,
              const kv::Client& store, const jobs::RequestHandler& jobs,
              const workers::HeartbeatHandler& heartbeats);

  // This node's status, without the sequence number and the echo, which are set for each
  // connection.
  wire::peer::Status status() const;
  // The task counts of open jobs, for display by the other nodes; empty unless this node leads.
  wire::peer::Progress progress();

 private:
  cluster::LeaderContext& context_;
  const leadership::Elector& elector_;
  const kv::Client& store_;
  const jobs::RequestHandler& jobs_;
  const workers::HeartbeatHandler& heartbeats_;
  Instant started_at_;
};

}  // namespace dunlinknot::node
