// The users' API. Any node serves it, straight against the key-value store, which alone knows what
// was accepted, cancelled or done.
#pragma once
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>

#include "dunlinknot/http/message.hpp"
#include "dunlinknot/kv/client.hpp"
#include "dunlinknot/settings/settings.hpp"
#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::jobs {

// How jobs ended, as far as this node has seen it: final answers never change.
class FinalCache {
 public:
  explicit FinalCache(size_t most) : most_(most) {}
  bool put(const std::string& id, wire::FinalRecord record);  // whether it is news
  const wire::FinalRecord* find(const std::string& id) const;

 private:
  size_t most_;
  std::unordered_map<std::string, wire::FinalRecord> records_;
  std::deque<std::string> order_;
};

// How far open jobs are, for display, as the leader last told.
class ProgressBoard {
 public:
  void replace(wire::peer::Progress progress);
  std::pair<uint32_t, uint32_t> of(const std::string& id) const;  // done, running

 private:
  uint64_t epoch_ = 0;
  std::unordered_map<std::string, std::pair<uint32_t, uint32_t>> jobs_;
};

class RequestHandler {
 public:
  RequestHandler(EventLoop& loop, kv::Client& store, const settings::Platform& platform,
                 const settings::Operator& operator_settings, uint32_t seed,
                 std::function<void(const std::string& id)> cancelled);

  Task<http::Response> submit(std::string body);
  Task<http::Response> poll(std::string id);
  Task<http::Response> withdraw(std::string id);

  void set_catalog(std::vector<MachineType> types) { catalog_ = std::move(types); }
  bool catalog_known() const { return !catalog_.empty(); }
  FinalCache& finals() { return finals_; }
  ProgressBoard& progress() { return progress_; }
  // The latest revision of a cancellation that stands, as far as this node has read or written one:
  // it has told its users of none beyond it.
  uint64_t cancel_revision() const { return cancel_revision_; }
  uint64_t accepted() const { return accepted_; }
  uint64_t refused() const { return refused_; }

 private:
  enum class Known { open, final, no, unclear };
  struct Lookup {
    Known known = Known::unclear;
    wire::FinalRecord final;
    uint64_t mod_revision = 0;
    uint32_t tasks = 0;
  };
  Task<Lookup> look_up(std::string id, Instant deadline);
  void learn_final(const std::string& id, const wire::FinalRecord& record, uint64_t revision);
  http::Response standing_of(const std::string& id, const Lookup& found, bool with_counts);
  http::Response later(int least_s = 1);
  http::Response refuse(int status, std::string_view why) const;
  // The zones in which an allowed type of machine is offered that a task fits on.
  std::set<std::string> zones_with_fitting_types(const JobSpec& spec) const;
  // Why the job can never run; empty when it can.
  bool storable(const std::string& value) const;
  std::string never_runs(const JobSpec& spec) const;

  EventLoop& loop_;
  kv::Client& store_;
  const settings::Platform& platform_;
  const settings::Operator& op_;
  std::function<void(const std::string&)> cancelled_;
  uint64_t cancel_revision_ = 0;
  std::vector<MachineType> catalog_;
  FinalCache finals_;
  ProgressBoard progress_;
  std::mt19937 random_;
  size_t submitting_ = 0;
  size_t looking_ = 0;
  uint64_t accepted_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace dunlinknot::jobs
