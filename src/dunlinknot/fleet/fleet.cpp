#include "dunlinknot/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::fleet {

namespace {

using cluster::Effects;
using cluster::Host;
using cluster::LeaderState;
using http::Outcome;

constexpr auto kListEvery = std::chrono::seconds(3);
constexpr double kListShare = 0.5;  // of the cloud's requests, for listing many machines
constexpr auto kCatalogEvery = std::chrono::seconds(45);
constexpr auto kRepeat = Millis(1500);
constexpr uint32_t kMaxRentals = 24;
constexpr int kMostPause = 8;  // times the first
constexpr Seconds kBootSlack{15};
constexpr size_t kMaxDeletion = 100;    // the cloud takes no more in one call
constexpr double kReportSpread = 1.25;  // reports come every period, give or take a quarter
constexpr Seconds kReportSlack{1};

}  // namespace

Fleet::Fleet(cluster::LeaderContext& context, cloud::Client& cloud)
    : context_(context), cloud_(cloud) {}

void Fleet::begin_term() {
  counter_ = 0;
  rentals_.clear();
  in_flight_.clear();
  refusals_.clear();
  discards_.clear();
  removing_ = false;
}

scheduler::Market Fleet::market(Instant now) {
  scheduler::Market m;
  for (const auto& r : rentals_) m.pending.emplace_back(r.offer, r.count);
  for (const auto& [offer, r] : refusals_) {
    if (r.until > now) m.refused.insert(offer);
  }
  return m;
}

// Each refusal in a row doubles the pause: what the cloud does not have it will mostly not have in
// a moment either, and while the cheapest offers were asked for over and over, dearer ones that
// were there to be had were never reached. A machine of ours that goes makes room: then the pause
// ends.
void Fleet::refused(const scheduler::Offer& offer, Instant now) {
  Refusal& r = refusals_[offer];
  const Nanos first = to_nanos(context_.op.refusal_pause);
  r.pause = r.pause == Nanos(0) ? first : std::min(r.pause * 2, first * kMostPause);
  r.until = now + r.pause;
  std::erase_if(rentals_, [&](const Rental& x) {
    return x.offer == offer && x.tries == 0 && !in_flight_.contains(x.request);
  });
}

void Fleet::order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
  for (const auto& w : capacity_requests) {
    if (rentals_.size() >= kMaxRentals) return;  // the next round capacity_requests again
    const bool asked = std::any_of(rentals_.begin(), rentals_.end(),
                                   [&](const Rental& x) { return x.offer == w.offer; });
    if (asked) continue;  // one question at a time for each offer
    Rental r;
    r.request = "h-" + std::to_string(context_.epoch) + "-" + std::to_string(++counter_);
    r.offer = w.offer;
    r.count = std::min(w.count, 50u);
    r.job = w.job;
    spdlog::info("renting {} x {} {} in {} for {} as {}", r.count,
                 w.offer.spot ? "spot" : "ordinary", w.offer.type, w.offer.zone, w.job, r.request);
    rentals_.push_back(std::move(r));
  }
  if (!rentals_.empty()) context_.rentals.notify();
}

Task<void> Fleet::rent(uint64_t term, Rental r) {
  cloud::RentResult result =
      co_await cloud_.rent(r.request, r.offer.type, r.offer.zone, r.offer.spot, r.count);
  if (!context_.in_term(term)) co_return;
  in_flight_.erase(r.request);
  const Instant now = context_.loop.now();
  const auto forget = [&] {
    std::erase_if(rentals_, [&](const Rental& x) { return x.request == r.request; });
  };
  if (result.outcome == Outcome::ok) {
    forget();
    spdlog::info("rented {} of {} for {}", result.machines.size(), r.count, r.request);
    context_.leader_state.with([&](LeaderState& p) {
      for (const auto& id : result.machines) {
        p.cluster.learn_host(id, r.offer.type, r.offer.zone, r.offer.spot, now);
      }
    });
    if (!result.machines.empty()) refusals_.erase(r.offer);
    if (result.machines.size() < r.count) refused(r.offer, now);
    context_.schedule.notify();
    co_return;
  }
  if (result.no_capacity || (result.outcome == Outcome::refused && cloud_.answering())) {
    // Certainly not carried out; the scheduler may request_machine for something else.
    forget();
    if (result.no_capacity) {
      refused(r.offer, now);
      spdlog::info("no capacity for {} {} in {}", r.offer.spot ? "spot" : "ordinary", r.offer.type,
                   r.offer.zone);
    }
    context_.schedule.notify();
    co_return;
  }
  // Trouble, or no answer: the same request again, under its own name only.
  for (auto& x : rentals_) {
    if (x.request == r.request && x.tries++ == 0) {
      spdlog::info("no answer to rental {}: it is repeated", r.request);
    }
  }
  co_await context_.loop.sleep(kRepeat);
  if (context_.in_term(term)) context_.rentals.notify();
}

Task<void> Fleet::remove(uint64_t term, std::vector<std::string> machines) {
  const Outcome r = co_await cloud_.remove(machines);
  if (!context_.in_term(term)) co_return;
  removing_ = false;
  if (r == Outcome::ok) {
    // By the time of this answer the machines and everything on them are gone.
    Effects effects;
    context_.leader_state.with([&](LeaderState& p) {
      for (const auto& id : machines) {
        if (const Host* h = p.cluster.host(id)) refusals_.erase({h->type, h->zone, h->spot});
        effects |= p.cluster.remove_host(id, context_.loop.now());
      }
    });
    context_.follow_up(effects);
  } else {
    for (const auto& id : machines) discards_.push_back(id);
    co_await context_.loop.sleep(kRepeat);
    if (!context_.in_term(term)) co_return;
  }
  context_.rentals.notify();
}

Task<void> Fleet::work(uint64_t term) {
  while (context_.in_term(term)) {
    for (const auto& r : rentals_) {
      if (in_flight_.size() >= 4) break;
      if (r.tries > 0 && !in_flight_.empty() && !cloud_.answering()) break;
      if (in_flight_.insert(r.request).second) context_.loop.spawn(rent(term, r));
    }
    if (!removing_ && !discards_.empty()) {
      std::vector<std::string> batch;
      while (!discards_.empty() && batch.size() < kMaxDeletion) {
        batch.push_back(std::move(discards_.front()));
        discards_.pop_front();
      }
      removing_ = true;
      context_.loop.spawn(remove(term, std::move(batch)));
    }
    (void)co_await context_.rentals.wait();
  }
}

Task<void> Fleet::watch_machines(uint64_t term) {
  Instant next_catalog = context_.loop.now() + kCatalogEvery;
  while (context_.in_term(term)) {
    const Instant began = context_.loop.now();
    double pages = 0;
    std::string after;
    for (;;) {
      std::optional<MachineList> list = co_await cloud_.list(after);
      if (!context_.in_term(term)) co_return;
      if (!list) break;
      ++pages;
      take_list(list->machines, context_.loop.now());
      if (!list->more || list->machines.empty()) break;
      after = list->machines.back().id;
    }
    if (context_.loop.now() >= next_catalog) {
      next_catalog = context_.loop.now() + kCatalogEvery;
      auto types = co_await cloud_.catalog();
      if (!context_.in_term(term)) co_return;
      if (types) {
        context_.leader_state.with(
            [&](LeaderState& p) { p.cluster.set_catalog(std::move(*types)); });
      }
    }
    // A list of many pages leaves half of the cloud's budget to rentals and returns.
    const Seconds paced(pages / (context_.platform.cloud_rps * kListShare));
    co_await context_.loop.sleep_until(
        std::max(context_.loop.now() + kListEvery, began + to_nanos(paced)));
  }
}

void Fleet::take_list(const std::vector<ListedMachine>& machines, Instant now) {
  bool changed = false;
  std::vector<std::string> failed;
  context_.leader_state.with([&](LeaderState& p) {
    for (const auto& m : machines) {
      if (p.cluster.is_gone(m.id)) continue;  // the list lags
      const bool known = p.cluster.host(m.id) != nullptr;
      Host& h = p.cluster.learn_host(m.id, m.type, m.zone, m.spot, now);
      if (!known) {
        // Not rented under this term, or by a request whose answer was lost: used like any other.
        h.known_since = now - to_nanos(m.age);
        changed = true;
        spdlog::info("machine {} ({} in {}) found in the list", m.id, m.type, m.zone);
      }
      h.listed_running |= m.state == MachineState::running;
      if (h.address.empty()) h.address = m.address;
      if (m.state == MachineState::failed && !h.listed_failed) {
        h.listed_failed = true;
        changed = true;
        failed.push_back(m.id);
      }
    }
  });
  for (const auto& id : failed) discard(id, "it failed");
  if (changed) context_.schedule.notify();
}

void Fleet::discard(const std::string& id, std::string_view why) {
  const bool go = context_.leader_state.with([&](LeaderState& p) {
    Host* h = p.cluster.host(id);
    if (!h || h->deleting) return false;
    h->deleting = true;
    return true;
  });
  if (!go) return;
  spdlog::info("returning machine {}: {}", id, why);
  discards_.push_back(id);
  context_.rentals.notify();
}

void Fleet::sweep(std::vector<std::string> wanted, size_t waiting_tasks, Instant now) {
  std::sort(wanted.begin(), wanted.end());
  std::vector<std::pair<std::string, std::string>> out;
  const auto& op = context_.op;
  const Nanos silent = to_nanos(context_.platform.report * kReportSpread + kReportSlack);
  context_.leader_state.with([&](LeaderState& p) {
    // Deleting a machine that does not hear us is the quick fence: its tasks go elsewhere at once.
    for (const auto& id : p.cluster.unreachable_hosts())
      out.emplace_back(id, "our answers do not reach it");
    for (const auto& [id, h] : p.cluster.hosts()) {
      if (h->deleting || h->unreachable) continue;
      if (!h->heard) {
        // Some take several times as long; some never come up and cost until they are deleted.
        // What is booked there by a former leader ends with the deletion (the fast fence).
        const MachineType* t = p.cluster.type(h->type);
        if (!t) continue;
        // A new leader has heard nobody yet: a machine that is up, or was while somebody else led,
        // has the time a silent one has before it is given up.
        const Instant heard_by =
            p.cluster.term_since() + to_nanos(context_.platform.lease + op.lost_return);
        const bool was_up = h->listed_running || !h->bookings.empty();
        const Instant up_by = h->known_since + to_nanos(t->boot * op.boot_patience + kBootSlack);
        if (now > heard_by && (was_up || now > up_by)) {
          out.emplace_back(id, was_up ? "its worker stays silent" : "it never came up");
        } else if (!was_up && now > up_by && h->known_since > p.cluster.term_since()) {
          out.emplace_back(id, "it never came up");
        }
        continue;
      }
      if (h->lost) {
        if (now - h->last_heard > to_nanos(context_.platform.lease + op.lost_return)) {
          out.emplace_back(id, "its worker stays silent");
        }
        continue;
      }
      // Its notice came and then nothing more: taken, or about to be. What was not saved there need
      // not wait for the lease.
      if (h->recall_at && now - h->last_heard > silent) {
        out.emplace_back(id, "it was recalled and is silent");
        continue;
      }
      if (!h->bookings.empty()) continue;
      if (h->draining) {
        out.emplace_back(id, h->drain_reason);
      } else if (h->recall_at) {
        out.emplace_back(id, "it is recalled and empty");
      } else if (now - h->idle_since > to_nanos(op.idle_return) &&
                 !std::binary_search(wanted.begin(), wanted.end(), id)) {
        out.emplace_back(id, waiting_tasks > 0 ? "idle, and nothing that waits fits" : "idle");
      }
    }
  });
  for (const auto& [id, why] : out) discard(id, why);
}

}  // namespace dunlinknot::fleet
