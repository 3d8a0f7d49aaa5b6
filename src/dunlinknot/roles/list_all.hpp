// Reads all records under a prefix of the key-value store, page by page.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::roles {

// How failed reads of a page are retried.
struct ListRetry {
  Nanos delay{0};                            // between two attempts at the same page
  std::optional<int> max_attempts_per_page;  // unlimited if empty
  // Called after each suspension: whether the caller still needs the list. Empty: always.
  std::function<bool()> still_needed;
};

// Returns all pages under `prefix`, in key order, or nothing when the attempts at one page are used
// up or the list is no longer needed. The pages are read one after the other, so they may be of
// different revisions of the store. `loop` and `store` must outlive the call. Runs on `loop`.
Task<std::optional<std::vector<kv::ListResult>>> list_all(EventLoop& loop, kv::Client& store,
                                                          std::string prefix, ListRetry retry);

}  // namespace dunlinknot::roles
