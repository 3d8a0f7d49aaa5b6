// Reading all keys under a prefix, page by page.
#pragma once
#include <string>

#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::kv {

// Asks for one page after the other; the caller applies each and decides how often a page without
// an answer is asked for again:
//
//   kv::Pager pager(store, prefix, std::chrono::seconds(3));
//   while (!pager.done()) {
//     const kv::ListResult page = co_await pager.next();
//     if (page.outcome != kv::Outcome::ok) ...  // pause and ask again, or give up
//     for (const kv::KeyValue& item : page.items) ...
//   }
//
// The pages are not of one revision: a key that changes meanwhile is seen before or after that.
class Pager {
 public:
  // `within`: for each page. `client` must outlive it.
  Pager(Client& client, std::string prefix, Nanos within);
  // The next page. After any outcome but `ok` the same page is asked for again.
  Task<ListResult> next();
  // The last page was read.
  bool done() const { return done_; }

 private:
  Client& client_;
  std::string prefix_;
  Nanos within_;
  std::string after_;  // the last key that was read
  bool done_ = false;
};

}  // namespace dunlinknot::kv
