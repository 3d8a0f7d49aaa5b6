// Bookkeeping of nominations and of the victims on each machine.
#include "dunlinknot/preemption/nominations.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::preemption {

namespace {
const char* text(NominationEnd reason) {
  switch (reason) {
    case NominationEnd::placed:
      return "placed";
    case NominationEnd::cancelled:
      return "cancelled";
    case NominationEnd::renominated:
      return "renominated";
    case NominationEnd::stop_failed:
      return "stop call failed";
    case NominationEnd::cleared:
      return "cleared on re-evaluation";
  }
  return "?";
}
}  // namespace

uint64_t Nominations::add(std::string job, std::string machine, Resources room, Priority priority,
                          const std::vector<Victim>& victims) {
  auto& list = victims_[machine];
  for (const Victim& victim : victims) {
    if (std::find(list.begin(), list.end(), victim) == list.end()) list.push_back(victim);
  }
  if (list.empty()) victims_.erase(machine);
  const uint64_t id = next_id_++;
  by_machine_[machine].push_back(id);
  by_job_[job].push_back(id);
  nominations_[id] = Nomination{id, std::move(job), std::move(machine), room, priority};
  return id;
}

void Nominations::end(uint64_t id, NominationEnd reason) {
  const auto it = nominations_.find(id);
  if (it == nominations_.end()) return;
  spdlog::debug("nomination {} of job {} on machine {} ended: {}", id, it->second.job,
                it->second.machine, text(reason));
  ++ended_[static_cast<size_t>(reason)];
  const auto remove_from = [id](auto& index, const std::string& key) {
    const auto entry = index.find(key);
    std::erase(entry->second, id);
    if (entry->second.empty()) index.erase(entry);
  };
  remove_from(by_machine_, it->second.machine);
  remove_from(by_job_, it->second.job);
  nominations_.erase(it);
}

void Nominations::end_all_of_job(const std::string& job) {
  for (const uint64_t id : of_job(job)) end(id, NominationEnd::cancelled);
}

void Nominations::handle_stop_failure(const std::string& machine,
                                      const std::vector<Victim>& victims) {
  const auto it = victims_.find(machine);
  if (it == victims_.end()) return;
  bool any_removed = false;
  for (const Victim& victim : victims) any_removed |= std::erase(it->second, victim) > 0;
  if (it->second.empty()) victims_.erase(it);
  if (!any_removed) return;
  for (const uint64_t id : std::vector(on_machine(machine))) end(id, NominationEnd::stop_failed);
}

void Nominations::remove_ended_victims(const cluster::Cluster& cluster) {
  for (auto it = victims_.begin(); it != victims_.end();) {
    const auto machine = cluster.machines().find(it->first);
    if (machine == cluster.machines().end()) {
      it = victims_.erase(it);
      continue;
    }
    std::erase_if(it->second, [&](const Victim& victim) {
      return !machine->second->find(victim.task, victim.attempt);
    });
    it = it->second.empty() ? victims_.erase(it) : std::next(it);
  }
}

void Nominations::clear() {
  nominations_.clear();
  by_machine_.clear();
  by_job_.clear();
  victims_.clear();
}

std::vector<uint64_t> Nominations::of_job(const std::string& job) const {
  const auto it = by_job_.find(job);
  return it == by_job_.end() ? std::vector<uint64_t>{} : it->second;
}

const std::vector<uint64_t>& Nominations::on_machine(const std::string& machine) const {
  static const std::vector<uint64_t> none;
  const auto it = by_machine_.find(machine);
  return it == by_machine_.end() ? none : it->second;
}

const std::vector<Victim>* Nominations::victims_on(const std::string& machine) const {
  const auto it = victims_.find(machine);
  return it == victims_.end() ? nullptr : &it->second;
}

}  // namespace dunlinknot::preemption
