// Decides whether a submitted job can be accepted at all.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::jobs {

// Why a well-formed job is refused for good.
enum class AdmissionError : uint8_t {
  description_too_long,  // for a value of the key-value store
  unknown_team,
  no_fitting_machine_type,
  no_zone_for_the_rest,  // of a job that is spread over zones
  over_team_limit,
};

// The text of the error for the user.
std::string_view text(AdmissionError error);

// A pure function of the job, the platform's settings and the catalog of machine types.
class Admission {
 public:
  // The referenced objects outlive this one.
  Admission(const kv::Client& store, const settings::Platform& platform);

  // Machine types are learned after the start. Until they are known only check()'s answers that
  // refuse a job are worth anything.
  void set_catalog(std::vector<MachineType> types) { catalog_ = std::move(types); }
  bool catalog_known() const { return !catalog_.empty(); }

  // Empty when the job may be accepted. `record`: what would be stored for the job.
  std::optional<AdmissionError> check(const JobSpec& spec, const std::string& record) const;

 private:
  bool storable(const std::string& record) const;
  std::set<std::string> zones_with_fitting_types(const JobSpec& spec) const;
  std::optional<AdmissionError> check_zones(const JobSpec& spec) const;

  const kv::Client& store_;
  const settings::Platform& platform_;
  std::vector<MachineType> catalog_;
};

}  // namespace dunlinknot::jobs
