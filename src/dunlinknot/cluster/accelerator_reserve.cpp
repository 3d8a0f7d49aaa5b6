// Computes the reserve for the accelerators that can still be used.
#include "dunlinknot/cluster/accelerator_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinknot::cluster {

double usable_gpus(const Resources& size, const Resources& per_gpu) {
  double usable = size.gpus;
  const auto limit = [&](double available, double needed) {
    if (needed > 0)
      usable = std::min(usable, std::floor(available / needed + Resources::kTolerance));
  };
  limit(size.cpus, per_gpu.cpus);
  limit(size.memory_gb, per_gpu.memory_gb);
  return std::max(usable, 0.0);
}

Resources reserved_for_accelerators(const Resources& size, const Resources& free,
                                    const Resources& per_gpu) {
  const double gpus_in_use = size.gpus - free.gpus;
  const double still_usable = usable_gpus(size, per_gpu) - gpus_in_use;
  return per_gpu * std::clamp(still_usable, 0.0, std::max(free.gpus, 0.0));
}

}  // namespace dunlinknot::cluster
