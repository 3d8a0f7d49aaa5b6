// Leader election: follow the key, campaign for it, renew the lease on it.
#include "dunlinknot/leadership/elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::leadership {

namespace {

using http::Outcome;

constexpr auto kCallTime = Millis(700);  // for one call: several fit into the lease on `leader`
constexpr auto kRetry = Millis(150);     // after a call that was refused or got no answer
constexpr auto kWatchBlock = Millis(10'000);      // how long an idle watch stays open
constexpr auto kLeastWatchBlock = Millis(50);     // of the last watch before a campaign is allowed
constexpr auto kUnansweredRenewal = Millis(300);  // between renewals while they get no answer
constexpr auto kLeastRenewalPause = Millis(20);   // after a renewal that took all its time
constexpr int kReadBackTries = 20;                // of a campaign with an unknown outcome
constexpr auto kResignationBackoff = std::chrono::seconds(20);  // a head start for the other nodes

}  // namespace

Elector::Elector(EventLoop& loop, kv::Client& store, const settings::Platform& platform, Nanos ttl,
                 LeadershipObserver& observer)
    : loop_(loop),
      store_(store),
      platform_(platform),
      ttl_(ttl),
      observer_(observer),
      renewal_window_(renewal_window(platform)),
      changed_(loop) {}

bool Elector::may_start() const {
  const Instant now = loop_.now();
  return leading_ && now - store_.last_answered_request_at() < ttl_ * 2 / 3 &&
         now - cancellations_read_at_ < ttl_ * 2;
}

// Safety 2. A cancellation that we do not know of was acknowledged at C, after
// renewal_window_start() or after what the other nodes confirmed; call that E, so E < C. We answer
// no heartbeat from E + window on, a worker counts its lease from the sending of the heartbeat that
// was answered, so every lease we renewed has expired by E + window + lease, drift included: before
// C + cancel_s. A successor was elected after E as well: our lease on `leader` existed then, and
// whoever confirmed had won nothing. So it waits for the same window from its own election
// (former_leader_renewal_window).
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
  observer_.on_leadership_lost();
  changed_.notify();
}

// `asked`: when the request was sent that proved that we hold the key.
void Elector::become_leader(uint64_t epoch, uint64_t mod_revision, Instant asked) {
  leading_ = true;
  lease_proven_at_ = asked;
  cancellations_read_at_ = Instant{};  // until the open jobs have been read
  resigning_ = false;
  term_ = Term{epoch, mod_revision, loop_.now()};
  known_epoch_ = epoch;
  known_leader_ = platform_.node;
  spdlog::info("leadership: leading epoch {}", epoch);
  observer_.on_elected(term_);
}

// Leadership is never held back by the budget.
Task<kv::GetResult> Elector::get_essential(std::string_view key) {
  return store_.get(std::string(key), kCallTime, kv::Importance::essential);
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

// Returns when nobody holds the key (or only this node's former process does) and this node may
// campaign.
Task<void> Elector::follow() {
  bool current = false;  // what we know of the key is that of revision_
  for (;;) {
    if (!current) current = co_await read_leader();
    if (!current) continue;
    if (vacant() && loop_.now() >= not_before_) co_return;
    current = co_await watch_leader();
  }
}

// Reads the key anew. False, after a pause, when there was no answer.
Task<bool> Elector::read_leader() {
  const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
  if (got.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return false;
  }
  leader_mod_revision_.reset();
  leader_is_previous_process_ = false;
  revision_ = got.revision;
  if (!got.found) co_return true;
  leader_mod_revision_ = got.item.mod_revision;
  revision_ = got.item.mod_revision;
  if (const auto record = wire::read_leader(got.item.value)) {
    observe_epoch(record->epoch, record->node, "the key-value store");
    leader_is_previous_process_ = record->node == platform_.node && got.item.lease != lease_;
  }
  co_return true;
}

// Waits for a change of the key, at most until this node may campaign. False when the key has to be
// read anew.
Task<bool> Elector::watch_leader() {
  const Millis block =
      vacant() ? std::clamp(to_millis(not_before_ - loop_.now()), kLeastWatchBlock, kWatchBlock)
               : kWatchBlock;
  const kv::WatchResult watch =
      co_await store_.watch(std::string(wire::kLeaderKey), revision_, block);
  if (watch.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return false;
  }
  if (watch.relist_required) co_return false;
  revision_ = std::max(revision_, watch.revision);
  for (const kv::Change& change : watch.changes) {
    // The watch is on a prefix.
    if (change.key == wire::kLeaderKey) apply_leader_change(change);
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

// One attempt to acquire the key, under a new lease and the next epoch.
Task<void> Elector::campaign() {
  // A node that the key-value store does not answer now leaves the others a head start.
  const kv::LeaseResult lease = co_await store_.grant_lease(to_millis(ttl_), kCallTime);
  if (lease.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return;
  }
  lease_ = lease.lease;
  const kv::GetResult stored = co_await get_essential(wire::kEpochKey);
  if (stored.outcome != Outcome::ok) {
    co_await loop_.sleep(kRetry);
    co_return;
  }
  const uint64_t last = stored.found ? wire::read_epoch(stored.item.value).value_or(0) : 0;
  const uint64_t epoch = std::max(last, known_epoch_) + 1;
  kv::Transaction txn;
  txn.compares.push_back({std::string(wire::kLeaderKey), leader_mod_revision_.value_or(0)});
  txn.compares.push_back(
      {std::string(wire::kEpochKey), stored.found ? stored.item.mod_revision : 0});
  txn.writes.push_back(leader_write(epoch, lease_));
  txn.writes.push_back({std::string(wire::kEpochKey), wire::write_epoch(epoch), 0});
  const Instant asked = loop_.now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTime, kv::Importance::essential);
  if (result.applied) {
    become_leader(epoch, result.revision, asked);
  } else if (result.outcome == Outcome::unknown) {
    co_await read_back_campaign(epoch);
  }
}

// It is unknown whether the campaign's transaction was applied: nothing else may be tried before
// the key has been read back. The lease bound to the key distinguishes our own attempt from any
// other.
Task<void> Elector::read_back_campaign(uint64_t epoch) {
  for (int i = 0; i < kReadBackTries; ++i) {
    const Instant asked = loop_.now();
    const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
    if (got.outcome == Outcome::ok) {
      const auto record = got.found ? wire::read_leader(got.item.value) : std::nullopt;
      if (record && got.item.lease == lease_ && record->epoch == epoch) {
        become_leader(epoch, got.item.mod_revision, asked);
      }
      co_return;
    }
    co_await loop_.sleep(kRetry);
  }
}

// Renews the lease four times in its duration, until the term ends.
Task<void> Elector::lead() {
  const Nanos pace = ttl_ / 4;
  while (leading_) {
    const Instant started = loop_.now();
    const kv::LeaseResult renewal = co_await store_.renew_lease(lease_, kCallTime);
    if (!leading_) break;
    const bool answered = renewal.outcome == Outcome::ok;
    if (answered && !renewal.expired) lease_proven_at_ = started;
    if (answered && renewal.expired) co_await reacquire_leader_key();
    if (!leading_) break;
    const Nanos wait = answered ? pace : std::min<Nanos>(pace, kUnansweredRenewal);
    (void)co_await changed_.wait_until(std::max(started + wait, loop_.now() + kLeastRenewalPause));
  }
  // The others need not wait for the lease to expire.
  if (resigning_) (void)co_await store_.revoke_lease(lease_, kCallTime);
  resigning_ = false;
}

// The lease expired while the key-value store did not answer us. If nobody took over meanwhile, the
// same epoch continues under a new lease; the compare on `epoch` decides that.
Task<void> Elector::reacquire_leader_key() {
  const kv::LeaseResult grant = co_await store_.grant_lease(to_millis(ttl_), kCallTime);
  if (!leading_ || grant.outcome != Outcome::ok) co_return;
  kv::Transaction txn;
  txn.compares.push_back({std::string(wire::kLeaderKey), 0});
  txn.compares.push_back({std::string(wire::kEpochKey), term_.epoch_mod_revision});
  txn.writes.push_back(leader_write(term_.epoch, grant.lease));
  const Instant asked = loop_.now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTime, kv::Importance::essential);
  if (!leading_) co_return;
  if (result.applied) {
    lease_ = grant.lease;
    lease_proven_at_ = asked;
    spdlog::info("leadership: epoch {} continues under a new lease", term_.epoch);
  } else if (result.outcome == Outcome::ok) {
    step_down("another node took over while the key-value store did not serve us");
  } else if (result.outcome == Outcome::unknown) {
    co_await read_back_reacquisition(grant.lease);
  }
}

// The next renewal proves the lease, if it is ours.
Task<void> Elector::read_back_reacquisition(uint64_t lease) {
  const kv::GetResult got = co_await get_essential(wire::kLeaderKey);
  if (!leading_) co_return;
  if (got.outcome == Outcome::ok && got.found && got.item.lease == lease) lease_ = lease;
}

}  // namespace dunlinknot::leadership
