// Renting and returning machines. A request name (`hire`) carries the epoch and a counter, so no
// node ever uses one again; a request without an answer is repeated under its own name until the
// cloud says what became of it.
#pragma once
#include <deque>
#include <map>
#include <set>

#include "dunlinknot/cloud/client.hpp"
#include "dunlinknot/cluster/leader_context.hpp"
#include "dunlinknot/scheduler/scheduler.hpp"

namespace dunlinknot::fleet {

class Fleet {
 public:
  Fleet(cluster::LeaderContext& context, cloud::Client& cloud);

  // Forgets what was of an earlier term.
  void begin_term();
  Task<void> watch_machines(uint64_t term);  // the list, the catalogue
  Task<void> work(uint64_t term);            // rentals and returns

  // What the scheduler needs to know; and its capacity_requests.
  scheduler::Market market(Instant now);
  void order(const std::vector<scheduler::CapacityRequest>& capacity_requests);
  // Looks for machines to return; called after each round.
  void sweep(std::vector<std::string> wanted, size_t waiting_tasks, Instant now);

 private:
  struct Rental {
    std::string request;
    scheduler::Offer offer;
    uint32_t count = 0;
    std::string job;
    uint32_t tries = 0;
  };
  Task<void> rent(uint64_t term, Rental r);
  Task<void> remove(uint64_t term, std::vector<std::string> machines);
  void take_list(const std::vector<ListedMachine>& machines, Instant now);
  void refused(const scheduler::Offer& offer, Instant now);
  void discard(const std::string& id, std::string_view why);

  cluster::LeaderContext& context_;
  cloud::Client& cloud_;
  uint64_t counter_ = 0;
  std::vector<Rental> rentals_;      // ordered and not answered
  std::set<std::string> in_flight_;  // of them, the ones being asked for now
  struct Refusal {
    Instant until{};
    Nanos pause{0};
  };
  std::map<scheduler::Offer, Refusal> refusals_;
  std::deque<std::string> discards_;  // machines to delete
  bool removing_ = false;
};

}  // namespace dunlinknot::fleet
