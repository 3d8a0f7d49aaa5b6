// Admission checks that need no remote call: whether a job can ever run, and whether its record can
// be stored.
#include "dunlinknot/jobs/admission.hpp"

#include <algorithm>

#include "dunlinknot/cluster/placement_constraints.hpp"

namespace dunlinknot::jobs {

namespace {

// All tasks of a gang or a service run at the same time; the tasks of an array may run one after
// another.
bool needs_all_tasks_at_once(const JobSpec& spec) {
  return spec.gang || spec.service;
}

// A limit of 0 means unlimited.
bool exceeds(double need, double limit) {
  return limit > 0 && need > limit + Resources::kTolerance;
}

bool exceeds_team_limit(const JobSpec& spec, const settings::Team& team) {
  const double tasks = needs_all_tasks_at_once(spec) ? spec.tasks : 1;
  return exceeds(spec.need.cpus * tasks, team.cpus_max) ||
         exceeds(spec.need.gpus * tasks, team.gpus_max);
}

}  // namespace

std::string_view text(AdmissionError error) {
  switch (error) {
    case AdmissionError::description_too_long:
      return "the job's description is too long";
    case AdmissionError::unknown_team:
      return "unknown team";
    case AdmissionError::no_fitting_machine_type:
      return "a task fits no allowed machine type in an allowed zone";
    case AdmissionError::no_second_zone:
      return "a job of which half may be in one zone has no other zone for the rest";
    case AdmissionError::over_team_limit:
      return "the job needs more than its team's limit";
  }
  return "";
}

Admission::Admission(const kv::Client& store, const settings::Platform& platform)
    : store_(store), platform_(platform) {}

std::optional<AdmissionError> Admission::check(const JobSpec& spec,
                                               const std::string& record) const {
  if (!fits_in_store(record)) return AdmissionError::description_too_long;
  if (!catalog_known()) return std::nullopt;
  const auto team = std::find_if(platform_.teams.begin(), platform_.teams.end(),
                                 [&](const auto& other) { return other.name == spec.team; });
  if (team == platform_.teams.end()) return AdmissionError::unknown_team;
  if (const auto error = check_zones(spec)) return error;
  if (exceeds_team_limit(spec, *team)) return AdmissionError::over_team_limit;
  return std::nullopt;
}

// Whether the record is within the key-value store's current and announced value limits.
bool Admission::fits_in_store(const std::string& record) const {
  const auto document = wire::Document::parse(record);
  return document && wire::json_size(document->root()) <= store_.limits().value_bytes();
}

// The zones that offer an allowed machine type on which a task fits.
std::set<std::string> Admission::zones_with_fitting_types(const JobSpec& spec) const {
  std::set<std::string> zones;
  for (const MachineType& machine_type : catalog_) {
    if (!spec.need.fits_in(machine_type.size)) continue;
    for (const auto& zone : machine_type.zones) {
      if (cluster::pool_allowed(spec, machine_type.name, zone, false)) zones.insert(zone);
    }
  }
  return zones;
}

std::optional<AdmissionError> Admission::check_zones(const JobSpec& spec) const {
  const std::set<std::string> zones = zones_with_fitting_types(spec);
  if (zones.empty()) return AdmissionError::no_fitting_machine_type;
  const bool must_be_split =
      needs_all_tasks_at_once(spec) && cluster::max_tasks_per_zone(spec) < spec.tasks;
  if (spec.spread && must_be_split && (spec.one_zone || zones.size() < 2))
    return AdmissionError::no_second_zone;
  return std::nullopt;
}

}  // namespace dunlinknot::jobs
