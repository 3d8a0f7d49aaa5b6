#include "dunlinknot/jobs/request_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dunlinknot/cluster/placement_constraints.hpp"

namespace dunlinknot::jobs {

namespace {

using http::Outcome;
using http::Response;

constexpr auto kSubmitTime = Millis(4000);  // users wait 5 s
constexpr auto kPollTime = Millis(1600);    // users wait 2 s
constexpr auto kTryTime = Millis(800);
constexpr auto kStoreSilence = Millis(1500);

struct InFlight {
  size_t& n;
  explicit InFlight(size_t& c) : n(c) { ++n; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;
  ~InFlight() { --n; }
};

}  // namespace

bool FinalCache::put(const std::string& id, wire::FinalRecord record) {
  if (most_ == 0) return true;
  if (!records_.emplace(id, record).second) return false;
  order_.push_back(id);
  if (order_.size() > most_) {
    records_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

const wire::FinalRecord* FinalCache::find(const std::string& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

void ProgressBoard::replace(wire::peer::Progress progress) {
  if (progress.epoch < epoch_) return;
  epoch_ = progress.epoch;
  jobs_.clear();
  for (auto& e : progress.entries) jobs_[std::move(e.id)] = {e.done, e.running};
}

std::pair<uint32_t, uint32_t> ProgressBoard::of(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? std::pair<uint32_t, uint32_t>{0, 0} : it->second;
}

RequestHandler::RequestHandler(EventLoop& loop, kv::Client& store,
                               const settings::Platform& platform,
                               const settings::Operator& operator_settings, uint32_t seed,
                               std::function<void(const std::string&)> cancelled)
    : loop_(loop),
      store_(store),
      platform_(platform),
      op_(operator_settings),
      cancelled_(std::move(cancelled)),
      finals_(operator_settings.final_cache),
      random_(seed) {}

// Refused at once, with a time to come back that spreads the retries.
Response RequestHandler::later(int least_s) {
  ++refused_;
  Response response;
  response.status = 503;
  response.retry_after_s = std::uniform_int_distribution<int>(least_s, least_s + 2)(random_);
  response.body = wire::write_error("try again later");
  return response;
}

Response RequestHandler::refuse(int status, std::string_view why) const {
  Response response;
  response.status = status;
  response.body = wire::write_error(why);
  return response;
}

std::set<std::string> RequestHandler::zones_with_fitting_types(const JobSpec& spec) const {
  std::set<std::string> zones;
  for (const MachineType& machine_type : catalog_) {
    if (!spec.need.fits_in(machine_type.size)) continue;
    for (const auto& zone : machine_type.zones) {
      if (cluster::pool_allowed(spec, machine_type.name, zone, false)) zones.insert(zone);
    }
  }
  return zones;
}

std::string RequestHandler::never_runs(const JobSpec& spec) const {
  const auto team = std::find_if(platform_.teams.begin(), platform_.teams.end(),
                                 [&](const auto& t) { return t.name == spec.team; });
  if (team == platform_.teams.end()) return "unknown team";
  const std::set<std::string> zones = zones_with_fitting_types(spec);
  if (zones.empty()) return "a task fits no allowed machine type in an allowed zone";
  // All tasks of a gang or a service run at the same time; those of an array may do so one after
  // the other.
  const bool at_once = spec.gang || spec.service;
  const bool divided = at_once && cluster::most_in_one_zone(spec) < spec.tasks;
  if (spec.spread && divided && (spec.one_zone || zones.size() < 2)) {
    return "a job of which half may be in one zone has no other zone for the rest";
  }
  const double n = at_once ? spec.tasks : 1;
  const auto over = [](double need, double most) {
    return most > 0 && need > most + Resources::kSlack;
  };
  if (over(spec.need.cpus * n, team->cpus_max) || over(spec.need.gpus * n, team->gpus_max)) {
    return "the job needs more than its team's limit";
  }
  return "";
}

void RequestHandler::learn_final(const std::string& id, const wire::FinalRecord& record,
                                 uint64_t revision) {
  const bool changed = finals_.put(id, record);
  if (!record.cancelled) return;
  cancel_revision_ = std::max(cancel_revision_, revision);
  if (changed) cancelled_(id);
}

Task<RequestHandler::Lookup> RequestHandler::look_up(std::string id, Instant deadline) {
  Lookup out;
  if (const auto* f = finals_.find(id)) {
    out.known = Known::final;
    out.final = *f;
    co_return out;
  }
  while (loop_.now() < deadline) {
    const Nanos within = std::min<Nanos>(kTryTime, deadline - loop_.now());
    kv::GetResult open = co_await store_.get(wire::job_key(id), within);
    if (open.outcome == Outcome::refused) co_return out;
    if (open.outcome != Outcome::ok) continue;
    if (open.found) {
      out.known = Known::open;
      out.mod_revision = open.item.mod_revision;
      out.tasks = static_cast<uint32_t>(open.item.value["job"]["pieces"].count().value_or(0));
      co_return out;
    }
    // Not open: over or never submitted. A job moves from one key to the other in one transaction,
    // so reading them in this order cannot miss it.
    kv::GetResult final = co_await store_.get(wire::final_key(id), within);
    if (final.outcome == Outcome::refused) co_return out;
    if (final.outcome != Outcome::ok) continue;
    if (!final.found) {
      out.known = Known::no;
      co_return out;
    }
    const auto record = wire::read_final(final.item.value);
    if (!record) {
      spdlog::error("the record {} cannot be read", wire::final_key(id));
      co_return out;
    }
    out.known = Known::final;
    out.final = *record;
    learn_final(id, *record, final.item.mod_revision);
    co_return out;
  }
  co_return out;
}

Response RequestHandler::standing_of(const std::string& id, const Lookup& found, bool with_counts) {
  JobStanding standing;
  standing.id = id;
  if (found.known == Known::final) {
    standing.state =
        found.final.cancelled ? JobStanding::State::cancelled : JobStanding::State::done;
    standing.done = found.final.cancelled ? 0 : found.final.tasks;
  } else {
    const auto [done, running] = progress_.of(id);
    standing.done = done;
    standing.running = running;
    standing.state = running > 0 ? JobStanding::State::running : JobStanding::State::queued;
  }
  Response response;
  response.status = 200;
  response.body = wire::write_standing(standing, with_counts);
  return response;
}

// Whether the key-value store takes the value, also once its limits are lowered.
bool RequestHandler::storable(const std::string& value) const {
  const auto document = wire::Document::parse(value);
  return document && wire::json_size(document->root()) <= store_.limits().value_bytes();
}

Task<Response> RequestHandler::submit(std::string body) {
  const auto doc = wire::Document::parse(body);
  if (!doc || !doc->root().is_map()) co_return refuse(400, "the body is not a MessagePack map");
  const auto id = wire::submitted_id(doc->root());
  if (!id) co_return refuse(400, "missing or invalid: id");
  if (const auto* f = finals_.find(*id)) {
    Lookup found;
    found.known = Known::final;
    found.final = *f;
    co_return standing_of(*id, found, false);
  }
  if (submitting_ >= op_.max_submissions || !store_.has_room_for_users(2)) co_return later();
  const InFlight in_flight(submitting_);
  const Instant deadline = loop_.now() + kSubmitTime;

  std::string why;
  const auto spec = wire::read_job(doc->root(), why);
  int refusal = spec ? 0 : 400;
  const std::string record = spec ? wire::write_job_record({*spec, loop_.wall()}) : "";
  if (spec && !storable(record)) {
    refusal = 422;
    why = "the job's description is too long";
  }
  if (refusal == 0 && catalog_known()) {
    why = never_runs(*spec);
    if (!why.empty()) refusal = 422;
  }
  if (refusal != 0 || !catalog_known()) {
    // A known id is answered with its state before anything is held against the body.
    const Lookup found = co_await look_up(*id, loop_.now() + kPollTime);
    if (found.known == Known::open || found.known == Known::final) {
      co_return standing_of(*id, found, false);
    }
    if (found.known == Known::unclear || refusal == 0) co_return later();
    spdlog::debug("{} answered {}: {}", *id, refusal, why);
    co_return refuse(refusal, why);
  }

  while (loop_.now() < deadline) {
    kv::Transaction txn;
    txn.compares.push_back({wire::job_key(*id), 0});
    txn.compares.push_back({wire::final_key(*id), 0});
    txn.writes.push_back({wire::job_key(*id), record, 0});
    const Nanos within = std::min<Nanos>(kTryTime, deadline - loop_.now());
    kv::TransactionResult result =
        co_await store_.commit(std::move(txn), within, kv::Importance::user);
    if (result.outcome == Outcome::refused) co_return later();
    if (result.outcome != Outcome::ok) continue;  // the same again: the guards make that harmless
    if (result.applied) {
      ++accepted_;
      Response response;
      response.status = 201;
      response.body = wire::write_standing({*id, JobStanding::State::queued, 0, 0}, false);
      co_return response;
    }
    const Lookup found = co_await look_up(*id, deadline);
    if (found.known == Known::open || found.known == Known::final) {
      co_return standing_of(*id, found, false);
    }
    if (found.known == Known::unclear) break;
  }
  co_return later();
}

Task<Response> RequestHandler::poll(std::string id) {
  if (!wire::valid_job_id(id)) co_return refuse(404, "no such job");
  if (looking_ >= op_.max_polls) co_return later();
  const InFlight in_flight(looking_);
  const Lookup found = co_await look_up(id, loop_.now() + kPollTime);
  if (found.known == Known::unclear) co_return later();
  if (found.known == Known::no) co_return refuse(404, "no such job");
  co_return standing_of(id, found, true);
}

Task<Response> RequestHandler::withdraw(std::string id) {
  if (!wire::valid_job_id(id)) co_return refuse(404, "no such job");
  if (looking_ >= op_.max_polls) co_return later();
  const InFlight in_flight(looking_);
  const Instant deadline = loop_.now() + kSubmitTime;
  while (loop_.now() < deadline) {
    const Lookup found = co_await look_up(id, deadline);
    if (found.known == Known::unclear) break;
    if (found.known == Known::no) co_return refuse(404, "no such job");
    if (found.known == Known::final) co_return standing_of(id, found, false);
    // Safety 3: the job's record goes and its final answer stands in one transaction, before the
    // user is told. From here on every allocation for it fails its guard.
    kv::Transaction txn;
    txn.compares.push_back({wire::job_key(id), found.mod_revision});
    txn.compares.push_back({wire::final_key(id), 0});
    txn.writes.push_back({wire::final_key(id), wire::write_final({true, found.tasks}), 0});
    txn.writes.push_back({wire::job_key(id), "", 0});
    const Nanos within = std::min<Nanos>(kTryTime, deadline - loop_.now());
    kv::TransactionResult result =
        co_await store_.commit(std::move(txn), within, kv::Importance::user);
    if (result.outcome == Outcome::refused) break;
    if (result.outcome == Outcome::ok && result.applied)
      learn_final(id, {true, found.tasks}, result.revision);
    // Applied, overtaken or unknown: what stands now is the answer.
  }
  co_return later();
}

}  // namespace dunlinknot::jobs
