// Reads the catalog of machine types from the key-value store or the cloud, and stores it.
#include "dunlinknot/node/catalog_keeper.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::node {

using cluster::LeaderState;
using http::Outcome;

namespace {

constexpr auto kReadTimeout = Millis(800);  // of one read from the key-value store
// Short, because a new node accepts no jobs before the catalog is loaded.
constexpr auto kLoadRetryInterval = Millis(700);
constexpr auto kWriteTimeout = std::chrono::seconds(1);  // of one transaction
// Long, because nothing depends on the stored copy while this node runs.
constexpr auto kStoreRetryInterval = std::chrono::seconds(5);

}  // namespace

CatalogKeeper::CatalogKeeper(cluster::LeaderContext& context, const leadership::Elector& elector,
                             kv::Client& store, cloud::Client& cloud, jobs::RequestHandler& jobs)
    : context_(context), elector_(elector), store_(store), cloud_(cloud), jobs_(jobs) {}

Task<void> CatalogKeeper::load() {
  while (machine_types_.empty()) {
    const kv::GetResult stored = co_await store_.get(std::string(wire::kCatalogKey), kReadTimeout);
    std::optional<std::vector<MachineType>> types;
    if (stored.outcome == Outcome::ok && stored.found)
      types = wire::read_catalog(stored.item.value);
    if (!types) types = co_await cloud_.catalog();
    if (types) {
      machine_types_ = std::move(*types);
    } else {
      co_await context_.loop.sleep(kLoadRetryInterval);
    }
  }
  jobs_.set_catalog(machine_types_);
  if (elector_.leading()) {
    context_.leader_state.with([&](LeaderState& leader) {
      if (leader.cluster.catalog().empty()) leader.cluster.set_catalog(machine_types_);
    });
    context_.schedule.notify();
  }
}

Task<void> CatalogKeeper::store(uint64_t term) {
  while (context_.in_term(term)) {
    if (!machine_types_.empty()) {
      std::string record = wire::write_catalog(machine_types_);
      if (!fits_in_store(record)) {
        spdlog::info(
            "catalog of {} machine types exceeds the key-value store's value limit; not storing it",
            machine_types_.size());
        co_return;
      }
      kv::Transaction transaction = transaction_for(std::move(record));
      const kv::TransactionResult result =
          co_await store_.commit(std::move(transaction), kWriteTimeout);
      // If the transaction was not applied, the catalog is stored already or another node leads.
      // Either way nothing is left to do.
      if (result.outcome == Outcome::ok) co_return;
    }
    co_await context_.loop.sleep(kStoreRetryInterval);
  }
}

bool CatalogKeeper::fits_in_store(const std::string& record) const {
  const auto document = wire::Document::parse(record);
  return document && wire::json_size(document->root()) <= store_.limits().value_bytes();
}

kv::Transaction CatalogKeeper::transaction_for(std::string record) const {
  kv::Transaction transaction;
  transaction.compares.push_back(context_.epoch_compare());
  transaction.compares.push_back({std::string(wire::kCatalogKey), 0});
  transaction.writes.push_back({std::string(wire::kCatalogKey), std::move(record), 0});
  return transaction;
}

}  // namespace dunlinknot::node
