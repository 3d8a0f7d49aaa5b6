#include "dunlinknot/roles/overview.hpp"

#include <fmt/format.h>

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr auto kCallTime = std::chrono::seconds(3);
constexpr int kTries = 3;
constexpr Millis kRetry{300};

// All items under a prefix, page by page; nothing when a page did not come.
Task<bool> list_all(EventLoop& loop, kv::Client& store, std::string prefix,
                    std::vector<kv::ListResult>& pages) {
  std::string after;
  for (;;) {
    kv::ListResult page;
    for (int i = 0; i < kTries && page.outcome != Outcome::ok; ++i) {
      if (i > 0) co_await loop.sleep(kRetry);
      page = co_await store.list(prefix, after, kCallTime);
    }
    if (page.outcome != Outcome::ok) co_return false;
    const bool last = !page.more || page.items.empty();
    if (!last) after = page.items.back().key;
    pages.push_back(std::move(page));
    if (last) co_return true;
  }
}

RoleStatus read_line(Role role, const std::vector<kv::ListResult>& pages) {
  RoleStatus line{role, std::nullopt, std::nullopt};
  for (const kv::ListResult& page : pages) {
    for (const kv::KeyValue& item : page.items) {
      if (item.key != role_key(role)) continue;
      const auto read = read_holder(item.value);
      if (const auto* record = std::get_if<RoleHolderRecord>(&read)) line.holder = *record;
      if (const auto* error = std::get_if<RecordError>(&read)) line.error = *error;
    }
  }
  return line;
}

void add_intent(Overview& overview, const kv::KeyValue& item) {
  const auto scale_out = read_scale_out_intent(item.key, item.value);
  const auto scale_in = read_scale_in_intent(item.key, item.value);
  if (const auto* intent = std::get_if<ScaleOutIntent>(&scale_out);
      intent && !scale_out_name(item.key).empty()) {
    overview.scale_out.push_back(*intent);
  } else if (const auto* back = std::get_if<ScaleInIntent>(&scale_in);
             back && !scale_in_name(item.key).empty()) {
    overview.scale_in.push_back(*back);
  } else {
    overview.unreadable.push_back(item.key);
  }
}

}  // namespace

Task<std::optional<Overview>> read_overview(EventLoop& loop, kv::Client& store) {
  std::vector<kv::ListResult> role_pages;
  std::vector<kv::ListResult> intent_pages;
  const bool roles = co_await list_all(loop, store, std::string(kRolePrefix), role_pages);
  if (!roles) co_return std::nullopt;
  const bool intents = co_await list_all(loop, store, std::string(kIntentPrefix), intent_pages);
  if (!intents) co_return std::nullopt;
  Overview overview;
  for (const Role role : kAllRoles) overview.holders.push_back(read_line(role, role_pages));
  for (const kv::ListResult& page : intent_pages) {
    for (const kv::KeyValue& item : page.items) add_intent(overview, item);
  }
  co_return overview;
}

void print(std::ostream& out, const Overview& overview) {
  for (const RoleStatus& line : overview.holders) {
    std::string who = "nobody";
    if (line.holder)
      who = fmt::format("{} under token {}", line.holder->node, line.holder->fencing_token);
    if (line.error) who = fmt::format("unreadable: {}", text(*line.error));
    out << fmt::format("{:<8} {}\n", name(line.role), who);
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
