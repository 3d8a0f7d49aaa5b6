// Copies the fields of a job into an allocation.
#include "dunlinknot/cluster/allocation.hpp"

#include "dunlinknot/cluster/job.hpp"

namespace dunlinknot::cluster {

void Allocation::copy_from(const Job& job) {
  team = job.team();
  team_name = job.spec().team;
  need = job.spec().need;
  image = job.spec().image;
  estimate = job.spec().estimate;
  gang = job.spec().gang;
  service = job.spec().service;
  priority = job.spec().priority;
}

}  // namespace dunlinknot::cluster
