// Forecasts of the demand of job classes, from recent submissions.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// A submission that is included in the forecast of its class.
struct DemandArrival {
  WallTime submitted;
  uint32_t tasks = 0;
};

// Recent demand of one job class that has an objective for its waiting time.
struct DemandForecast {
  JobSpec sample;  // the latest submitted job of the class
  Seconds target_wait{0};
  std::vector<DemandArrival> arrivals;
  std::map<std::string, WallTime> images;  // image name -> its latest submission
};

// Updated with every job that becomes known to the leader. The scheduling cycle uses the forecasts
// to reserve headroom for the classes whose jobs must start quickly.
class DemandForecasts {
 public:
  explicit DemandForecasts(const settings::Platform& platform) : platform_(platform) {}

  // Adds a submission. Must be called exactly once per job.
  void add(const JobSpec& spec, WallTime submitted);
  // Clears the forecasts of all classes, because a new term loads the open jobs and their demand
  // again. The estimate per accelerator is kept: adding a job to it twice hardly changes it.
  void clear() { by_class_.clear(); }

  const std::map<std::string, DemandForecast>& by_class() const { return by_class_; }
  // CPUs and memory that a task needs per accelerator; zero before the first such job.
  const Resources& resources_per_gpu() const { return resources_per_gpu_; }
  // Whether a job that needs accelerators was submitted recently, so that more are expected.
  bool accelerators_expected(WallTime now) const;

 private:
  void add_resources_per_gpu(const Resources& need, WallTime submitted);

  const settings::Platform& platform_;
  std::map<std::string, DemandForecast> by_class_;
  Resources resources_per_gpu_;
  WallTime latest_gpu_submission_ = WallTime::min();
};

}  // namespace dunlinknot::cluster
