// Reads all records under a prefix page by page, with retries of each page.
#include "dunlinknot/roles/list_all.hpp"

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr auto kCallTimeout = std::chrono::seconds(3);  // a page may contain many records

}  // namespace

Task<std::optional<std::vector<kv::ListResult>>> list_all(EventLoop& loop, kv::Client& store,
                                                          std::string prefix, ListRetry retry) {
  const auto still_needed = [&] { return !retry.still_needed || retry.still_needed(); };
  std::vector<kv::ListResult> pages;
  std::string after;
  int failures = 0;  // of the current page
  for (;;) {
    kv::ListResult page = co_await store.list(prefix, after, kCallTimeout);
    if (!still_needed()) co_return std::nullopt;
    if (page.outcome != Outcome::ok) {
      if (retry.max_attempts_per_page && ++failures >= *retry.max_attempts_per_page)
        co_return std::nullopt;
      co_await loop.sleep(retry.delay);
      if (!still_needed()) co_return std::nullopt;
      continue;
    }
    failures = 0;
    const bool last = !page.more || page.items.empty();
    if (!last) after = page.items.back().key;
    pages.push_back(std::move(page));
    if (last) co_return pages;
  }
}

}  // namespace dunlinknot::roles
