// Reading all keys under a prefix, page by page.
#include "dunlinknot/kv/pager.hpp"

namespace dunlinknot::kv {

Pager::Pager(Client& client, std::string prefix, Nanos within)
    : client_(client), prefix_(std::move(prefix)), within_(within) {}

Task<ListResult> Pager::next() {
  ListResult page = co_await client_.list(prefix_, after_, within_);
  if (page.outcome != Outcome::ok) co_return page;
  // A page that promises more without an item could only be asked for again, for ever.
  done_ = !page.more || page.items.empty();
  if (!done_) after_ = page.items.back().key;
  co_return page;
}

}  // namespace dunlinknot::kv
