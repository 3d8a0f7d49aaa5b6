// How much of a machine's CPUs and memory single tasks without accelerators leave free, so that its
// free accelerators remain usable.
#pragma once
#include "dunlinknot/wire/messages.hpp"

namespace dunlinknot::cluster {

// How many accelerators of a machine of this size can be used at the same time by tasks that need
// `per_gpu` CPUs and memory for each.
double usable_gpus(const Resources& size, const Resources& per_gpu);

// The CPUs and memory that the usable ones among the free accelerators need. `free`: what is free
// on a machine of this size. `per_gpu` is zero if nobody is expected to use accelerators.
Resources reserved_for_accelerators(const Resources& size, const Resources& free,
                                    const Resources& per_gpu);

}  // namespace dunlinknot::cluster
