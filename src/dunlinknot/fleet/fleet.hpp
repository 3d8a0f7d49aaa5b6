// The machines: what the cloud lists, what is rented, what is returned and why.
#pragma once
#include <string>
#include <vector>

#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/duties/duties.hpp"
#include "dunlinknot/fleet/rentals.hpp"
#include "dunlinknot/fleet/returns.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::fleet {

class Fleet {
 public:
  // `duties` is null when they are off.
  Fleet(cluster::LeaderContext& context, cloud::Client& cloud, duties::Duties* duties);

  // Forgets what was of an earlier term.
  void begin_term();
  // Takes the duties and goes on with what a former holder decided; before anything is planned.
  // False when the term ended meanwhile.
  Task<bool> take_duties(uint64_t term);
  Task<void> watch_machines(uint64_t term);  // the list, the catalogue
  Task<void> work(uint64_t term);            // rentals and returns

  // What the scheduler needs to know; and its capacity_requests.
  scheduler::Market market(Instant now) const { return rentals_.market(now); }
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
    rentals_.order(capacity_requests);
  }
  // Looks for machines to return; called after each round.
  void sweep(std::vector<std::string> wanted, size_t waiting_tasks, Instant now);

 private:
  void take_list(const std::vector<ListedMachine>& machines, Instant now);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  duties::Duties* duties_;
  Rentals rentals_;
  Returns returns_;
};

}  // namespace dunlinknot::fleet
