// Admission control: decides whether a submitted job can ever run.
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

// Why a well-formed job is permanently rejected.
enum class AdmissionError : uint8_t {
  description_too_long,  // exceeds the value limit of the key-value store
  unknown_team,
  no_fitting_machine_type,
  no_second_zone,  // the job must be spread over zones, but only one zone is possible
  over_team_limit,
};

// The error text shown to the user.
std::string_view text(AdmissionError error);

// Checks jobs against the platform's settings, the key-value store's limits and the catalog of
// machine types. Makes no calls.
class Admission {
 public:
  // The referenced objects must outlive this one.
  Admission(const kv::Client& store, const settings::Platform& platform);

  // The machine types become known some time after the start. Until then check() detects only some
  // errors, so an empty result does not mean that the job may be accepted.
  void set_catalog(std::vector<MachineType> types) { catalog_ = std::move(types); }
  bool catalog_known() const { return !catalog_.empty(); }

  // Why the job is rejected; empty if it may be accepted. `record`: the record to be stored for it.
  std::optional<AdmissionError> check(const JobSpec& spec, const std::string& record) const;

 private:
  bool fits_in_store(const std::string& record) const;
  std::set<std::string> zones_with_fitting_types(const JobSpec& spec) const;
  std::optional<AdmissionError> check_zones(const JobSpec& spec) const;

  const kv::Client& store_;
  const settings::Platform& platform_;
  std::vector<MachineType> catalog_;
};

}  // namespace dunlinknot::jobs
