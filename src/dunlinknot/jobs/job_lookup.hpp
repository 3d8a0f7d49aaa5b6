// Finds out what became of a job: from the terminal states that this node remembers, else from the
// key-value store.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "dunlinknot/jobs/final_cache.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/runtime/event_loop.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::jobs {

// What is known of a job.
struct LookupResult {
  enum class Kind : uint8_t {
    open,      // accepted, not ended
    final,     // done or cancelled
    absent,    // never accepted
    unproven,  // the key-value store could not be asked in time
  };
  Kind kind = Kind::unproven;
  wire::FinalRecord final;    // with Kind::final
  uint64_t mod_revision = 0;  // of the job's record, with Kind::open
  uint32_t tasks = 0;         // with Kind::open

  bool known() const { return kind == Kind::open || kind == Kind::final; }
  static LookupResult ended(const wire::FinalRecord& record);
};

// Answers from memory where the answer can no longer change, else asks the store. Event loop only.
class JobLookup {
 public:
  // `on_cancelled` is called with the id of every job that this node newly finds or makes
  // cancelled, at most once a job while the cache remembers it. The referenced objects outlive this
  // one.
  JobLookup(EventLoop& loop, kv::Client& store, size_t final_cache_capacity,
            std::function<void(const std::string& id)> on_cancelled);

  // Tries again until the deadline.
  Task<LookupResult> find(std::string id, Instant deadline);
  // A terminal state was read or written at this revision of the key-value store.
  void record_final(const std::string& id, const wire::FinalRecord& record, uint64_t revision);

  FinalCache& finals() { return finals_; }
  // The latest revision of a cancellation that stands, as far as this node has read or written one:
  // it has confirmed none beyond it to its users.
  uint64_t cancel_revision() const { return cancel_revision_; }

 private:
  EventLoop& loop_;
  kv::Client& store_;
  std::function<void(const std::string& id)> on_cancelled_;
  FinalCache finals_;
  uint64_t cancel_revision_ = 0;
};

// How long one call of the key-value store on a user's behalf may take, with this much left.
Nanos call_time(Nanos left);

}  // namespace dunlinknot::jobs
