// What the recent submissions say about the work to expect.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// A submission that counts towards the forecast of its class.
struct DemandArrival {
  WallTime submitted;
  uint32_t tasks = 0;
};

// Recent demand of one class of jobs that has an objective for its time to start.
struct DemandForecast {
  JobSpec sample;  // the last job seen
  Seconds target_wait{0};
  std::vector<DemandArrival> arrivals;
  std::map<std::string, WallTime> images;  // last submission with each
};

// Fed with every job that becomes known to the leader; read by the scheduling cycle, which keeps
// headroom for the classes that are expected to start soon.
class DemandForecasts {
 public:
  explicit DemandForecasts(const settings::Platform& platform) : platform_(platform) {}

  // Must be called once for each job: each call counts as a submission.
  void add(const JobSpec& spec, WallTime submitted);
  // Forgets the classes: a new term loads the open jobs, and thus their demand, again. The estimate
  // per accelerator stays, as a repeated job does not distort it much.
  void clear() { by_class_.clear(); }

  const std::map<std::string, DemandForecast>& by_class() const { return by_class_; }
  // CPUs and memory that a task with one accelerator takes besides; zero before the first such job.
  const Resources& resources_per_gpu() const { return resources_per_gpu_; }

 private:
  void add_resources_per_gpu(const Resources& need);

  const settings::Platform& platform_;
  std::map<std::string, DemandForecast> by_class_;
  Resources resources_per_gpu_;
};

}  // namespace dunlinknot::cluster
