// Reading of a prefix page by page, with retries of each page.
#include "dunlinknot/roles/list_all.hpp"

namespace dunlinknot::roles {

namespace {

using http::Outcome;

constexpr auto kCallTime = std::chrono::seconds(3);  // a page may hold many records

}  // namespace

Task<std::optional<std::vector<kv::ListResult>>> list_all(EventLoop& loop, kv::Client& store,
                                                          std::string prefix, ListRetry retry) {
  const auto wanted = [&] { return !retry.wanted || retry.wanted(); };
  std::vector<kv::ListResult> pages;
  std::string after;
  int failures = 0;  // of the present page
  for (;;) {
    kv::ListResult page = co_await store.list(prefix, after, kCallTime);
    if (!wanted()) co_return std::nullopt;
    if (page.outcome != Outcome::ok) {
      if (retry.tries_of_page && ++failures >= *retry.tries_of_page) co_return std::nullopt;
      co_await loop.sleep(retry.pause);
      if (!wanted()) co_return std::nullopt;
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
