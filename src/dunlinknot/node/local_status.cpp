// Collects the status and the progress that are sent to the peers.
#include "dunlinknot/node/local_status.hpp"

namespace dunlinknot::node {

LocalStatus::LocalStatus(cluster::LeaderContext& context, const leadership::Elector& elector,
                         const kv::Client& store, const jobs::RequestHandler& jobs,
                         const workers::HeartbeatHandler& heartbeats)
    : context_(context),
      elector_(elector),
      store_(store),
      jobs_(jobs),
      heartbeats_(heartbeats),
      started_at_(context.loop.now()) {}

wire::peer::Status LocalStatus::status() const {
  const Instant now = context_.loop.now();
  wire::peer::Status status;
  status.node = context_.platform.node;
  status.epoch = elector_.known_epoch();
  status.leader = elector_.known_leader().value_or("");
  status.uptime = to_millis(now - started_at_);
  status.store_has_responded = store_.has_responded();
  if (status.store_has_responded)
    status.store_response_age = to_millis(now - store_.last_response_at());
  const std::optional<Instant> last_heartbeat = heartbeats_.last_heartbeat();
  status.heartbeat_received = last_heartbeat.has_value();
  if (last_heartbeat) status.heartbeat_age = to_millis(now - *last_heartbeat);
  status.leading = elector_.leading();
  status.cancel_revision = jobs_.cancel_revision();
  return status;
}

wire::peer::Progress LocalStatus::progress() {
  wire::peer::Progress progress;
  if (!elector_.leading() || !context_.loaded) return progress;
  progress.epoch = context_.epoch;
  context_.leader_state.with([&](cluster::LeaderState& leader) {
    for (const auto& [id, job] : leader.cluster.jobs()) {
      if (progress.entries.size() >= wire::peer::kMaxEntries) break;
      if (job->done_count() > 0 || job->running > 0)
        progress.entries.push_back({id, job->done_count(), job->running});
    }
  });
  return progress;
}

}  // namespace dunlinknot::node
