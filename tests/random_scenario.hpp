// Random jobs, users and faults on a complete scripted deployment, watched by the rule checker.
#pragma once
#include <gtest/gtest.h>

#include <random>

#include "site.hpp"

namespace dunlinknot::test {

// Two or three faults at random times, while users submit a few jobs, poll them, repeat requests
// and cancel. No rule may be violated at any time. After the faults have ended, every accepted job
// that was not cancelled must be done.
class RandomScenario {
 public:
  explicit RandomScenario(uint32_t seed) : rng(seed) {}
  virtual ~RandomScenario() = default;
  RandomScenario(const RandomScenario&) = delete;
  RandomScenario& operator=(const RandomScenario&) = delete;

  // Runs the scenario. Adds a test failure for each violation and each job that was not completed.
  void run();
  // The same without adding test failures.
  void run_without_checks();
  Site site{3};

 protected:
  using Rng = std::mt19937;
  double random_number(double min, double max) {
    return std::uniform_real_distribution<double>(min, max)(rng);
  }
  // A random index below `count`.
  size_t pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(rng); }
  bool chance(double probability) { return random_number(0, 1) < probability; }
  Nanos random_duration(double min_s, double max_s) {
    return to_nanos(Seconds(random_number(min_s, max_s)));
  }

  // The cloud's capacity and the jobs; derived scenarios override them.
  virtual void prepare() {
    site.cloud.capacity = {{"box/a/ordinary", 3}, {"box/b/ordinary", 2}, {"box/a/spot", 2}};
  }
  virtual size_t job_count() const { return 9; }
  virtual Nanos duration() const { return seconds(400); }
  virtual std::function<Nanos(const TaskRef&)> fetch_time() { return nullptr; }
  // Called for each new worker, after its run and fetch times were set.
  virtual void prepare_worker(ScriptedWorker& /*worker*/) {}
  // Called at the end. Jobs that were not cancelled must be done.
  virtual void check_jobs();
  virtual JobSpec random_job(size_t index) {
    JobSpec spec = job("run-0000" + std::to_string(10 + index), static_cast<uint32_t>(1 + pick(6)));
    spec.team = std::vector<std::string>{"red", "blue", "tiny"}[pick(3)];
    if (chance(0.3)) spec.checkpoint_interval = Seconds(5), spec.checkpoint_duration = Seconds(1);
    if (chance(0.25)) {
      spec.gang = true;
      spec.tasks = 2;
    }
    spec.one_zone = chance(0.4);
    if (chance(0.2)) spec.zone = chance(0.5) ? "a" : "b";
    spec.spot = chance(0.5);
    return spec;
  }

  // A user that submits a job after `start_delay`, repeats the request until it is accepted and
  // then polls until the scenario ends. `cancel_delay` counts from the acceptance; without it the
  // job is not cancelled.
  Task<void> simulate_user(JobSpec spec, Nanos start_delay, std::optional<Nanos> cancel_delay) {
    co_await site.loop.sleep(start_delay);
    wire::Writer writer;
    wire::write_job(writer, spec);
    const std::string body = writer.take();
    for (int attempt = 0; attempt < 40 && !site.rules.was_accepted(spec.id); ++attempt) {
      (void)co_await site.request(pick(3), "POST", "/v1/jobs", body);
      co_await site.loop.sleep(random_duration(1, 2));
    }
    const Instant cancel_at = cancel_delay ? site.loop.now() + *cancel_delay : Instant::max();
    bool cancelled = false;
    for (;;) {
      if (!cancelled && site.loop.now() >= cancel_at) {
        const auto response =
            co_await site.request(pick(3), "POST", "/v1/jobs/" + spec.id + "/withdraw");
        cancelled = response.status == 200;
        co_await site.loop.sleep(random_duration(0.5, 1.5));
        continue;
      }
      if (chance(0.1)) (void)co_await site.request(pick(3), "POST", "/v1/jobs", body);
      (void)co_await site.request(pick(3), "GET", "/v1/jobs/" + spec.id);
      co_await site.loop.sleep(random_duration(1, 4));
    }
  }

  // Delivers a heartbeat once more, to any node, 2 s to 40 s later; the lease is 14 s.
  Task<void> redeliver_later(std::string body) {
    co_await site.loop.sleep(random_duration(2, 40));
    http::Request request;
    request.method = "POST";
    request.target = "/agent/beat";
    request.body = std::move(body);
    (void)co_await site.handle(pick(3), std::move(request));
  }

  // An outage of the key-value store for all nodes, half the time followed by a second one within
  // 1.5 s.
  Task<void> store_outages() {
    site.store.outage = true;
    co_await site.loop.sleep(random_duration(1, 50));
    site.store.end_outage();
    for (auto& node : site.nodes) node->refused_by_store = false;
    if (chance(0.5)) co_return;
    co_await site.loop.sleep(random_duration(0.2, 1.5));
    site.store.outage = true;
    co_await site.loop.sleep(random_duration(1, 20));
    site.store.end_outage();
  }

  Task<void> partition_from_store_and_peers(size_t node) {
    site.nodes[node]->cut_from_store = site.nodes[node]->cut_from_peers = true;
    co_await site.loop.sleep(random_duration(2, 40));
    site.nodes[node]->cut_from_store = site.nodes[node]->cut_from_peers = false;
  }

  Task<void> restart_leaders_repeatedly() {
    for (size_t restart = 0; restart < 8; ++restart) {
      site.restart(site.leader().value_or(pick(3)));
      co_await site.loop.sleep(random_duration(0.2, 8));
    }
  }

  // All controllers are down at once, for up to 25 s; the lease is 14 s.
  Task<void> restart_all_controllers() {
    for (size_t i = 0; i < 3; ++i) site.crash(i);
    co_await site.loop.sleep(random_duration(0.2, 25));
    for (size_t i = 0; i < 3; ++i) site.restart(i);
  }

  // 30 % of the transactions are applied 2 s to 12 s late and never answered.
  Task<void> apply_transactions_late() {
    const Instant until = site.loop.now() + random_duration(5, 30);
    while (site.loop.now() < until) {
      site.store.fault_delay = random_duration(2, 12);
      site.store.call_fault = [this](const http::Call& call) {
        return call.target == "/multi" && chance(0.3) ? CallFault::apply_late : CallFault::none;
      };
      co_await site.loop.sleep(random_duration(0.5, 2));
    }
    site.store.call_fault = nullptr;
  }

  using Flags = std::vector<bool ScriptedWorker::*>;
  Task<void> set_temporarily(const std::vector<ScriptedWorker*>& affected, const Flags& flags) {
    const auto set_all = [&](bool value) {
      for (ScriptedWorker* worker : affected) {
        for (const auto flag : flags) worker->*flag = value;
      }
    };
    set_all(true);
    co_await site.loop.sleep(random_duration(1, 30));
    set_all(false);
  }

  Task<void> limit_links_to_one_controller(const std::vector<ScriptedWorker*>& affected,
                                           size_t controller) {
    for (ScriptedWorker* worker : affected) {
      for (size_t i = 0; i < 3; ++i) {
        if (i != controller) site.blocked_links.insert({i, worker->id});
      }
    }
    co_await site.loop.sleep(random_duration(2, 30));
    site.blocked_links.clear();
  }

  Task<void> redeliver_heartbeats() {
    for (int round = 0; round < 30; ++round) {
      for (auto& [id, worker] : site.workers) {
        if (worker->powered_on && !worker->hung && chance(0.3)) {
          site.loop.spawn(redeliver_later(wire::write_heartbeat(worker->heartbeat())));
        }
      }
      co_await site.loop.sleep(random_duration(0.3, 1));
    }
  }

  Task<void> inject_fault(Nanos start_delay) {
    co_await site.loop.sleep(start_delay);
    const size_t leader = site.leader().value_or(pick(3));
    const size_t node = chance(0.7) ? leader : pick(3);
    std::vector<ScriptedWorker*> affected;
    for (auto& [id, worker] : site.workers) {
      if (worker->powered_on && chance(0.4)) affected.push_back(worker.get());
    }
    const Flags hung = {&ScriptedWorker::hung}, no_heartbeats = {&ScriptedWorker::drop_heartbeats},
                isolated = {&ScriptedWorker::isolated};
    const Flags unreachable = {&ScriptedWorker::drop_responses, &ScriptedWorker::refuse_direct};
    const size_t kind = pick(13);
    fault_log += " " + std::to_string(kind) + "@" +
                 std::to_string(to_seconds(site.loop.now().time_since_epoch()).count() - 1000);
    switch (kind) {
      case 0:  // the store refuses only the leader, and 0.1 s to 3 s later all nodes
        site.nodes[leader]->refused_by_store = true;
        co_await site.loop.sleep(random_duration(0.1, 3));
        co_await store_outages();
        break;
      case 1:
        co_await store_outages();
        break;
      case 2:
        co_await partition_from_store_and_peers(node);
        break;
      case 3:
        site.restart(node);
        break;
      case 4:
        co_await restart_leaders_repeatedly();
        break;
      case 5:
        co_await restart_all_controllers();
        break;
      case 6:
        co_await apply_transactions_late();
        break;
      case 7:  // commands wait in the sockets of the hung machines
        co_await set_temporarily(affected, hung);
        break;
      case 8:  // neither responses to heartbeats nor direct commands arrive
        co_await set_temporarily(affected, unreachable);
        break;
      case 9:
        co_await set_temporarily(affected, no_heartbeats);
        break;
      case 10:
        co_await set_temporarily(affected, isolated);
        break;
      case 11:
        co_await limit_links_to_one_controller(affected, leader);
        break;
      default:
        co_await redeliver_heartbeats();
        break;
    }
  }

  Rng rng;
  std::vector<std::string> uncancelled_jobs;
  std::string fault_log;  // kind and start in seconds of each fault, for failure messages
};

inline void RandomScenario::run() {
  run_without_checks();
  for (const auto& violation : site.rules.violations())
    ADD_FAILURE() << violation << "; faults:" << fault_log;
  check_jobs();
}

inline void RandomScenario::run_without_checks() {
  prepare();
  site.run_for(seconds(2));
  for (size_t index = 0; index < job_count(); ++index) {
    const JobSpec spec = random_job(index);
    site.specs[spec.id] = spec;
    site.rules.submitted(spec);
    std::optional<Nanos> cancel_delay;
    if (chance(0.4)) {
      cancel_delay = random_duration(0, 70);
    } else {
      uncancelled_jobs.push_back(spec.id);
    }
    site.loop.spawn(simulate_user(spec, random_duration(0, 30), cancel_delay));
  }
  const uint32_t run_time_salt = static_cast<uint32_t>(pick(1000));
  const auto run_time = [run_time_salt](const TaskRef& task) {
    const size_t hash = std::hash<std::string>{}(task.text()) + run_time_salt;
    return Nanos(seconds(hash % 5 == 0 ? 60 : 3 + hash % 17));
  };
  site.on_worker = [this, run_time](ScriptedWorker& worker) {
    worker.run_time = run_time;
    worker.fetch_time = fetch_time();
    prepare_worker(worker);
  };
  const size_t fault_count = 2 + pick(2);
  for (size_t i = 0; i < fault_count; ++i) site.loop.spawn(inject_fault(random_duration(8, 60)));
  site.run_for(duration());
}

inline void RandomScenario::check_jobs() {
  for (const auto& id : uncancelled_jobs) {
    if (!site.rules.was_accepted(id)) continue;
    if (site.specs[id].service) {
      // Its replicas run until it is cancelled; with little capacity some may still be queued.
      const std::string state = site.job_state(id, pick(3));
      EXPECT_TRUE(state == "queued" || state == "running")
          << id << " is " << state << "; faults:" << fault_log;
      continue;
    }
    EXPECT_EQ(site.job_state(id, pick(3)), "done") << id << "; faults:" << fault_log;
  }
}

}  // namespace dunlinknot::test
