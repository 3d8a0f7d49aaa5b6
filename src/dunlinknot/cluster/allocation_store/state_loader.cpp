// Listing the records and applying them to the new leader's state.
#include "dunlinknot/cluster/allocation_store/state_loader.hpp"

#include <spdlog/spdlog.h>

#include "dunlinknot/kv/pager.hpp"

namespace dunlinknot::cluster {

namespace {

// The timeout is longer than for other reads, because a page is larger.
constexpr auto kPageTimeout = std::chrono::seconds(3);

}  // namespace

Task<std::optional<ListingStart>> StateLoader::list(uint64_t term, std::string prefix,
                                                    Visit visit) const {
  LeaderContext& context = access_.context;
  std::optional<ListingStart> start;
  kv::Pager pager(access_.store, std::move(prefix), kPageTimeout);
  while (!pager.done()) {
    const Instant sent = context.loop.now();
    const kv::ListResult page = co_await pager.next();
    if (!context.in_term(term)) co_return std::nullopt;
    if (page.outcome != kv::Outcome::ok) {
      co_await context.loop.sleep(StoreAccess::kRetryDelay);
      if (!context.in_term(term)) co_return std::nullopt;
      continue;
    }
    if (!start) start = ListingStart{page.revision, sent};
    for (const kv::KeyValue& item : page.items) visit(item);
  }
  co_return start;
}

// Jobs are listed first, because progress is applied to them, and progress without an open job is
// obsolete.
Task<std::optional<ListingStart>> StateLoader::load(uint64_t term) {
  const Visit job = [this](const kv::KeyValue& item) { jobs_.apply(item); };
  const auto jobs = co_await list(term, std::string(wire::kJobPrefix), job);
  if (!jobs) co_return std::nullopt;
  cleaner_.clear();
  const Visit progress = [this](const kv::KeyValue& item) { apply_progress(item); };
  const auto chunks = co_await list(term, std::string(wire::kDonePrefix), progress);
  if (!chunks) co_return std::nullopt;
  const Visit machine = [this](const kv::KeyValue& item) { apply_machine(item); };
  const auto machines = co_await list(term, std::string(wire::kMachinePrefix), machine);
  if (!machines) co_return std::nullopt;
  co_return jobs;
}

void StateLoader::apply_progress(const kv::KeyValue& item) {
  const auto key = wire::parse_done_key(item.key);
  if (!key) return;
  const bool open = access_.context.leader_state.with([&](LeaderState& leader) {
    if (!leader.cluster.job(key->first)) return false;
    leader.cluster.load_progress(key->first, key->second, item.value, item.mod_revision);
    return true;
  });
  if (!open) cleaner_.add({item.key, item.mod_revision});
}

void StateLoader::apply_machine(const kv::KeyValue& item) const {
  const std::string id(wire::after_prefix(item.key, wire::kMachinePrefix));
  const auto record = wire::read_machine_record(item.value);
  if (!record) {
    spdlog::error("cannot decode the machine record {}: ignoring it", item.key);
    return;
  }
  const Instant now = access_.context.loop.now();
  access_.context.leader_state.with([&](LeaderState& leader) {
    leader.cluster.load_machine(id, *record, item.mod_revision, now);
  });
}

}  // namespace dunlinknot::cluster
