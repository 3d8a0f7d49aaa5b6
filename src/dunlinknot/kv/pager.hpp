// Reads all keys under a prefix, page by page.
#pragma once
#include <string>

#include "dunlinknot/kv/client.hpp"

namespace dunlinknot::kv {

// Requests one page after the other. The caller applies each page and decides how often a failed
// request is retried:
//
//   kv::Pager pager(store, prefix, std::chrono::seconds(3));
//   while (!pager.done()) {
//     const kv::ListResult page = co_await pager.next();
//     if (page.outcome != kv::Outcome::ok) ...  // wait and retry, or give up
//     for (const kv::KeyValue& item : page.items) ...
//   }
//
// The pages are not read at one revision: a key that is changed meanwhile may be returned with its
// old or its new value.
class Pager {
 public:
  // `timeout`: for each page. `client` must outlive the pager.
  Pager(Client& client, std::string prefix, Nanos timeout);
  // Reads the next page. After any outcome other than `ok`, the next call requests the same page.
  Task<ListResult> next();
  // Whether the last page has been read.
  bool done() const { return done_; }

 private:
  Client& client_;
  std::string prefix_;
  Nanos timeout_;
  std::string after_;  // the last key read so far
  bool done_ = false;
};

}  // namespace dunlinknot::kv
