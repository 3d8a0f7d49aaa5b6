// Updates the demand forecasts with submissions.
#include "dunlinknot/cluster/demand_forecasts.hpp"

#include <algorithm>
#include <optional>

namespace dunlinknot::cluster {

namespace {

constexpr Millis kForecastWindow = std::chrono::minutes(4);  // older submissions are dropped
// The weights of a decaying maximum and of each new value. Their sum is one.
constexpr double kMaximumWeight = 0.95;
constexpr double kNewValueWeight = 0.05;

// Lets the influence of old, large values decay.
void update_decaying_maximum(double& maximum, double value) {
  maximum = std::max(value, maximum * kMaximumWeight + value * kNewValueWeight);
}

// The shortest waiting time that any objective sets for the class.
std::optional<Seconds> min_target_wait(const settings::Platform& platform,
                                       const std::string& job_class) {
  std::optional<Seconds> target_wait;
  for (const settings::Objective& objective : platform.objectives) {
    if (objective.kind != "wait" || objective.job_class != job_class) continue;
    target_wait = target_wait ? std::min(*target_wait, objective.time_limit) : objective.time_limit;
  }
  return target_wait;
}

}  // namespace

bool DemandForecasts::accelerators_expected(WallTime now) const {
  return latest_gpu_submission_ != WallTime::min() &&
         now - latest_gpu_submission_ <= kForecastWindow;
}

void DemandForecasts::add_resources_per_gpu(const Resources& need, WallTime submitted) {
  if (need.gpus <= 0) return;
  latest_gpu_submission_ = std::max(latest_gpu_submission_, submitted);
  update_decaying_maximum(resources_per_gpu_.cpus, need.cpus / need.gpus);
  update_decaying_maximum(resources_per_gpu_.memory_gb, need.memory_gb / need.gpus);
}

void DemandForecasts::add(const JobSpec& spec, WallTime submitted) {
  add_resources_per_gpu(spec.need, submitted);
  const std::optional<Seconds> target_wait = min_target_wait(platform_, spec.job_class);
  if (!target_wait) return;
  DemandForecast& forecast = by_class_[spec.job_class];
  forecast.sample = spec;
  forecast.target_wait = *target_wait;
  forecast.images[spec.image] = submitted;
  forecast.arrivals.push_back({submitted, spec.tasks});
  const WallTime oldest = submitted - kForecastWindow;
  std::erase_if(forecast.arrivals,
                [&](const DemandArrival& arrival) { return arrival.submitted < oldest; });
  std::erase_if(forecast.images, [&](const auto& image) { return image.second < oldest; });
}

}  // namespace dunlinknot::cluster
