// Terminating machines: what is decided is sent to the cloud, again and again until it answers. A
// decision is never taken back.
//
// With the singleton roles on, a machine's termination is sent only once its intent is durable.
#pragma once
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "dunlinknot/autoscaler/scale_out.hpp"
#include "dunlinknot/autoscaler/termination_policy.hpp"
#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/roles/singleton_roles.hpp"

namespace dunlinknot::autoscaler {

// The terminations of this controller's term. On the controller's event loop.
class ScaleIn {
 public:
  // `roles` is null when the singleton roles are turned off. All must outlive this object;
  // a termination ends the back-off of `scale_out` for that kind of machine.
  ScaleIn(cluster::LeaderContext& context, cloud::Client& cloud, roles::SingletonRoles* roles,
          ScaleOut& scale_out);

  // Forgets what was decided in an earlier term.
  void begin_term();
  // Resumes what a former holder decided. These machines get no more work; they are terminated once
  // nothing is allocated there: a controller whose singleton roles are off may have led in between.
  void resume(const roles::OpenIntents& open);

  // Decides that the machine is terminated; without effect if that is decided already, or if the
  // machine is not known. It gets no more work from now on.
  void decide(const Termination& termination);
  // Lets those of the resumed terminations be sent whose machines are empty by now.
  void release_resumed();
  // Makes decisions durable; a failure is tried again with the next call.
  Task<void> record(uint64_t term);
  // Sends the next request, one at a time.
  void send(uint64_t term);

 private:
  Task<void> terminate(uint64_t term, std::vector<std::string> machines);
  void apply_terminated(const std::vector<std::string>& machines);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  roles::SingletonRoles* roles_;
  ScaleOut& scale_out_;
  std::deque<Termination> unrecorded_;  // decided, the intent not durable yet
  std::deque<std::string> ready_;       // machines, to be sent to the cloud
  std::set<std::string> resumed_;  // machines that a former holder decided about, not ready yet
  bool sending_ = false;           // a request is being sent
};

}  // namespace dunlinknot::autoscaler
