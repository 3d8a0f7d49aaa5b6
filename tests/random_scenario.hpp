// Random jobs, users and troubles over a whole site, watched by the checker of rules.hpp.
#pragma once
#include <gtest/gtest.h>

#include <random>

#include "site.hpp"

namespace dunlinknot::test {

// Two or three troubles at random times over a few jobs and users who poll, repeat and cancel. The
// rules hold throughout; with the troubles over, every accepted job that was not cancelled is done.
class RandomScenario {
 public:
  explicit RandomScenario(uint32_t seed) : rng(seed) {}
  virtual ~RandomScenario() = default;
  RandomScenario(const RandomScenario&) = delete;
  RandomScenario& operator=(const RandomScenario&) = delete;

  // Fails the test that calls it with every rule that was broken and every job that was left.
  void play();
  Site s{3};

 protected:
  using Rng = std::mt19937;
  double draw(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); }
  size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(rng); }
  bool chance(double p) { return draw(0, 1) < p; }
  Nanos in(double a, double b) { return to_nanos(Seconds(draw(a, b))); }

  // What the cloud has, and which jobs come.
  virtual void prepare() {
    s.cloud.capacity = {{"box/a/ordinary", 3}, {"box/b/ordinary", 2}, {"box/a/spot", 2}};
  }
  virtual size_t job_count() const { return 9; }
  virtual Nanos duration() const { return seconds(400); }
  virtual std::function<Nanos(const TaskRef&)> fetch_time() { return nullptr; }
  virtual JobSpec draw_job(size_t n) {
    JobSpec spec = job("run-0000" + std::to_string(10 + n), static_cast<uint32_t>(1 + pick(6)));
    spec.team = std::vector<std::string>{"red", "blue", "tiny"}[pick(3)];
    if (chance(0.3)) spec.checkpoint = Seconds(5), spec.save = Seconds(1);
    if (chance(0.25)) {
      spec.gang = true;
      spec.tasks = 2;
    }
    spec.one_zone = chance(0.4);
    if (chance(0.2)) spec.zone = chance(0.5) ? "a" : "b";
    spec.spot = chance(0.5);
    return spec;
  }

  Task<void> user(JobSpec spec, Nanos begins, std::optional<Nanos> cancels) {
    co_await s.loop.sleep(begins);
    wire::Writer writer;
    wire::write_job(writer, spec);
    const std::string body = writer.take();
    for (int k = 0; k < 40 && !s.rules.was_accepted(spec.id); ++k) {
      (void)co_await s.request(pick(3), "POST", "/v1/jobs", body);
      co_await s.loop.sleep(in(1, 2));
    }
    const Instant cancel_at = cancels ? s.loop.now() + *cancels : Instant::max();
    bool cancelled = false;
    for (;;) {
      if (!cancelled && s.loop.now() >= cancel_at) {
        const auto r = co_await s.request(pick(3), "POST", "/v1/jobs/" + spec.id + "/withdraw");
        cancelled = r.status == 200;
        co_await s.loop.sleep(in(0.5, 1.5));
        continue;
      }
      if (chance(0.1)) (void)co_await s.request(pick(3), "POST", "/v1/jobs", body);
      (void)co_await s.request(pick(3), "GET", "/v1/jobs/" + spec.id);
      co_await s.loop.sleep(in(1, 4));
    }
  }

  // Copies of heartbeats that arrive again, at any node, from two seconds to well over a lease
  // late.
  Task<void> copy_later(std::string body) {
    co_await s.loop.sleep(in(2, 40));
    http::Request request;
    request.method = "POST";
    request.target = "/agent/beat";
    request.body = std::move(body);
    (void)co_await s.handle(pick(3), std::move(request));
  }

  // The key-value store is out for all, and often again a moment after it is back.
  Task<void> outages() {
    s.store.outage = true;
    co_await s.loop.sleep(in(1, 50));
    s.store.end_outage();
    for (auto& n : s.nodes) n->refused_by_store = false;
    if (chance(0.5)) co_return;
    co_await s.loop.sleep(in(0.2, 1.5));
    s.store.outage = true;
    co_await s.loop.sleep(in(1, 20));
    s.store.end_outage();
  }

  Task<void> cut_from_state_and_peers(size_t node) {
    s.nodes[node]->cut_from_store = s.nodes[node]->cut_from_peers = true;
    co_await s.loop.sleep(in(2, 40));
    s.nodes[node]->cut_from_store = s.nodes[node]->cut_from_peers = false;
  }

  Task<void> leaders_change_again_and_again() {
    for (size_t k = 0; k < 8; ++k) {
      s.restart(s.leader().value_or(pick(3)));
      co_await s.loop.sleep(in(0.2, 8));
    }
  }

  // Also for longer than a lease.
  Task<void> all_controllers_away() {
    for (size_t i = 0; i < 3; ++i) s.crash(i);
    co_await s.loop.sleep(in(0.2, 25));
    for (size_t i = 0; i < 3; ++i) s.restart(i);
  }

  // Transactions without an answer are carried out late.
  Task<void> late_transactions() {
    const Instant until = s.loop.now() + in(5, 30);
    while (s.loop.now() < until) {
      s.store.fault_delay = in(2, 12);
      s.store.call_fault = [this](const http::Call& call) {
        return call.target == "/multi" && chance(0.3) ? CallFault::apply_late : CallFault::none;
      };
      co_await s.loop.sleep(in(0.5, 2));
    }
    s.store.call_fault = nullptr;
  }

  using Flags = std::vector<bool ScriptedWorker::*>;
  Task<void> set_for_a_while(const std::vector<ScriptedWorker*>& some, const Flags& flags) {
    const auto set = [&](bool on) {
      for (ScriptedWorker* worker : some) {
        for (const auto flag : flags) worker->*flag = on;
      }
    };
    set(true);
    co_await s.loop.sleep(in(1, 30));
    set(false);
  }

  Task<void> reach_one_controller_alone(const std::vector<ScriptedWorker*>& some,
                                        size_t controller) {
    for (ScriptedWorker* worker : some) {
      for (size_t i = 0; i < 3; ++i) {
        if (i != controller) s.blocked_links.insert({i, worker->id});
      }
    }
    co_await s.loop.sleep(in(2, 30));
    s.blocked_links.clear();
  }

  Task<void> late_copies_of_heartbeats() {
    for (int k = 0; k < 30; ++k) {
      for (auto& [id, w] : s.workers) {
        if (w->powered_on && !w->hung && chance(0.3)) {
          s.loop.spawn(copy_later(wire::write_heartbeat(w->heartbeat())));
        }
      }
      co_await s.loop.sleep(in(0.3, 1));
    }
  }

  Task<void> trouble(Nanos begins) {
    co_await s.loop.sleep(begins);
    const size_t leader = s.leader().value_or(pick(3));
    const size_t node = chance(0.7) ? leader : pick(3);
    std::vector<ScriptedWorker*> some;
    for (auto& [id, w] : s.workers) {
      if (w->powered_on && chance(0.4)) some.push_back(w.get());
    }
    const Flags hung = {&ScriptedWorker::hung}, mute = {&ScriptedWorker::drop_heartbeats},
                cut_off = {&ScriptedWorker::isolated};
    const Flags unreachable = {&ScriptedWorker::drop_responses, &ScriptedWorker::refuse_direct};
    const size_t kind = pick(13);
    log += " " + std::to_string(kind) + "@" +
           std::to_string(to_seconds(s.loop.now().time_since_epoch()).count() - 1000);
    switch (kind) {
      case 0:  // the key-value store refuses the leader alone, and a moment later it is out for all
        s.nodes[leader]->refused_by_store = true;
        co_await s.loop.sleep(in(0.1, 3));
        co_await outages();
        break;
      case 1:
        co_await outages();
        break;
      case 2:
        co_await cut_from_state_and_peers(node);
        break;
      case 3:
        s.restart(node);
        break;
      case 4:
        co_await leaders_change_again_and_again();
        break;
      case 5:
        co_await all_controllers_away();
        break;
      case 6:
        co_await late_transactions();
        break;
      case 7:  // with commands in their sockets
        co_await set_for_a_while(some, hung);
        break;
      case 8:  // they hear no answers and no commands
        co_await set_for_a_while(some, unreachable);
        break;
      case 9:
        co_await set_for_a_while(some, mute);
        break;
      case 10:
        co_await set_for_a_while(some, cut_off);
        break;
      case 11:
        co_await reach_one_controller_alone(some, leader);
        break;
      default:
        co_await late_copies_of_heartbeats();
        break;
    }
  }

  Rng rng;
  std::string log;
};

inline void RandomScenario::play() {
  prepare();
  s.run_for(seconds(2));
  std::vector<std::string> kept;
  for (size_t n = 0; n < job_count(); ++n) {
    const JobSpec spec = draw_job(n);
    s.specs[spec.id] = spec;
    s.rules.submitted(spec);
    std::optional<Nanos> cancels;
    if (chance(0.4)) {
      cancels = in(0, 70);
    } else {
      kept.push_back(spec.id);
    }
    s.loop.spawn(user(spec, in(0, 30), cancels));
  }
  const uint32_t salt = static_cast<uint32_t>(pick(1000));
  const auto run_time = [salt](const TaskRef& task) {
    const size_t h = std::hash<std::string>{}(task.text()) + salt;
    return Nanos(seconds(h % 5 == 0 ? 60 : 3 + h % 17));
  };
  s.on_worker = [this, run_time](ScriptedWorker& worker) {
    worker.run_time = run_time;
    worker.fetch_time = fetch_time();
  };
  const size_t troubles = 2 + pick(2);
  for (size_t k = 0; k < troubles; ++k) s.loop.spawn(trouble(in(8, 60)));
  s.run_for(duration());
  for (const auto& b : s.rules.violations()) ADD_FAILURE() << b << "; troubles:" << log;
  for (const auto& id : kept) {
    if (!s.rules.was_accepted(id)) continue;
    if (s.specs[id].service) {
      // Its replicas run until it is cancelled; a scarce site need not have room for all of them.
      const std::string standing = s.job_state(id, pick(3));
      EXPECT_TRUE(standing == "queued" || standing == "running")
          << id << " is " << standing << "; troubles:" << log;
      continue;
    }
    EXPECT_EQ(s.job_state(id, pick(3)), "done") << id << "; troubles:" << log;
  }
}

}  // namespace dunlinknot::test
