// Reads all keys under a prefix, page by page.
#include "dunlinknot/kv/pager.hpp"

namespace dunlinknot::kv {

Pager::Pager(Client& client, std::string prefix, Nanos timeout)
    : client_(client), prefix_(std::move(prefix)), timeout_(timeout) {}

Task<ListResult> Pager::next() {
  ListResult page = co_await client_.list(prefix_, after_, timeout_);
  if (page.outcome != Outcome::ok) co_return page;
  // A page without items gives no key to continue after, so it would be requested again without
  // end.
  done_ = !page.more || page.items.empty();
  if (!done_) after_ = page.items.back().key;
  co_return page;
}

}  // namespace dunlinknot::kv
