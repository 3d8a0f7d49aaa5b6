// The history of what controllers did under their singleton roles, as the scripted cloud and
// key-value store saw it, and the checks over it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "site.hpp"

namespace dunlinknot::test {

// Checks each act at the moment when the cloud or the store applies it. Must not outlive the site.
class RoleHistory {
 public:
  // Watches the site from now on.
  explicit RoleHistory(Site& site);

  // Descriptions of what was wrong, in the order in which it was seen.
  const std::vector<std::string>& violations() const { return violations_; }
  // Launch and termination requests that the cloud carried out. Fenced: sent by a replaced holder.
  struct Counts {
    uint64_t acts = 0;
    uint64_t changed = 0;         // of all, those that launched or terminated something
    uint64_t fenced_repeats = 0;  // of these, fenced; the present holder has the same intent open
    uint64_t fenced_without_effect = 0;
  };
  const Counts& counts() const { return counts_; }
  // Machines that are paid for.
  size_t machines_held() const;

 private:
  void apply_act(const ScriptedCloud::Operation& act);
  void apply_removed_key(const std::string& key);
  void check_launch(const std::string& request);
  void check_scale_in(const std::string& machine);
  // The fencing token under which the role is held at this moment; 0 when nobody holds it.
  uint64_t present_token(roles::Role role) const;
  bool machine_lives(std::string_view machine) const;

  Site& site_;
  std::vector<std::string> violations_;
  Counts counts_;
};

}  // namespace dunlinknot::test
