// Leader election: watches the key `leader`, campaigns for it and renews the lease on it.
#include "dunlinknot/leadership/elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::leadership {

namespace {

using http::Outcome;

// Timeout of one call; short, so that several calls fit into the lease on `leader`.
constexpr auto kCallTimeout = Millis(700);
// Delay after a call that was refused or not answered.
constexpr auto kRetryDelay = Millis(150);
// How long a watch without changes stays open. The lower bound applies to the last watch before the
// resignation back-off ends.
constexpr auto kMaxWatchBlock = Millis(10'000);
constexpr auto kMinWatchBlock = Millis(50);
// Interval between renewals while the store does not answer them.
constexpr auto kUnansweredRenewalInterval = Millis(300);
// Minimum delay between the end of one renewal and the start of the next.
constexpr auto kMinRenewalDelay = Millis(20);
// Attempts to read back the result of a campaign whose outcome is unknown.
constexpr int kMaxReadBackAttempts = 20;
// After a resignation this node does not campaign for this long, so that another node is elected.
constexpr auto kResignationBackoff = std::chrono::seconds(20);

}  // namespace

Elector::Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
                 LeadershipObserver& observer)
    : loop_(loop),
      store_(store),
      platform_(platform),
      ttl_(ttl),
      observer_(observer),
      renewal_window_(renewal_window(platform)),
      term_ended_(loop) {}

bool Elector::may_start() const {
  const Instant now = loop_.now();
  return leading_ && now - store_.last_answered_request_at() < ttl_ * 2 / 3 &&
         now - cancellations_read_at_ < ttl_ * 2;
}

// Safety 2: within `cancel_s` of an acknowledged cancellation the job's tasks have ended on every
// machine.
//
// Let E be the later of renewal_window_start() and `confirmed_until`, and let C be the time at
// which a cancellation unknown to this node was acknowledged; then E < C. This node answers no
// heartbeat from E + renewal window on, and a worker counts its lease from sending the heartbeat
// that was answered. So every lease renewed by this node has expired by E + renewal window + worker
// lease, clock drift included, which is before C + cancel_s.
//
// A successor was also elected after E: at E, this node's lease on `leader` existed or the nodes
// that confirmed E had not been elected. The successor therefore waits for the same window, counted
// from its own election (former_leader_renewal_window).
bool Elector::may_renew(std::optional<Instant> confirmed_until) const {
  if (!leading_) return false;
  Instant from = renewal_window_start();
  if (confirmed_until) from = std::max(from, *confirmed_until);
  return loop_.now() < from + renewal_window_;
}

void Elector::on_cancellations_read(Instant sent) {
  cancellations_read_at_ = std::max(cancellations_read_at_, sent);
}

void Elector::observe_epoch(uint64_t epoch, std::optional<std::string> leader,
                            std::string_view source) {
  if (epoch < known_epoch_) return;
  if (epoch > known_epoch_) {
    known_epoch_ = epoch;
    known_leader_ = std::move(leader);
  } else if (leader && !known_leader_) {
    known_leader_ = std::move(leader);
  }
  // A higher epoch exists, so this node's epoch is over, even if its own reads of the key-value
  // store do not show that yet.
  if (leading_ && epoch > term_.epoch) {
    step_down(std::string("observed epoch ") + std::to_string(epoch) + " from " +
              std::string(source));
  }
}

void Elector::resign(std::string_view reason) {
  if (!leading_) return;
  no_campaign_before_ = loop_.now() + kResignationBackoff;
  resigning_ = true;
  step_down(reason);
}

void Elector::step_down(std::string_view reason) {
  if (!leading_) return;
  leading_ = false;
  if (known_leader_ == platform_.node && known_epoch_ <= term_.epoch) known_leader_.reset();
  spdlog::info("leadership: stepped down from epoch {}: {}", term_.epoch, reason);
  observer_.on_leadership_lost();
  term_ended_.notify();
}

// `sent`: when the request was sent whose answer proved that this node holds the key.
void Elector::become_leader(uint64_t epoch, uint64_t mod_revision, Instant sent) {
  leading_ = true;
  lease_proven_at_ = sent;
  cancellations_read_at_ = Instant{};  // no cancellations known until the open jobs have been read
  resigning_ = false;
  term_ = Term{epoch, mod_revision, loop_.now()};
  known_epoch_ = epoch;
  known_leader_ = platform_.node;
  spdlog::info("leadership: elected for epoch {}", epoch);
  observer_.on_elected(term_);
}

// Reads and writes of the leadership keys are sent even when the rate budget is used up.
Task<kv::GetResult> Elector::get_essential(std::string_view key) {
  return store_.get(std::string(key), kCallTimeout, kv::Importance::essential);
}

kv::Write Elector::leader_write(uint64_t epoch, uint64_t lease) const {
  return {std::string(wire::kLeaderKey), wire::write_leader({platform_.node, epoch}), lease};
}

Task<void> Elector::run() {
  for (;;) {
    co_await follow();
    co_await campaign();
    if (leading_) co_await lead();
  }
}

bool Elector::vacant() const {
  return !leader_mod_revision_ || leader_is_previous_process_;
}

// Watches the key. Returns when no node holds it, or only a previous process of this node, and this
// node may campaign.
Task<void> Elector::follow() {
  bool up_to_date = false;  // this node knows the key's state at watched_revision_
  for (;;) {
    if (!up_to_date) up_to_date = co_await read_leader();
    if (!up_to_date) continue;
    if (vacant() && loop_.now() >= no_campaign_before_) co_return;
    up_to_date = co_await watch_leader();
  }
}

// Reads the key. Returns false, after a delay, when the store did not answer.
//
// The following watch starts at the store's revision before the read, so that it reports every
// change that the read may have missed. The key's own mod revision would not do: it can be older
// than the changes that the store keeps, because renewing the lease does not change the key. Only a
// listing returns the revision together with a key that exists.
Task<bool> Elector::read_leader() {
  const kv::ListResult listing =
      co_await store_.list(std::string(wire::kLeaderKey), "", kCallTimeout);
  if (listing.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetryDelay);
    co_return false;
  }
  // A listing does not contain the lease that a key is bound to.
  const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
  if (got.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetryDelay);
    co_return false;
  }
  leader_mod_revision_.reset();
  leader_is_previous_process_ = false;
  watched_revision_ = listing.revision;
  if (!got.found) co_return true;
  leader_mod_revision_ = got.item.mod_revision;
  if (const auto record = wire::read_leader(got.item.value)) {
    observe_epoch(record->epoch, record->node, "the key-value store");
    leader_is_previous_process_ = record->node == platform_.node && got.item.lease != lease_;
  }
  co_return true;
}

// Waits for a change of the key, at most until this node may campaign. Returns false, after a
// delay, when the key has to be read again.
Task<bool> Elector::watch_leader() {
  const Millis block = vacant() ? std::clamp(to_millis(no_campaign_before_ - loop_.now()),
                                             kMinWatchBlock, kMaxWatchBlock)
                                : kMaxWatchBlock;
  const kv::WatchResult watch =
      co_await store_.watch(std::string(wire::kLeaderKey), watched_revision_, block);
  if (watch.outcome != Outcome::ok || watch.relist_required) {
    co_await loop_.sleep(kRetryDelay);
    co_return false;
  }
  watched_revision_ = std::max(watched_revision_, watch.revision);
  for (const kv::Change& change : watch.changes) {
    // The watch matches a prefix, so other keys may be reported too. It may also report changes
    // that read_leader() has already seen.
    const bool seen = change.mod_revision <= leader_mod_revision_.value_or(0);
    if (change.key == wire::kLeaderKey && !seen) apply_leader_change(change);
  }
  co_return true;
}

void Elector::apply_leader_change(const kv::Change& change) {
  leader_is_previous_process_ = false;
  if (change.deleted) {
    leader_mod_revision_.reset();
    known_leader_.reset();
    return;
  }
  leader_mod_revision_ = change.mod_revision;
  if (const auto record = wire::read_leader(change.value)) {
    observe_epoch(record->epoch, record->node, "the key-value store");
  }
}

// Makes one attempt to acquire the key with a new lease and the next epoch.
Task<void> Elector::campaign() {
  // When the store does not answer this node, the delay gives the other nodes precedence.
  const kv::LeaseResult lease = co_await store_.grant_lease(to_millis(ttl_), kCallTimeout);
  if (lease.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetryDelay);
    co_return;
  }
  lease_ = lease.lease;
  const kv::GetResult stored = co_await get_essential(wire::kEpochKey);
  if (stored.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetryDelay);
    co_return;
  }
  const uint64_t last_epoch = stored.found ? wire::read_epoch(stored.item.value).value_or(0) : 0;
  const uint64_t epoch = std::max(last_epoch, known_epoch_) + 1;
  kv::Transaction txn;
  txn.compares.push_back({std::string(wire::kLeaderKey), leader_mod_revision_.value_or(0)});
  txn.compares.push_back(
      {std::string(wire::kEpochKey), stored.found ? stored.item.mod_revision : 0});
  txn.writes.push_back(leader_write(epoch, lease_));
  txn.writes.push_back({std::string(wire::kEpochKey), wire::write_epoch(epoch), 0});
  const Instant sent = loop_.now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTimeout, kv::Importance::essential);
  if (result.applied) become_leader(epoch, result.revision, sent);
  // Without `applied`, a compare failed: another node changed a key, which is read again at once.
  if (result.outcome == Outcome::ok) co_return;
  if (result.outcome == Outcome::unknown) co_await read_back_campaign(epoch);
  if (!leading_) co_await loop_.sleep(kRetryDelay);
}

// Reads the key back after a campaign whose outcome is unknown. No other attempt may be made before
// that. The lease bound to the key shows whether this attempt wrote it.
Task<void> Elector::read_back_campaign(uint64_t epoch) {
  for (int attempt = 0; attempt < kMaxReadBackAttempts; ++attempt) {
    const Instant sent = loop_.now();
    const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
    if (got.outcome == Outcome::ok) {
      const auto record = got.found ? wire::read_leader(got.item.value) : std::nullopt;
      if (record && got.item.lease == lease_ && record->epoch == epoch) {
        become_leader(epoch, got.item.mod_revision, sent);
      }
      co_return;
    }
    co_await loop_.sleep(kRetryDelay);
  }
}

// Renews the lease four times per lease duration, until the term ends.
Task<void> Elector::lead() {
  const Nanos renewal_interval = ttl_ / 4;
  while (leading_) {
    const Instant started = loop_.now();
    const kv::LeaseResult renewal = co_await store_.renew_lease(lease_, kCallTimeout);
    if (!leading_) break;
    const bool answered = renewal.outcome == Outcome::ok;
    if (answered && !renewal.expired) lease_proven_at_ = started;
    if (answered && renewal.expired) co_await reacquire_leader_key();
    if (!leading_) break;
    const Nanos interval =
        answered ? renewal_interval : std::min<Nanos>(renewal_interval, kUnansweredRenewalInterval);
    (void)co_await term_ended_.wait_until(
        std::max(started + interval, loop_.now() + kMinRenewalDelay));
  }
  // Revoking the lease spares the other nodes the wait for its expiry.
  if (resigning_) (void)co_await store_.revoke_lease(lease_, kCallTimeout);
  resigning_ = false;
}

// Called when the lease expired while the key-value store did not answer this node. If no other
// node was elected meanwhile, which the compare on `epoch` checks, the same epoch continues with a
// new lease.
Task<void> Elector::reacquire_leader_key() {
  const kv::LeaseResult grant = co_await store_.grant_lease(to_millis(ttl_), kCallTimeout);
  if (!leading_ || grant.outcome != Outcome::ok) co_return;
  kv::Transaction txn;
  txn.compares.push_back({std::string(wire::kLeaderKey), 0});
  txn.compares.push_back({std::string(wire::kEpochKey), term_.epoch_mod_revision});
  txn.writes.push_back(leader_write(term_.epoch, grant.lease));
  const Instant sent = loop_.now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTimeout, kv::Importance::essential);
  if (!leading_) co_return;
  if (result.applied) {
    lease_ = grant.lease;
    lease_proven_at_ = sent;
    spdlog::info("leadership: lease expired, epoch {} continues with a new lease", term_.epoch);
  } else if (result.outcome == Outcome::ok) {
    step_down("the lease expired and another node was elected meanwhile");
  } else if (result.outcome == Outcome::unknown) {
    co_await read_back_reacquisition(grant.lease);
  }
}

// Adopts the new lease if the key is bound to it; the next renewal then proves it.
Task<void> Elector::read_back_reacquisition(uint64_t lease) {
  const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
  if (!leading_) co_return;
  if (got.outcome == Outcome::ok && got.found && got.item.lease == lease) lease_ = lease;
}

}  // namespace dunlinknot::leadership
