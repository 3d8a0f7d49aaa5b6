// Lookups of allocations on a machine, and the estimate of its cached images.
#include "dunlinknot/cluster/machine.hpp"

#include <algorithm>
#include <utility>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::cluster {

bool Machine::has_image(std::string_view image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& cached) { return cached.name == image; });
}

void Machine::note_image(const std::string& image, double image_gb) {
  std::erase_if(images, [&](const CachedImage& cached) { return cached.name == image; });
  images.push_back({image, image_gb});
  double total = 0;
  for (const CachedImage& cached : images) total += cached.gb;
  while (images.size() > 1 && total > cache_gb) {
    total -= images.front().gb;
    images.erase(images.begin());
  }
}

const Allocation* Machine::find(const TaskRef& task, uint64_t attempt) const {
  return find_where(allocations, [&](const Allocation& allocation) {
    return allocation.attempt == attempt && allocation.task == task;
  });
}

Allocation* Machine::find(const TaskRef& task, uint64_t attempt) {
  return const_cast<Allocation*>(std::as_const(*this).find(task, attempt));
}

}  // namespace dunlinknot::cluster
