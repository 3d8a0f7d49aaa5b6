// Dealings with the workers: their beats, and direct calls for stops.
#pragma once
#include <functional>
#include <unordered_map>

#include "dunlinknot/cluster/domain.hpp"
#include "dunlinknot/http/client.hpp"
#include "dunlinknot/http/message.hpp"
#include "dunlinknot/leadership/elector.hpp"

namespace dunlinknot::workers {

class Desk {
 public:
  // `may_renew`: whether a worker's lease may still be renewed (safety 2).
  Desk(cluster::Domain& domain, leadership::Elector& elector, std::function<bool()> may_renew,
       http::Transport& transport);

  Task<http::Response> beat(std::string body);
  Task<void> call_stops(uint64_t reign);
  Task<void> release_beats(uint64_t reign);  // wakes the answers that wait for a `run`

  bool ever_beaten() const { return ever_; }
  Instant last_beat() const { return last_beat_; }          // any worker reached us
  Instant last_own_beat() const { return last_own_beat_; }  // and we answered it as the leader

 private:
  Task<void> call_stop(uint64_t reign, cluster::StopCall call);
  Task<void> await_run(std::string machine);

  cluster::Domain& domain_;
  leadership::Elector& elector_;
  std::function<bool()> may_renew_;
  http::Transport& transport_;
  bool ever_ = false;
  Instant last_beat_{};
  Instant last_own_beat_{};
  uint64_t bad_ = 0;
  size_t calling_ = 0;
  std::unordered_map<std::string, Signal*> waiting_;  // by machine: the answer that waits
};

}  // namespace dunlinknot::workers
