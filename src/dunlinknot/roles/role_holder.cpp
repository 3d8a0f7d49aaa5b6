// Acquires, renews and releases the singleton roles.
#include "dunlinknot/roles/role_holder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr Millis kCallTimeout{700};
constexpr Millis kRetryDelay{150};
constexpr Nanos kHaltedRetryDelay = std::chrono::seconds(5);
// When the renewal timer fires later than 1/kLateWakeDivisor of the lease duration, the process may
// have been suspended and the last confirmation is discarded.
constexpr int kLateWakeDivisor = 2;

}  // namespace

RoleHolder::RoleHolder(cluster::LeaderContext& context, kv::Client& store)
    : context_(context),
      store_(store),
      holdings_{Holding(to_nanos(context.op.roles_ttl)), Holding(to_nanos(context.op.roles_ttl)),
                Holding(to_nanos(context.op.roles_ttl))} {}

bool RoleHolder::may_act(Role role) const {
  return holding(role).lease.may_act(context_.loop.boot_now());
}

LeaseState RoleHolder::state(Role role) const {
  return holding(role).lease.state(context_.loop.boot_now());
}

std::vector<kv::Compare> RoleHolder::compares(Role role) const {
  return {context_.epoch_compare(), {role_key(role), holding(role).lease.grant().mod_revision}};
}

void RoleHolder::on_term_ended() {
  for (Holding& each : holdings_) each.lease.mark_lost();
}

void RoleHolder::apply_result(Role role, const kv::TransactionResult& result, Instant sent) {
  Holding& held = holding(role);
  if (result.outcome == Outcome::unknown) held.has_unanswered_write = true;
  if (result.outcome != Outcome::ok) return;
  if (!result.compare_failed(role_key(role))) {
    held.lease.confirmed(sent);
    return;
  }
  // The transaction was sent before `fence_unanswered_writes` changed the mod revision, so the
  // failed compare does not show another holder.
  if (sent < held.rewritten_at) return;
  spdlog::info(
      "singleton roles: lost role {} with fencing token {}: its key was changed or removed",
      name(role), fencing_token(role));
  held.lease.mark_lost();
}

Task<std::optional<RoleHolder::StoredRoles>> RoleHolder::read_stored(uint64_t term) {
  StoredRoles stored;
  const kv::ListResult list = co_await store_.list(std::string(kRolePrefix), "", kCallTimeout);
  if (!context_.in_term(term) || list.outcome != Outcome::ok || list.more) co_return std::nullopt;
  for (const kv::KeyValue& item : list.items) {
    if (item.key == kFencingTokenKey && !read_last_fencing_token(item, stored))
      co_return std::nullopt;
    for (const Role role : kAllRoles) {
      if (item.key == role_key(role))
        stored.mod_revisions[static_cast<size_t>(role)] = item.mod_revision;
    }
  }
  co_return stored;
}

// Returns false and halts when the record of the last fencing token cannot be read: without it no
// token is known to be higher than all earlier ones.
bool RoleHolder::read_last_fencing_token(const kv::KeyValue& item, StoredRoles& stored) {
  const auto read = read_fencing_token(item.value);
  if (const auto* error = std::get_if<RecordError>(&read)) {
    spdlog::error("singleton roles: {} is not overwritten and no role is acquired: {}", item.key,
                  describe(*error));
    halted_ = true;
    return false;
  }
  stored.fencing_token = std::get<uint64_t>(read);
  stored.token_mod_revision = item.mod_revision;
  return true;
}

kv::Write RoleHolder::holder_write(Role role, uint64_t fencing_token) const {
  return {role_key(role), write_holder({context_.platform.node, fencing_token}), store_lease_};
}

// Acquires one role with the next fencing token. Returns false when the role is not known to have
// been acquired.
Task<bool> RoleHolder::acquire_role(uint64_t term, Role role, StoredRoles& stored) {
  const uint64_t fencing_token = stored.fencing_token + 1;
  kv::Transaction txn;
  txn.compares.push_back(context_.epoch_compare());
  txn.compares.push_back({role_key(role), stored.mod_revisions[static_cast<size_t>(role)]});
  txn.compares.push_back({std::string(kFencingTokenKey), stored.token_mod_revision});
  txn.writes.push_back(holder_write(role, fencing_token));
  txn.writes.push_back({std::string(kFencingTokenKey), write_fencing_token(fencing_token), 0});
  Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTimeout, kv::Importance::essential);
  if (!context_.in_term(term)) co_return false;
  uint64_t mod_revision = result.revision;
  if (!result.applied) {
    if (result.outcome != Outcome::unknown) co_return false;
    sent = context_.loop.boot_now();
    const std::optional<uint64_t> own = co_await own_mod_revision(term, role, fencing_token);
    if (!own) co_return false;
    mod_revision = *own;
  }
  // The transaction wrote both keys, so they have the same mod revision.
  stored.fencing_token = fencing_token;
  stored.token_mod_revision = mod_revision;
  holding(role).lease.acquired({fencing_token, mod_revision}, sent);
  holding(role).has_unanswered_write = false;
  spdlog::info("singleton roles: acquired role {} with fencing token {}", name(role),
               fencing_token);
  co_return true;
}

// The mod revision of the role's key if this process wrote it with that fencing token, nothing
// otherwise. The lease bound to the key shows whether this process wrote it.
Task<std::optional<uint64_t>> RoleHolder::own_mod_revision(uint64_t term, Role role,
                                                           uint64_t fencing_token) {
  const kv::GetResult got =
      co_await store_.get(role_key(role), kCallTimeout, kv::Importance::essential);
  if (!context_.in_term(term) || got.outcome != Outcome::ok || !got.found) co_return std::nullopt;
  const auto read = read_holder(got.item.value);
  const auto* record = std::get_if<RoleHolderRecord>(&read);
  if (!record || record->fencing_token != fencing_token || got.item.lease != store_lease_)
    co_return std::nullopt;
  co_return got.item.mod_revision;
}

Task<bool> RoleHolder::fence_unanswered_writes(uint64_t term, Role role) {
  Holding& held = holding(role);
  if (!held.has_unanswered_write) co_return true;
  if (!may_act(role)) co_return false;
  const RoleGrant before = held.lease.grant();
  kv::Transaction txn;
  txn.compares = compares(role);
  txn.writes.push_back(holder_write(role, before.fencing_token));
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTimeout, kv::Importance::essential);
  if (!context_.in_term(term)) co_return false;
  apply_result(role, result, sent);
  std::optional<uint64_t> mod_revision;
  if (result.applied) mod_revision = result.revision;
  if (result.outcome == Outcome::unknown)
    mod_revision = co_await own_mod_revision(term, role, before.fencing_token);
  // If the mod revision is unchanged, this transaction may still be applied, too.
  if (!mod_revision || *mod_revision == before.mod_revision || !may_act(role)) co_return false;
  held.lease.acquired({before.fencing_token, *mod_revision}, sent);
  held.rewritten_at = context_.loop.boot_now();
  held.has_unanswered_write = false;
  co_return true;
}

Task<bool> RoleHolder::try_acquire(uint64_t term) {
  const kv::LeaseResult granted =
      co_await store_.grant_lease(to_millis(to_nanos(context_.op.roles_ttl)), kCallTimeout);
  if (!context_.in_term(term) || granted.outcome != Outcome::ok) co_return false;
  store_lease_ = granted.lease;
  std::optional<StoredRoles> stored = co_await read_stored(term);
  if (!stored) co_return false;
  for (const Role role : kAllRoles) {
    const bool acquired = co_await acquire_role(term, role, *stored);
    if (!acquired) co_return false;
  }
  co_return true;
}

Task<RoleHolder::AcquireResult> RoleHolder::acquire(uint64_t term) {
  halted_ = false;
  while (context_.in_term(term)) {
    for (Holding& each : holdings_) {
      each.lease.mark_lost();
      each.lease.become_candidate();
    }
    const bool acquired = co_await try_acquire(term);
    if (acquired) co_return AcquireResult::held;
    if (halted_) co_return AcquireResult::halted;
    if (context_.in_term(term)) co_await context_.loop.sleep(kRetryDelay);
  }
  co_return AcquireResult::term_ended;
}

Task<void> RoleHolder::renew_until_term_ends(uint64_t term) {
  const Nanos ttl = to_nanos(context_.op.roles_ttl);
  const Nanos renew_interval = to_nanos(context_.op.roles_renew);
  Instant next_renewal_at = context_.loop.boot_now() + renew_interval;
  while (context_.in_term(term)) {
    co_await context_.loop.sleep(std::max<Nanos>(next_renewal_at - context_.loop.boot_now(),
                                                 std::min<Nanos>(renew_interval, kRetryDelay)));
    if (!context_.in_term(term)) co_return;
    const Instant woken_at = context_.loop.boot_now();
    if (woken_at > next_renewal_at + ttl / kLateWakeDivisor) {
      for (Holding& each : holdings_) each.lease.discard_confirmation();
    }
    const Renewal renewal = co_await renew(term);
    if (!context_.in_term(term)) co_return;
    next_renewal_at =
        woken_at +
        (renewal.confirmed ? renew_interval : std::min<Nanos>(renew_interval, kRetryDelay * 2));
    if (!renewal.expired && all_held()) continue;
    spdlog::info(
        "singleton roles: this node leads but does not hold all roles; acquiring them again");
    const AcquireResult acquired = co_await acquire(term);
    if (acquired == AcquireResult::term_ended) co_return;
    next_renewal_at = context_.loop.boot_now() +
                      (acquired == AcquireResult::held ? renew_interval : kHaltedRetryDelay);
    // Launches and terminations were not sent while the roles were not held.
    context_.scaling.notify();
  }
}

Task<RoleHolder::Renewal> RoleHolder::renew(uint64_t term) {
  Renewal renewal;
  const kv::LeaseResult renewed = co_await store_.renew_lease(store_lease_, kCallTimeout);
  if (!context_.in_term(term)) co_return renewal;
  renewal.expired = renewed.expired;
  if (renewed.outcome == Outcome::ok && !renewed.expired)
    renewal.confirmed = co_await confirm_roles();
  co_return renewal;
}

bool RoleHolder::all_held() const {
  return std::none_of(kAllRoles.begin(), kAllRoles.end(), [&](Role role) {
    return state(role) == LeaseState::lost || state(role) == LeaseState::candidate;
  });
}

// A renewed lease alone does not show that the roles are held: a successor may have overwritten the
// records. A transaction with compares and no writes shows that the keys are unchanged.
Task<bool> RoleHolder::confirm_roles() {
  kv::Transaction txn;
  txn.compares.push_back(context_.epoch_compare());
  for (const Role role : kAllRoles) txn.compares.push_back(compares(role).back());
  const Instant sent = context_.loop.boot_now();
  const kv::TransactionResult result =
      co_await store_.commit(std::move(txn), kCallTimeout, kv::Importance::essential);
  for (const Role role : kAllRoles) apply_result(role, result, sent);
  co_return result.applied;
}

Task<void> RoleHolder::release() {
  if (store_lease_ == 0) co_return;
  (void)co_await store_.revoke_lease(std::exchange(store_lease_, 0), kCallTimeout);
}

}  // namespace dunlinknot::roles
