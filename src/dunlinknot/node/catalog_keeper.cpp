// Reads the machine types from the key-value store or the cloud, and stores them.
#include "dunlinknot/node/catalog_keeper.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::node {

using cluster::LeaderState;
using http::Outcome;

namespace {

constexpr auto kReadTime = Millis(800);                // for one read of the store
constexpr auto kLearnRetry = Millis(700);              // a new node cannot take jobs before
constexpr auto kWriteTime = std::chrono::seconds(1);   // for one transaction
constexpr auto kStoreRetry = std::chrono::seconds(5);  // nothing waits for the stored copy

}  // namespace

CatalogKeeper::CatalogKeeper(cluster::LeaderContext& context, const leadership::Elector& elector,
                             kv::Client& store, cloud::Client& cloud, jobs::RequestHandler& jobs)
    : context_(context), elector_(elector), store_(store), cloud_(cloud), jobs_(jobs) {}

Task<void> CatalogKeeper::learn() {
  while (machine_types_.empty()) {
    const kv::GetResult stored = co_await store_.get(std::string(wire::kCatalogKey), kReadTime);
    std::optional<std::vector<MachineType>> types;
    if (stored.outcome == Outcome::ok && stored.found)
      types = wire::read_catalog(stored.item.value);
    if (!types) types = co_await cloud_.catalog();
    if (types) {
      machine_types_ = std::move(*types);
    } else {
      co_await context_.loop.sleep(kLearnRetry);
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
      if (!storable(record)) {
        spdlog::info("the catalog of {} machine types is too large to be stored",
                     machine_types_.size());
        co_return;
      }
      kv::Transaction transaction = transaction_for(std::move(record));
      const kv::TransactionResult result =
          co_await store_.commit(std::move(transaction), kWriteTime);
      // Not applied: another leader wrote the catalog, or leads now. Either way nothing is left to
      // do.
      if (result.outcome == Outcome::ok) co_return;
    }
    co_await context_.loop.sleep(kStoreRetry);
  }
}

bool CatalogKeeper::storable(const std::string& record) const {
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
