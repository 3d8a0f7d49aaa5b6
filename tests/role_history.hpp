// The history of requests that controllers sent under their singleton roles, as received by the
// scripted cloud and key-value store, and the checks on it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "site.hpp"

namespace dunlinknot::test {

// Checks each operation when the cloud or the store applies it. Must not outlive the site.
class RoleHistory {
 public:
  // Registers with the site; operations are checked from now on.
  explicit RoleHistory(Site& site);

  // Descriptions of the violations, in order of occurrence.
  const std::vector<std::string>& violations() const { return violations_; }
  // Launch and termination requests that the cloud executed. A request is fenced if its sender no
  // longer held the role.
  struct Counts {
    uint64_t operations = 0;
    uint64_t changed = 0;  // launched or terminated a machine
    // Fenced operations that changed something under an intent that the current holder has open.
    uint64_t fenced_repeats = 0;
    uint64_t fenced_without_effect = 0;
  };
  const Counts& counts() const { return counts_; }
  // Number of machines that were launched and not terminated.
  size_t running_machine_count() const;

 private:
  void check_operation(const ScriptedCloud::Operation& operation);
  void check_removed_key(const std::string& key);
  void check_launch(const std::string& request);
  void check_scale_in(const std::string& machine);
  // The fencing token with which the role is currently held; 0 when it has no holder.
  uint64_t current_fencing_token(roles::Role role) const;
  bool machine_exists(std::string_view machine) const;

  Site& site_;
  std::vector<std::string> violations_;
  Counts counts_;
};

}  // namespace dunlinknot::test
