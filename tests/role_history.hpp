// The history of what controllers did under their singleton roles, as the scripted cloud and state
// service saw it, and the checks over it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "support.hpp"

namespace dunlinknot::test {

class RoleHistory {
 public:
  // Watches the site from now on.
  explicit RoleHistory(Site& site);

  // What was wrong, in words.
  const std::vector<std::string>& violations() const { return violations_; }
  struct Counts {
    uint64_t acts = 0;
    uint64_t changed = 0;
    uint64_t fenced_repeats = 0;  // by a replaced holder, of what the present one has open as well
    uint64_t fenced_without_effect = 0;
  };
  const Counts& counts() const { return counts_; }
  // Machines that are paid for.
  size_t machines_held() const;

 private:
  void apply_act(const ScriptedCloud::Act& act);
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
