// A controller that does not lead is restarted after the leader has led for more than 10,000 changes
// of the state service. Users then ask about their jobs at all controllers.
#include <algorithm>
#include <cstdio>

#include "deployment.hpp"

namespace dunlinknot::review {
namespace {

constexpr uint64_t kKeptChanges = 10'000;  // by the state service
constexpr auto kFailedFor = seconds(75);   // "a job about which no question is answered for 75 s"
constexpr auto kPollInterval = seconds(5);
constexpr auto kPollTimeout = seconds(2);
constexpr size_t kUsersPerNode = 2;

Setup setup() {
  Setup s;
  s.zones = {"townsville"};
  s.limits = {800, 350, size_t{8} * 1024, 48};
  s.teams =
      "[[params.teams]]\nname = \"imports\"\ncpus = 4000.0\ncpus_max = 8000.0\ngpus = 0.0\n"
      "gpus_max = 0.0\n";
  s.report_s = 5;
  s.lease_s = 26.5;
  s.gang_peer_s = 6;
  s.cancel_s = 51.5;
  s.cloud_rps = 8;
  s.list_lag_s = 8;
  s.cpu = 0.256;
  s.memory_mb = 188;
  s.max_connections = 2554;
  MachineType box;
  box.name = "vatbox";
  box.size = {64, 0, 128};
  box.cache_gb = 40;
  box.fetch_gb_per_s = 0.6;
  box.price = 3.43;
  box.spot_price = 1.15;
  box.boot = Seconds(30);
  box.zones = s.zones;
  s.types = {box};
  return s;
}

JobSpec job(uint64_t number, Seconds estimate) {
  JobSpec spec;
  spec.id = "run-" + std::to_string(number);
  spec.job_class = "tasting-notes";
  spec.team = "imports";
  spec.tasks = 1;
  spec.need = {2, 0, 3.2};
  spec.image = "img-01";
  spec.image_gb = 1;
  spec.estimate = estimate;
  return spec;
}

// The users' traffic before the restart: one-task jobs that are submitted and called off.
struct Traffic {
  Deployment& site;
  std::vector<std::unique_ptr<User>> idle;
  uint64_t submitted = 0, cancelled = 0, in_flight = 0;
  bool stop = false;

  Task<void> one(std::unique_ptr<User> user, uint64_t number) {
    ++in_flight;
    const JobSpec spec = job(number, Seconds(60));
    const std::string body = site.describe(spec);
    bool accepted = false;
    for (int tries = 0; tries < 20 && !accepted && !stop; ++tries) {
      if (tries > 0) co_await site.loop().sleep(Millis(1500));
      const http::Reply reply = co_await user->call("POST", "/v1/jobs", body, seconds(5));
      accepted = reply.status == 201 || reply.status == 200;
    }
    submitted += accepted ? 1 : 0;
    bool ended = !accepted;
    for (int tries = 0; tries < 20 && !ended; ++tries) {
      if (tries > 0) co_await site.loop().sleep(Millis(1500));
      const http::Reply reply =
          co_await user->call("POST", "/v1/jobs/" + spec.id + "/withdraw", "", seconds(5));
      ended = reply.status == 200;
      cancelled += ended ? 1 : 0;
    }
    --in_flight;
    idle.push_back(std::move(user));
  }

  Task<void> run() {
    uint64_t number = 200'000;
    Instant next = site.loop().now();
    while (!stop) {
      std::unique_ptr<User> user;
      if (idle.size() > 8) {
        user = std::move(idle.front());
        idle.erase(idle.begin());
      } else {
        user = site.user(*site.controllers()[number % site.controllers().size()]);
      }
      site.loop().spawn(one(std::move(user), number++));
      next += Nanos(std::chrono::microseconds(8900));
      co_await site.loop().sleep_until(next);
    }
  }
};

struct Asked {
  std::string job, node;
  std::unique_ptr<User> user;
  size_t answered = 0, failed = 0;
  Instant first_failed{};  // of the polls since the last answered one
  Nanos longest{0};
};

Task<void> poll(Deployment& site, Asked& asked, Nanos phase, Instant end) {
  co_await site.loop().sleep(phase);
  while (site.loop().now() < end) {
    const Instant sent = site.loop().now();
    const http::Reply reply =
        co_await asked.user->call("GET", "/v1/jobs/" + asked.job, "", kPollTimeout);
    const bool answered = reply.outcome == http::Outcome::ok && reply.status == 200;
    site.note("user of " + asked.job + " at " + asked.node + ": " +
              (reply.outcome == http::Outcome::ok ? std::to_string(reply.status) : "no response") +
              " " + standing_of(reply));
    if (answered) {
      ++asked.answered;
      asked.first_failed = Instant{};
    } else {
      ++asked.failed;
      if (asked.first_failed == Instant{}) asked.first_failed = sent;
      asked.longest = std::max(asked.longest, site.loop().now() - asked.first_failed);
    }
    co_await site.loop().sleep_until(sent + kPollInterval);
  }
}

// The load balancer's probes of the restarted controller.
Task<void> probe(Deployment& site, Controller& controller, Instant end, size_t& healthy,
                 size_t& failed) {
  while (site.loop().now() < end) {
    const auto prober = site.user(controller);
    const http::Reply reply = co_await prober->call("GET", "/ready", "", seconds(1));
    (reply.status == 200 ? healthy : failed) += 1;
    co_await site.loop().sleep(seconds(1));
  }
}

Task<int> drive(Deployment& site) {
  site.cloud().capacity["vatbox/townsville/ordinary"] = 4;
  site.run_time = [](const TaskRef&) { return Nanos(seconds(600)); };
  if (!co_await site.wait_ready(seconds(10))) co_return kCouldNotRun;
  Controller* leader = site.leader();
  const uint64_t elected_at = site.store().changes();
  site.note("leader: " + leader->name);

  std::vector<Asked> asked;
  for (const auto& controller : site.controllers()) {
    for (size_t i = 0; i < kUsersPerNode; ++i) {
      Asked& entry = asked.emplace_back();
      const JobSpec spec = job(100'001 + asked.size(), Seconds(600));
      entry.job = spec.id;
      entry.node = controller->name;
      const auto user = site.user(*controller);
      const http::Reply reply = co_await user->call("POST", "/v1/jobs", site.describe(spec), seconds(5));
      site.note("user: submitted " + spec.id + ": " + std::to_string(reply.status));
      if (reply.status != 201) co_return kCouldNotRun;
    }
  }

  Traffic traffic{site, {}};
  site.loop().spawn(traffic.run());
  while (site.store().changes() <= elected_at + kKeptChanges + 50) {
    co_await site.loop().sleep(Millis(100));
    if (site.elapsed() > 60) {
      site.note("too few changes: " + std::to_string(site.store().changes()));
      co_return kCouldNotRun;
    }
  }
  traffic.stop = true;
  site.note("users submitted " + std::to_string(traffic.submitted) + " jobs and called off " +
            std::to_string(traffic.cancelled) + "; changes since the election: " +
            std::to_string(site.store().changes() - elected_at));
  if (site.leader() != leader) co_return kCouldNotRun;

  Controller* restarted = nullptr;
  for (const auto& controller : site.controllers()) {
    if (controller.get() != leader) restarted = controller.get();
  }
  if (site.trouble()) {
    site.kill_process(*restarted);
    co_await site.loop().sleep(Millis(500));
    site.start(*restarted);
  }
  if (!co_await site.wait_ready(seconds(5))) co_return kCouldNotRun;
  site.note("all controllers are ready");
  // The connections are opened now: the load balancer takes a node that is healthy.
  for (size_t i = 0; i < asked.size(); ++i)
    asked[i].user = site.user(*site.controllers()[i / kUsersPerNode]);
  const Instant end = site.loop().now() + kFailedFor + seconds(7);
  size_t healthy = 0, unhealthy = 0;
  site.loop().spawn(probe(site, *restarted, end, healthy, unhealthy));
  for (size_t i = 0; i < asked.size(); ++i)
    site.loop().spawn(poll(site, asked[i], Millis(200 * i), end));
  const uint64_t requests_before = site.store().requests;
  const uint64_t too_old_before = site.store().too_old;
  const Instant asked_from = site.loop().now();
  const auto longest = [&] {
    Nanos most{0};
    for (const Asked& entry : asked) most = std::max(most, entry.longest);
    return most;
  };
  while (site.loop().now() < end && longest() < kFailedFor) co_await site.loop().sleep(Millis(200));
  co_await site.loop().sleep(seconds(1));  // the other users of that controller
  const double span = to_seconds(site.loop().now() - asked_from).count();
  site.note("state service: " +
            std::to_string(static_cast<double>(site.store().requests - requests_before) / span) +
            " requests a second, of them answered 410: " +
            std::to_string(static_cast<double>(site.store().too_old - too_old_before) / span) +
            ", refused with 429 since the start: " + std::to_string(site.store().throttled_requests));
  site.note("probes of " + restarted->name + ": ready " + std::to_string(healthy) + ", not ready " +
            std::to_string(unhealthy));
  size_t forgotten = 0;
  for (const Asked& entry : asked) {
    site.note(entry.job + " asked at " + entry.node + ": answered " +
              std::to_string(entry.answered) + ", failed " + std::to_string(entry.failed) +
              ", longest time without an answer " +
              std::to_string(to_seconds(entry.longest).count()) + " s");
    if (entry.longest >= kFailedFor) ++forgotten;
  }
  site.note("leader at the end: " + (site.leader() ? site.leader()->name : "none"));
  co_return forgotten > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace dunlinknot::review

int main(int argc, char** argv) {
  try {
    dunlinknot::review::Deployment site(argc, argv, dunlinknot::review::setup());
    return site.run(dunlinknot::review::drive(site));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return dunlinknot::review::kCouldNotRun;
  }
}
