// Reads and prints the overview of the singleton roles.
#include "dunlinknot/roles/overview.hpp"

#include <fmt/format.h>

#include "dunlinknot/roles/list_all.hpp"

namespace dunlinknot::roles {

namespace {

// Few attempts, since an operator waits for the result.
constexpr int kMaxAttemptsPerPage = 3;
constexpr Millis kRetryDelay{300};

RoleStatus read_status(Role role, const std::vector<kv::ListResult>& pages) {
  RoleStatus status{role, std::nullopt, std::nullopt};
  for (const kv::ListResult& page : pages) {
    for (const kv::KeyValue& item : page.items) {
      if (item.key != role_key(role)) continue;
      const auto read = read_holder(item.value);
      if (const auto* record = std::get_if<RoleHolderRecord>(&read)) status.holder = *record;
      if (const auto* error = std::get_if<RecordError>(&read)) status.error = *error;
    }
  }
  return status;
}

void add_intent(Overview& overview, const kv::KeyValue& item) {
  const ReadIntent read = read_intent(item.key, item.value);
  if (const auto* scale_out = std::get_if<ScaleOutIntent>(&read)) {
    overview.scale_out.push_back(*scale_out);
  } else if (const auto* scale_in = std::get_if<ScaleInIntent>(&read)) {
    overview.scale_in.push_back(*scale_in);
  } else {
    overview.unreadable.push_back(item.key);
  }
}

}  // namespace

Task<std::optional<Overview>> read_overview(EventLoop& loop, kv::Client& store) {
  const ListRetry retry{kRetryDelay, kMaxAttemptsPerPage, nullptr};
  const auto role_pages = co_await list_all(loop, store, std::string(kRolePrefix), retry);
  if (!role_pages) co_return std::nullopt;
  const auto intent_pages = co_await list_all(loop, store, std::string(kIntentPrefix), retry);
  if (!intent_pages) co_return std::nullopt;
  Overview overview;
  for (const Role role : kAllRoles) overview.holders.push_back(read_status(role, *role_pages));
  for (const kv::ListResult& page : *intent_pages) {
    for (const kv::KeyValue& item : page.items) add_intent(overview, item);
  }
  co_return overview;
}

void print(std::ostream& out, const Overview& overview) {
  for (const RoleStatus& status : overview.holders) {
    std::string holder = "nobody";
    if (status.holder)
      holder = fmt::format("{} under token {}", status.holder->node, status.holder->fencing_token);
    if (status.error) holder = fmt::format("unreadable: {}", describe(*status.error));
    out << fmt::format("{:<8} {}\n", name(status.role), holder);
  }
  for (const ScaleOutIntent& intent : overview.scale_out) {
    out << fmt::format("open: rent {} x {} {} in {} as {} (token {}) for {}\n", intent.count,
                       intent.spot ? "spot" : "ordinary", intent.type, intent.zone, intent.request,
                       intent.fencing_token, intent.job);
  }
  for (const ScaleInIntent& intent : overview.scale_in) {
    out << fmt::format("open: return {} (token {}): {}\n", intent.machine, intent.fencing_token,
                       intent.reason);
  }
  for (const std::string& key : overview.unreadable) {
    out << fmt::format("unreadable: {}\n", key);
  }
}

}  // namespace dunlinknot::roles
