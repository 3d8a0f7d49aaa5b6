#include "dunlinknot/leadership/elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::leadership {

namespace {

constexpr double kDrift = 1.001;  // two clocks, each off by up to 0.05%
constexpr Seconds kMargin{1.0};
constexpr auto kCallTime = Millis(700);
constexpr auto kRetry = Millis(150);
constexpr auto kWatchBlock = Millis(10'000);
constexpr auto kResignationBackoff = std::chrono::seconds(20);

}  // namespace

Nanos renewal_window(const settings::Platform& platform) {
  const Seconds left = platform.cancel - platform.lease * kDrift - kMargin * 2;
  return to_nanos(std::max(Seconds(0), left / kDrift));
}

Nanos former_leader_renewal_window(const settings::Platform& platform) {
  return to_nanos(to_seconds(renewal_window(platform)) * kDrift);
}

Nanos worker_lease_bound(const settings::Platform& platform) {
  return to_nanos(platform.lease * kDrift + kMargin / 2);
}

Elector::Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
                 Hooks hooks)
    : loop_(loop),
      store_(store),
      platform_(platform),
      ttl_(ttl),
      hooks_(std::move(hooks)),
      renewal_window_(renewal_window(platform)),
      changed_(loop) {}

bool Elector::may_start() const {
  const Instant now = loop_.now();
  return leading_ && now - store_.last_served_sent() < ttl_ * 2 / 3 &&
         now - cancellations_read_at_ < ttl_ * 2;
}

// Safety 2. A cancellation that we do not know of was told at C, after `evidence` or after what the
// other nodes vouched for; call that E, so E < C. We answer no heartbeat from E + window on, a
// worker counts its lease from the sending of the heartbeat that was answered, so every lease we
// renewed is over by E + window + lease, drift included: before C + cancel_s. A successor won after
// E as well: our lease on `leader` stood then, and whoever vouched had won nothing. So it waits for
// the same window from its own election (former_leader_window).
bool Elector::may_renew(std::optional<Instant> confirmed_until) const {
  if (!leading_) return false;
  Instant from = renewal_window_start();
  if (confirmed_until) from = std::max(from, *confirmed_until);
  return loop_.now() < from + renewal_window_;
}

void Elector::cancellations_read(Instant sent) {
  cancellations_read_at_ = std::max(cancellations_read_at_, sent);
}

void Elector::observe_epoch(uint64_t epoch, std::optional<std::string> leader,
                            std::string_view from) {
  if (epoch < known_epoch_) return;
  if (epoch > known_epoch_) {
    known_epoch_ = epoch;
    known_leader_ = std::move(leader);
  } else if (leader && !known_leader_) {
    known_leader_ = std::move(leader);
  }
  // A higher epoch exists, so ours is over, whatever our own view of the key-value store is.
  if (leading_ && epoch > term_.epoch) {
    step_down(std::string("observed epoch ") + std::to_string(epoch) + " from " +
              std::string(from));
  }
}

void Elector::resign(std::string_view why) {
  if (!leading_) return;
  not_before_ = loop_.now() + kResignationBackoff;
  resigning_ = true;
  step_down(why);
}

void Elector::step_down(std::string_view why) {
  if (!leading_) return;
  leading_ = false;
  if (known_leader_ == platform_.node && known_epoch_ <= term_.epoch) known_leader_.reset();
  spdlog::info("leadership: epoch {} ended here: {}", term_.epoch, why);
  hooks_.deposed(term_.epoch, why);
  changed_.notify();
}

void Elector::become_leader(uint64_t epoch, uint64_t mod_revision, Instant asked) {
  leading_ = true;
  lease_proven_at_ = asked;
  cancellations_read_at_ = Instant{};  // until the open jobs have been read
  resigning_ = false;
  term_ = Term{epoch, mod_revision, loop_.now()};
  known_epoch_ = epoch;
  known_leader_ = platform_.node;
  spdlog::info("leadership: leading epoch {}", epoch);
  hooks_.elected(term_);
}

Task<void> Elector::run() {
  for (;;) {
    co_await follow();
    co_await campaign();
    if (leading_) co_await lead();
  }
}

// Watches the key until nobody holds it (or only this node's former process does).
Task<void> Elector::follow() {
  bool fresh = false;
  for (;;) {
    if (!fresh) {
      kv::GetResult got =
          co_await store_.get(std::string(wire::kLeaderKey), kCallTime, kv::Importance::essential);
      if (got.outcome != http::Outcome::ok) {
        co_await loop_.sleep(kRetry);
        continue;
      }
      leader_mod_revision_.reset();
      leader_is_previous_process_ = false;
      revision_ = got.revision;
      if (got.found) {
        leader_mod_revision_ = got.item.mod_revision;
        revision_ = got.item.mod_revision;
        if (const auto r = wire::read_leader(got.item.value)) {
          observe_epoch(r->epoch, r->node, "the key-value store");
          leader_is_previous_process_ = r->node == platform_.node && got.item.lease != lease_;
        }
      }
      fresh = true;
    }
    const bool vacant = !leader_mod_revision_ || leader_is_previous_process_;
    if (vacant && loop_.now() >= not_before_) co_return;
    const Millis block =
        vacant ? std::clamp(to_millis(not_before_ - loop_.now()), Millis(50), kWatchBlock)
               : kWatchBlock;
    kv::WatchResult watch = co_await store_.watch(std::string(wire::kLeaderKey), revision_, block);
    if (watch.outcome != http::Outcome::ok) {
      fresh = false;
      co_await loop_.sleep(kRetry);
      continue;
    }
    if (watch.too_old) {
      fresh = false;
      continue;
    }
    revision_ = std::max(revision_, watch.revision);
    for (const auto& c : watch.changes) {
      if (c.key != wire::kLeaderKey) continue;
      leader_is_previous_process_ = false;
      if (c.deleted) {
        leader_mod_revision_.reset();
        known_leader_.reset();
      } else {
        leader_mod_revision_ = c.mod_revision;
        if (const auto r = wire::read_leader(c.value)) {
          observe_epoch(r->epoch, r->node, "the key-value store");
        }
      }
    }
  }
}

Task<void> Elector::campaign() {
  // A node that cannot serve well for the moment leaves the others a head start.
  kv::LeaseResult lease = co_await store_.grant_lease(to_millis(ttl_), kCallTime);
  if (lease.outcome != http::Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return;
  }
  lease_ = lease.lease;
  kv::GetResult epoch =
      co_await store_.get(std::string(wire::kEpochKey), kCallTime, kv::Importance::essential);
  if (epoch.outcome != http::Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return;
  }
  const uint64_t before = epoch.found ? wire::read_epoch(epoch.item.value).value_or(0) : 0;
  const uint64_t mine = std::max(before, known_epoch_) + 1;
  kv::Transaction txn;
  txn.compares.push_back({std::string(wire::kLeaderKey), leader_mod_revision_.value_or(0)});
  txn.compares.push_back({std::string(wire::kEpochKey), epoch.found ? epoch.item.mod_revision : 0});
  txn.writes.push_back(
      {std::string(wire::kLeaderKey), wire::write_leader({platform_.node, mine}), lease_});
  txn.writes.push_back({std::string(wire::kEpochKey), wire::write_epoch(mine), 0});
  const Instant asked = loop_.now();
  kv::TransactionResult result = co_await store_.commit(txn, kCallTime, kv::Importance::essential);
  if (result.applied) {
    become_leader(mine, result.revision, asked);
    co_return;
  }
  if (result.outcome != http::Outcome::unknown) co_return;
  // Nobody knows whether it went through: read back before anything else is tried. The lease bound
  // to the key tells our own attempt from any other.
  for (int i = 0; i < 20; ++i) {
    const Instant read = loop_.now();
    kv::GetResult got =
        co_await store_.get(std::string(wire::kLeaderKey), kCallTime, kv::Importance::essential);
    if (got.outcome == http::Outcome::ok) {
      const auto record = got.found ? wire::read_leader(got.item.value) : std::nullopt;
      if (record && got.item.lease == lease_ && record->epoch == mine) {
        become_leader(mine, got.item.mod_revision, read);
      }
      co_return;
    }
    co_await loop_.sleep(kRetry);
  }
}

Task<void> Elector::lead() {
  const Nanos pace = ttl_ / 4;
  while (leading_) {
    const Instant started = loop_.now();
    kv::LeaseResult lease = co_await store_.renew_lease(lease_, kCallTime);
    if (!leading_) break;
    if (lease.outcome == http::Outcome::ok && !lease.expired) lease_proven_at_ = started;
    if (lease.outcome == http::Outcome::ok && lease.expired) {
      // The lease ran out while the service did not serve us. If nobody took over meanwhile, the
      // same epoch goes on under a new lease; the guard on `epoch` decides that.
      kv::LeaseResult again = co_await store_.grant_lease(to_millis(ttl_), kCallTime);
      if (!leading_) break;
      if (again.outcome == http::Outcome::ok) {
        kv::Transaction txn;
        txn.compares.push_back({std::string(wire::kLeaderKey), 0});
        txn.compares.push_back({std::string(wire::kEpochKey), term_.epoch_mod_revision});
        txn.writes.push_back({std::string(wire::kLeaderKey),
                              wire::write_leader({platform_.node, term_.epoch}), again.lease});
        const Instant asked = loop_.now();
        kv::TransactionResult result =
            co_await store_.commit(txn, kCallTime, kv::Importance::essential);
        if (!leading_) break;
        if (result.applied) {
          lease_ = again.lease;
          lease_proven_at_ = asked;
          spdlog::info("leadership: epoch {} goes on under a new lease", term_.epoch);
        } else if (result.outcome == http::Outcome::ok) {
          step_down("another node took over while the key-value store did not serve us");
          break;
        } else if (result.outcome == http::Outcome::unknown) {
          kv::GetResult got = co_await store_.get(std::string(wire::kLeaderKey), kCallTime,
                                                  kv::Importance::essential);
          if (!leading_) break;
          if (got.outcome == http::Outcome::ok && got.found && got.item.lease == again.lease) {
            lease_ = again.lease;
          }
        }
      }
    }
    const Nanos wait =
        lease.outcome == http::Outcome::ok ? pace : std::min<Nanos>(pace, Millis(300));
    (void)co_await changed_.wait_until(std::max(started + wait, loop_.now() + Millis(20)));
  }
  if (resigning_) (void)co_await store_.revoke_lease(lease_, kCallTime);
  resigning_ = false;
}

}  // namespace dunlinknot::leadership
