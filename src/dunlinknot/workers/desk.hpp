// Dealings with the workers: their beats, and direct calls for stops.
#pragma once
#include "dunlinknot/cluster/domain.hpp"
#include "dunlinknot/http/client.hpp"
#include "dunlinknot/http/message.hpp"
#include "dunlinknot/leadership/elector.hpp"
#include "dunlinknot/leadership/peers.hpp"

namespace dunlinknot::workers {

class Desk {
 public:
  Desk(cluster::Domain& domain, leadership::Elector& elector, const leadership::Peers& peers,
       http::Transport& transport);

  Task<http::Response> beat(std::string body);
  Task<void> call_stops(uint64_t reign);

  bool ever_beaten() const { return ever_; }
  Instant last_beat() const { return last_beat_; }          // any worker reached us
  Instant last_own_beat() const { return last_own_beat_; }  // and we answered it as the leader

 private:
  Task<void> call_stop(uint64_t reign, cluster::StopCall call);

  cluster::Domain& domain_;
  leadership::Elector& elector_;
  const leadership::Peers& peers_;
  http::Transport& transport_;
  bool ever_ = false;
  Instant last_beat_{};
  Instant last_own_beat_{};
  uint64_t bad_ = 0;
  size_t calling_ = 0;
};

}  // namespace dunlinknot::workers
