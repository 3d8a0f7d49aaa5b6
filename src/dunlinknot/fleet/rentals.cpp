#include "dunlinknot/fleet/rentals.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/find.hpp"

namespace dunlinknot::fleet {

namespace {

using cluster::LeaderState;
using cluster::Machine;
using duties::Duty;
using http::Outcome;

constexpr auto kRepeat = Millis(1500);
constexpr uint32_t kMaxRentals = 24;
constexpr uint32_t kMaxCount = 50;  // machines, the cloud's limit for one request
constexpr size_t kMaxInFlight = 4;
constexpr int kMostPause = 8;         // times the first
constexpr double kListLagSpread = 2;  // the list lags by up to so many times its usual lag

std::string_view kind(const scheduler::Offer& offer) {
  return offer.spot ? "spot" : "ordinary";
}

}  // namespace

Rentals::Rentals(cluster::LeaderContext& context, cloud::Client& cloud, duties::Duties* duties)
    : context_(context), cloud_(cloud), duties_(duties) {}

void Rentals::begin_term() {
  counter_ = 0;
  rentals_.clear();
  in_flight_.clear();
  refusals_.clear();
  unseen_.clear();
  list_read_ = false;
}

void Rentals::resume(const std::vector<duties::RentIntent>& intents) {
  for (const duties::RentIntent& intent : intents) {
    Rental rental;
    rental.request = intent.request;
    rental.offer = {intent.type, intent.zone, intent.spot};
    rental.count = intent.count;
    rental.job = intent.job;
    rental.recorded = true;
    rental.doubtful = true;
    spdlog::info("rental {} of {} x {} {} in {} goes on", rental.request, rental.count,
                 kind(rental.offer), rental.offer.type, rental.offer.zone);
    rentals_.push_back(std::move(rental));
  }
}

scheduler::Market Rentals::market(Instant now) const {
  scheduler::Market m;
  for (const Rental& rental : rentals_) {
    if (!rental.parked) m.pending.emplace_back(rental.offer, rental.count);
  }
  for (const auto& [offer, refusal] : refusals_) {
    if (refusal.until > now) m.refused.insert(offer);
  }
  return m;
}

// Each refusal in a row doubles the pause: what the cloud does not have it will mostly not have in
// a moment either, and while the cheapest offers were asked for over and over, dearer ones that
// were there to be had were never reached. A machine of ours that goes makes room: then the pause
// ends.
void Rentals::refused(const scheduler::Offer& offer, Instant now) {
  Refusal& refusal = refusals_[offer];
  const Nanos first = to_nanos(context_.op.refusal_pause);
  refusal.pause =
      refusal.pause == Nanos(0) ? first : std::min(refusal.pause * 2, first * kMostPause);
  refusal.until = now + refusal.pause;
  std::erase_if(rentals_, [&](const Rental& rental) {
    const bool unsent = rental.tries == 0 && !in_flight_.contains(rental.request);
    if (rental.offer != offer || !unsent || rental.doubtful) return false;
    if (duties_) duties_->intents.end_rental(rental.request);
    return true;
  });
}

std::string Rentals::next_name() {
  const std::string number = std::to_string(++counter_);
  if (!duties_) return "h-" + std::to_string(context_.epoch) + "-" + number;
  return "d-" + std::to_string(duties_->holder.token(Duty::rent)) + "-" + number;
}

void Rentals::order(const std::vector<scheduler::CapacityRequest>& capacity_requests) {
  if (duties_ && !list_read_) return;
  for (const auto& request : capacity_requests) {
    auto* same = cluster::find_where(
        rentals_, [&](const Rental& rental) { return rental.offer == request.offer; });
    if (same) {
      same->parked = false;
      continue;  // one question at a time for each offer
    }
    if (rentals_.size() >= kMaxRentals) continue;  // the next round asks again
    if (duties_ && !duties_->holder.may_act(Duty::rent)) return;
    Rental rental;
    rental.request = next_name();
    rental.offer = request.offer;
    rental.count = std::min(request.count, kMaxCount);
    rental.job = request.job;
    rental.recorded = !duties_;
    spdlog::info("renting {} x {} {} in {} for {} as {}", rental.count, kind(rental.offer),
                 rental.offer.type, rental.offer.zone, rental.job, rental.request);
    rentals_.push_back(std::move(rental));
  }
  if (!rentals_.empty()) context_.rentals.notify();
}

Task<void> Rentals::record(uint64_t term) {
  if (!duties_) co_return;
  std::vector<duties::RentIntent> intents;
  for (const Rental& rental : rentals_) {
    if (rental.recorded || intents.size() >= duties_->intents.max_batch()) continue;
    intents.push_back({rental.request, rental.offer.type, rental.offer.zone, rental.offer.spot,
                       rental.count, rental.job, 0});
  }
  if (intents.empty()) co_return;
  const bool durable = co_await duties_->intents.record_rentals(term, intents);
  if (!context_.in_term(term) || !durable) co_return;
  for (const auto& intent : intents) {
    if (Rental* rental = find(intent.request)) rental->recorded = true;
  }
}

bool Rentals::may_send(const Rental& rental) const {
  if (rental.parked || !rental.recorded) return false;
  return !duties_ || duties_->holder.may_act(Duty::rent);
}

void Rentals::send(uint64_t term) {
  for (const Rental& rental : rentals_) {
    if (in_flight_.size() >= kMaxInFlight) break;
    if (!may_send(rental)) continue;
    if (rental.tries > 0 && !in_flight_.empty() && !cloud_.answering()) break;
    if (in_flight_.insert(rental.request).second) context_.loop.spawn(rent(term, rental));
  }
}

Task<void> Rentals::rent(uint64_t term, Rental rental) {
  const cloud::RentResult result = co_await cloud_.rent(
      rental.request, rental.offer.type, rental.offer.zone, rental.offer.spot, rental.count);
  if (!context_.in_term(term)) co_return;
  in_flight_.erase(rental.request);
  if (result.outcome == Outcome::ok) {
    take_machines(rental, result.machines);
    context_.schedule.notify();
    co_return;
  }
  if (result.no_capacity || (result.outcome == Outcome::refused && cloud_.answering())) {
    take_refusal(rental, result.no_capacity);
    context_.schedule.notify();
    co_return;
  }
  take_unknown(rental.request);
  co_await context_.loop.sleep(kRepeat);
  if (context_.in_term(term)) context_.rentals.notify();
}

void Rentals::take_machines(const Rental& rental, const std::vector<std::string>& machines) {
  const Instant now = context_.loop.now();
  const scheduler::Offer& offer = rental.offer;
  forget(rental.request);
  spdlog::info("rented {} of {} for {}", machines.size(), rental.count, rental.request);
  context_.leader_state.with([&](LeaderState& p) {
    for (const auto& id : machines) {
      // A repeated answer may name machines that are gone by now.
      if (p.cluster.is_gone(id)) continue;
      p.cluster.register_machine(id, offer.type, offer.zone, offer.spot, now);
    }
  });
  if (duties_) {
    unseen_[rental.request].insert(machines.begin(), machines.end());
    settle(now);
  }
  if (!machines.empty()) refusals_.erase(offer);
  if (machines.size() < rental.count) refused(offer, now);
}

// The request was certainly not carried out; the scheduler may ask for something else. If an
// earlier copy of it may still be under way, its name stays open, for the next need of that kind.
void Rentals::take_refusal(const Rental& rental, bool no_capacity) {
  Rental* current = find(rental.request);
  if (duties_ && current && current->doubtful) {
    current->parked = true;
  } else {
    forget(rental.request);
    if (duties_) duties_->intents.end_rental(rental.request);
  }
  if (!no_capacity) return;
  refused(rental.offer, context_.loop.now());
  spdlog::info("no capacity for {} {} in {}", kind(rental.offer), rental.offer.type,
               rental.offer.zone);
}

// Trouble, or no answer: the same request again, under its own name only.
void Rentals::take_unknown(const std::string& request) {
  Rental* rental = find(request);
  if (!rental) return;
  rental->doubtful = true;
  if (rental->tries++ == 0) spdlog::info("no answer to rental {}: it is repeated", request);
}

void Rentals::settle(Instant now) {
  const Nanos lag = to_nanos(context_.platform.list_lag * kListLagSpread);
  context_.leader_state.with([&](LeaderState& p) {
    const auto seen = [&](const std::string& id) {
      if (p.cluster.is_gone(id)) return true;
      const Machine* h = p.cluster.find_machine(id);
      return !h || h->heard || (h->listed && now - h->known_since > lag);
    };
    for (auto& [request, machines] : unseen_) {
      std::erase_if(machines, seen);
      if (machines.empty()) duties_->intents.end_rental(request);
    }
    std::erase_if(unseen_, [](const auto& entry) { return entry.second.empty(); });
  });
}

Rentals::Rental* Rentals::find(const std::string& request) {
  return cluster::find_where(rentals_, [&](const Rental& r) { return r.request == request; });
}

void Rentals::forget(const std::string& request) {
  std::erase_if(rentals_, [&](const Rental& rental) { return rental.request == request; });
}

}  // namespace dunlinknot::fleet
