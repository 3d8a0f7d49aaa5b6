// Looks up the state of a job in the cache of terminal states, and otherwise in the key-value
// store.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "dunlinknot/jobs/final_cache.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::jobs {

// The result of a lookup.
struct LookupResult {
  enum class Kind : uint8_t {
    open,         // accepted and not ended
    final,        // done or cancelled
    not_found,    // never accepted
    unconfirmed,  // no answer from the key-value store in time, or a record that cannot be parsed
  };
  Kind kind = Kind::unconfirmed;
  wire::FinalRecord final;    // only with Kind::final
  uint64_t mod_revision = 0;  // of the job's record; only with Kind::open
  uint32_t tasks = 0;         // only with Kind::open

  bool known() const { return kind == Kind::open || kind == Kind::final; }
  // The result for a job that ended as recorded.
  static LookupResult ended(const wire::FinalRecord& record);
};

// Answers from the cache if it has the job's terminal state, and otherwise reads the key-value
// store. Runs on the event loop.
class JobLookup {
 public:
  // `on_cancelled` is called with the id of every job whose cancellation this node reads or writes
  // for the first time, so at most once for each job as long as it is in the cache. The referenced
  // objects must outlive this one.
  JobLookup(EventLoop& loop, kv::Client& store, size_t final_cache_capacity,
            std::function<void(const std::string& id)> on_cancelled);

  // Retries until the deadline.
  Task<LookupResult> find(std::string id, Instant deadline);
  // Records a terminal state that was read or written at this revision of the key-value store.
  void record_final(const std::string& id, const wire::FinalRecord& record, uint64_t revision);

  FinalCache& final_cache() { return final_cache_; }
  // The highest revision of a durable cancellation that this node has read or written. It has not
  // acknowledged any later cancellation to its users.
  uint64_t cancel_revision() const { return cancel_revision_; }

 private:
  EventLoop& loop_;
  kv::Client& store_;
  std::function<void(const std::string& id)> on_cancelled_;
  FinalCache final_cache_;
  uint64_t cancel_revision_ = 0;
};

// The timeout of one call to the key-value store for a user's request, given the time left until
// the request's deadline.
Nanos call_timeout(Nanos time_left);

// The pause before a call with an unknown outcome is made again. An unknown outcome may be known at
// once, so without the pause the retries would use up the request budget.
inline constexpr Millis kRetryDelay{100};

}  // namespace dunlinknot::jobs
