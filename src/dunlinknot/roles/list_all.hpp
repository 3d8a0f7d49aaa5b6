// Reads all records under a prefix of the key-value store, page by page.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::roles {

// What is done about a page that could not be read.
struct ListRetry {
  Nanos pause{0};                    // between two tries of the same page
  std::optional<int> tries_of_page;  // unlimited if empty
  // Asked after each wait: whether the caller still needs the list. Empty: always.
  std::function<bool()> wanted;
};

// All pages under `prefix`, in key order. Nothing when the tries of one page are used up or the
// list is not wanted any more. The pages are read one after the other, so they need not show one
// revision of the store. `loop` and `store` must outlive the call. Runs on the caller's loop.
Task<std::optional<std::vector<kv::ListResult>>> list_all(EventLoop& loop, kv::Client& store,
                                                          std::string prefix, ListRetry retry);

}  // namespace dunlinknot::roles
