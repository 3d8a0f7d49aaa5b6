// Returning machines to the cloud: what was decided is deleted, again and again until the cloud
// answered. A decision is never taken back.
//
// With the singleton roles on, a machine's deletion is sent only once its intent is durable.
#pragma once
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"

namespace dunlinknot::autoscaler {

class ScaleIn {
 public:
  ScaleIn(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles,
          ScaleOut& scale_out);

  void begin_term();
  // Goes on with what a former holder decided. These machines get no more work; they are deleted
  // once nothing is allocated there: a controller whose singleton roles are off may have led in
  // between.
  void resume(const roles::OpenIntents& open);

  // Decides that the machine is returned.
  void decide(const std::string& machine, std::string_view why);
  // Looks which of the resumed ones may be deleted by now.
  void release_resumed();
  Task<void> record(uint64_t term);
  // Sends the next deletion, one at a time.
  void send(uint64_t term);

 private:
  struct Decision {
    std::string machine;
    std::string why;
  };
  Task<void> remove(uint64_t term, std::vector<std::string> machines);
  void removed(const std::vector<std::string>& machines);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  ScaleOut& scale_out_;
  std::deque<Decision> unrecorded_;
  std::deque<std::string> ready_;  // to be deleted
  std::set<std::string> resumed_;  // a former holder's, not ready yet
  bool removing_ = false;
};

}  // namespace dunlinknot::autoscaler
