// Where two troubles meet (docs/meetings.md): each test brings one meeting about and asserts the
// protocol's rules through the checker of rules.hpp, which watches the whole scenario.
#include <gtest/gtest.h>

#include <random>

#include "support.hpp"

namespace dunlinknot::test {
namespace {

// A job of long tasks, running, with a leader and two other nodes.
struct Gap : testing::Test {
  Site s{3};
  const JobSpec long_job = job("run-000001", 4);
  size_t old = 0, other = 0, third = 0;

  void SetUp() override {
    s.run_for(seconds(2));
    ASSERT_TRUE(s.leader());
    old = *s.leader();
    other = (old + 1) % 3;
    third = (old + 2) % 3;
    ASSERT_EQ(s.submit(long_job).status, 201);
    while (s.workers.empty()) s.run_for(Millis(100));
    for (auto& [id, w] : s.workers) w->run_time = [](const TaskRef&) { return seconds(400); };
    s.run_for(seconds(12));
    ASSERT_EQ(on_machines(), 4u);
  }
  size_t on_machines() const {
    size_t n = 0;
    for (uint32_t i = 0; i < long_job.tasks; ++i) n += s.copies({long_job.id, i});
    return n;
  }
  // The workers reach the old leader alone.
  void tie_workers_to_old() {
    for (auto& [id, w] : s.workers) {
      s.cut.insert({other, id});
      s.cut.insert({third, id});
    }
  }
};

TEST_F(Gap, TheLeaderIsRefusedAloneAndThenAllForLongerThanACancellationMayTake) {
  for (const auto refused_before : {Millis(300), Millis(2000)}) {
    Site fresh(3);
    fresh.run_for(seconds(2));
    const size_t l = *fresh.leader();
    fresh.submit(job("run-000002", 4));
    while (fresh.workers.empty()) fresh.run_for(Millis(100));
    for (auto& [id, w] : fresh.workers) w->run_time = [](const TaskRef&) { return seconds(400); };
    fresh.run_for(seconds(12));
    fresh.nodes[l]->refused_by_state = true;
    fresh.run_for(refused_before / 2);
    ASSERT_EQ(fresh.cancel("run-000002", (l + 1) % 3).status, 200);
    fresh.run_for(refused_before / 2);
    fresh.state.outage = true;
    fresh.run_for(seconds(50));
    fresh.state.end_outage();
    fresh.nodes[l]->refused_by_state = false;
    fresh.run_for(seconds(30));
    expect_rules(fresh);
    EXPECT_EQ(fresh.standing("run-000002"), "cancelled");
  }
}

TEST_F(Gap, AServedRenewalSaysNothingOfCancellations) {
  // The leader's own requests are served, but what it reads of the jobs does not come: the window
  // began anew with each renewal, and the cancelled tasks ran on for as long as that lasted.
  s.nodes[old]->cut_from_peers = true;
  tie_workers_to_old();
  s.state.fate = [&](const http::Call& c) {
    return c.target.starts_with("/changes?starts=job/") ? Fate::lose_request : Fate::normal;
  };
  s.run_for(seconds(8));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.run_for(seconds(60));
  expect_rules(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, AMomentOfServiceBetweenTwoOutagesDoesNotMoveTheWindow) {
  // A renewal gets through, the read does not.
  s.nodes[old]->cut_from_peers = true;
  tie_workers_to_old();
  s.nodes[old]->refused_by_state = true;
  s.run_for(Millis(200));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.state.outage = true;
  s.state.fate = [&](const http::Call& c) {
    return c.target.starts_with("/changes") ? Fate::refuse : Fate::normal;
  };
  s.run_for(seconds(20));
  s.state.end_outage();
  s.nodes[old]->refused_by_state = false;
  s.run_for(seconds(1));
  s.state.outage = true;
  s.run_for(seconds(30));
  expect_rules(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, APeerThatToldAndCameBackCannotVouch) {
  // The other nodes are silent afterwards, and one of them has no memory of what it told.
  s.nodes[old]->refused_by_state = true;
  s.run_for(Millis(100));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.state.outage = true;
  s.restart(other);
  s.run_for(seconds(45));
  expect_rules(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, WhatOnlyTheLeaderItselfToldItKnows) {
  // Its user cancels at the leader, whose watch does not come; the others vouch for themselves.
  s.state.fate = [&](const http::Call& c) {
    return c.target.starts_with("/changes?starts=job/") ? Fate::lose_request : Fate::normal;
  };
  s.run_for(seconds(3));
  ASSERT_EQ(s.cancel(long_job.id, old).status, 200);
  s.run_for(seconds(6));
  EXPECT_EQ(on_machines(), 0u) << "stopped at once, not by the end of the leases";
  s.state.outage = true;
  s.run_for(seconds(45));
  expect_rules(s);
}

TEST_F(Gap, AnOutageForAllLongerThanTheWindowLosesNoTaskWhenNobodyToldOfACancellation) {
  s.run_for(seconds(5));
  s.state.outage = true;
  s.run_for(seconds(80));
  s.state.end_outage();
  s.run_for(seconds(20));
  EXPECT_EQ(on_machines(), 4u);
  EXPECT_EQ(s.starts, 4u) << "the leases were renewed all along";
  expect_rules(s);
}

TEST_F(Gap, ALeaderRefusedAloneGivesWaySoon) {
  s.nodes[old]->refused_by_state = true;
  s.run_for(seconds(6));
  ASSERT_TRUE(s.leader());
  EXPECT_NE(*s.leader(), old);
  EXPECT_FALSE(s.daemon(old).elector().leading());
  s.run_for(seconds(20));
  EXPECT_EQ(on_machines(), 4u) << "and its tasks run on";
  EXPECT_EQ(s.starts, 4u);
  expect_rules(s);
}

TEST_F(Gap, APeersWordStopsTheTasksAtOnce) {
  s.nodes[old]->refused_by_state = true;
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.daemon(old).heard_cancelled(long_job.id);
  s.run_for(seconds(2));
  EXPECT_EQ(on_machines(), 0u);
  expect_rules(s);
}

TEST_F(Gap, AMachineThatHangsMeanwhileGoesOnToNothing) {
  // It has the stop in its socket, or missed it, and goes on within its lease.
  for (const bool direct : {true, false}) {
    s.nodes[old]->refused_by_state = false;
    auto& w = *s.workers.begin()->second;
    w.refuse_direct = !direct;
    w.hung = true;
    (void)s.cancel(long_job.id, other);
    s.run_for(seconds(12));
    w.hung = false;
    s.run_for(seconds(3));
    for (const auto& [key, t] : w.tasks) EXPECT_EQ(t.state, TaskState::exited);
    s.run_for(seconds(40));
  }
  expect_rules(s);
}

TEST_F(Gap, AReportOlderThanADirectAnswerIsStillAnsweredWithTheStops) {
  // Its lease was renewed by an answer without them.
  const size_t l = *s.leader();
  auto& w = *s.workers.begin()->second;
  w.mute = true;
  w.refuse_direct = true;
  s.run_for(Millis(1600));
  const WorkerReport held = w.report();
  const WorkerReport newer = w.report();
  auto& d = s.daemon(l).context();
  d.leader_state.with(
      [&](cluster::LeaderState& p) { (void)p.cluster.on_direct_report(newer, s.clock.now()); });
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.run_for(Millis(200));
  const http::Response r = s.ask(l, "POST", "/agent/beat", wire::write_report(held));
  ASSERT_EQ(r.status, 200);
  EXPECT_NE(r.body.find("stop"), std::string::npos);
}

TEST(Meetings, AListingThatLacksAJobEndsItAtOnce) {
  // The watch was too old, and asking how the missing job ended got no answer: its cancellation was
  // never heard of again.
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  while (s.workers.empty()) s.run_for(Millis(100));
  for (auto& [id, w] : s.workers) w->run_time = [](const TaskRef&) { return seconds(400); };
  s.run_for(seconds(12));
  s.state.too_old = true;
  s.state.fate = [&](const http::Call& c) {
    return c.target == "/keys/job/run-000001" ? Fate::lose_request : Fate::normal;
  };
  s.state.erase("job/run-000001");
  s.state.put("final/run-000001", wire::write_final({true, 2}));
  s.run_for(seconds(2));
  s.state.too_old = false;
  s.run_for(seconds(5));
  EXPECT_EQ(s.copies({"run-000001", 0}), 0u);
  EXPECT_EQ(s.copies({"run-000001", 1}), 0u);
}

TEST(Meetings, AnAnswerOlderThanAJobsEndDoesNotBringItBack) {
  // Its progress was written with an unknown outcome, so the leader reads its record; it is
  // cancelled while that answer is under way.
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  while (s.workers.empty()) s.run_for(Millis(50));
  for (auto& [id, w] : s.workers) {
    w->run_time = [](const TaskRef& t) { return seconds(t.index == 0 ? 5 : 300); };
  }
  bool lost = false, read = false;
  s.state.late_by = Millis(900);
  s.state.fate = [&](const http::Call& c) {
    if (!lost && is_commit_of(c, "done/run-000001")) {
      lost = true;
      return Fate::lose_reply;
    }
    if (lost && !read && c.target == "/keys/job/run-000001") {
      read = true;
      return Fate::slow_reply;
    }
    return Fate::normal;
  };
  while (!read && s.clock.now() < Instant(seconds(1100))) s.run_for(Millis(20));
  ASSERT_TRUE(read);
  s.run_for(Millis(50));
  s.state.erase("job/run-000001");
  s.state.put("final/run-000001", wire::write_final({true, 2}));
  s.run_for(Millis(100));
  size_t back = 0;
  for (int k = 0; k < 100; ++k) {
    s.run_for(Millis(20));
    s.daemon(0).context().leader_state.with(
        [&](cluster::LeaderState& p) { back += p.cluster.job("run-000001") ? 1 : 0; });
  }
  EXPECT_EQ(back, 0u);
  s.run_for(seconds(10));
  EXPECT_EQ(s.copies({"run-000001", 1}), 0u);
}

TEST(Meetings, CancellationsQuestionsAndRepeatsMeetTheEndOfAJobsLastTask) {
  // On all nodes at once, from well before the end to well after it.
  Site s(3);
  s.run_for(seconds(2));
  for (int i = 0; i < 40; ++i) {
    const JobSpec j = job("run-0000" + std::to_string(10 + i));
    ASSERT_TRUE(s.submit(j, 1).status / 100 == 2);
    while (s.copies({j.id, 0}) == 0) s.run_for(Millis(50));
    s.run_for(Millis(4500 + 40 * i));
    wire::Writer w;
    wire::write_job(w, j);
    const std::string body = w.take();
    const auto one = [](Site& site, size_t node, std::string method, std::string target,
                        std::string b) -> Task<void> {
      (void)co_await site.request(node, std::move(method), std::move(target), std::move(b));
    };
    for (size_t n = 0; n < 3; ++n) {
      s.loop.spawn(one(s, n, "POST", "/v1/jobs/" + j.id + "/withdraw", ""));
      s.loop.spawn(one(s, n, "GET", "/v1/jobs/" + j.id, ""));
      s.loop.spawn(one(s, n, "POST", "/v1/jobs", body));
    }
    s.run_for(Millis(300));
    const std::string told = s.standing(j.id, 0);
    EXPECT_TRUE(told == "done" || told == "cancelled") << told;
    EXPECT_EQ(s.standing(j.id, 1), told);
    EXPECT_EQ(s.standing(j.id, 2), told);
  }
  s.run_for(seconds(60));
  expect_rules(s);
}

TEST(Meetings, ATeamAtItsLimitWhoseMachineCannotBeAskedWhenTheLeaderChanges) {
  Site s(3);
  s.cloud.capacity["box/a/ordinary"] = 4;
  s.run_for(seconds(2));
  JobSpec first = job("run-000001", 2);
  first.team = "tiny";  // 4 cpus at most, a task takes 2
  ASSERT_EQ(s.submit(first).status, 201);
  while (s.workers.empty()) s.run_for(Millis(100));
  for (auto& [id, w] : s.workers) w->run_time = [](const TaskRef&) { return seconds(300); };
  s.run_for(seconds(12));
  ASSERT_EQ(s.starts, 2u);
  for (auto& [id, w] : s.workers) w->cut = true;
  const size_t old = *s.leader();
  s.crash(old);
  ASSERT_EQ(s.cancel(first.id, (old + 1) % 3).status, 200);
  JobSpec next = job("run-000002", 2);
  next.team = "tiny";
  ASSERT_EQ(s.submit(next, (old + 1) % 3).status, 201);
  s.run_for(seconds(10));
  EXPECT_EQ(s.starts, 2u) << "the cancelled tasks may still be there, and count";
  s.run_for(seconds(110));
  EXPECT_EQ(s.standing(next.id, (old + 1) % 3), "done");
  expect_rules(s);
}

TEST(Meetings, TasksOfOneJobEndFarApartAcrossChangesOfLeader) {
  Site s(3);
  s.cloud.capacity["box/a/ordinary"] = 4;
  s.run_for(seconds(2));
  ASSERT_EQ(s.submit(job("run-000001", 3)).status, 201);
  while (s.workers.empty()) s.run_for(Millis(100));
  for (auto& [id, w] : s.workers) {
    w->run_time = [](const TaskRef& t) { return seconds(5 + 20 * t.index); };
  }
  for (int change = 0; change < 10; ++change) {  // ten in two minutes, some inside an outage
    s.run_for(seconds(8));
    s.state.outage = change % 3 == 1;
    s.restart(s.leader().value_or(0));
    s.run_for(seconds(4));
    if (s.state.outage) s.state.end_outage();
  }
  s.run_for(seconds(20));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_EQ(s.starts, 3u) << "nothing was run again";
  expect_rules(s);
}

// Two or three troubles at random times over a few jobs and users who poll, repeat and cancel. The
// rules hold throughout; with the troubles over, every accepted job that was not cancelled is done.
class RandomMeetings : public testing::TestWithParam<uint32_t> {
 protected:
  using Rng = std::mt19937;
  double draw(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); }
  size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(rng); }
  bool chance(double p) { return draw(0, 1) < p; }
  Nanos in(double a, double b) { return to_nanos(Seconds(draw(a, b))); }

  JobSpec draw_job(size_t n) {
    JobSpec j = job("run-0000" + std::to_string(10 + n), static_cast<uint32_t>(1 + pick(6)));
    j.team = std::vector<std::string>{"red", "blue", "tiny"}[pick(3)];
    if (chance(0.3)) j.checkpoint = Seconds(5), j.save = Seconds(1);
    if (chance(0.25)) {
      j.gang = true;
      j.tasks = 2;
    }
    j.one_zone = chance(0.4);
    if (chance(0.2)) j.zone = chance(0.5) ? "a" : "b";
    j.spot = chance(0.5);
    return j;
  }

  Task<void> user(JobSpec j, Nanos begins, std::optional<Nanos> cancels) {
    co_await s.loop.sleep(begins);
    wire::Writer w;
    wire::write_job(w, j);
    const std::string body = w.take();
    for (int k = 0; k < 40 && !s.rules.was_accepted(j.id); ++k) {
      (void)co_await s.request(pick(3), "POST", "/v1/jobs", body);
      co_await s.loop.sleep(in(1, 2));
    }
    const Instant cancel_at = cancels ? s.loop.now() + *cancels : Instant::max();
    bool cancelled = false;
    for (;;) {
      if (!cancelled && s.loop.now() >= cancel_at) {
        const auto r = co_await s.request(pick(3), "POST", "/v1/jobs/" + j.id + "/withdraw");
        cancelled = r.status == 200;
        co_await s.loop.sleep(in(0.5, 1.5));
        continue;
      }
      if (chance(0.1)) (void)co_await s.request(pick(3), "POST", "/v1/jobs", body);
      (void)co_await s.request(pick(3), "GET", "/v1/jobs/" + j.id);
      co_await s.loop.sleep(in(1, 4));
    }
  }

  // Copies of reports that arrive again, at any node, from two seconds to well over a lease late.
  Task<void> copy_later(std::string body) {
    co_await s.loop.sleep(in(2, 40));
    http::Request r;
    r.method = "POST";
    r.target = "/agent/beat";
    r.body = std::move(body);
    (void)co_await s.handle(pick(3), std::move(r));
  }

  // The state service is out for all, and often again a moment after it is back.
  Task<void> outages() {
    s.state.outage = true;
    co_await s.loop.sleep(in(1, 50));
    s.state.end_outage();
    for (auto& n : s.nodes) n->refused_by_state = false;
    if (chance(0.5)) co_return;
    co_await s.loop.sleep(in(0.2, 1.5));
    s.state.outage = true;
    co_await s.loop.sleep(in(1, 20));
    s.state.end_outage();
  }

  Task<void> cut_from_state_and_peers(size_t node) {
    s.nodes[node]->cut_from_state = s.nodes[node]->cut_from_peers = true;
    co_await s.loop.sleep(in(2, 40));
    s.nodes[node]->cut_from_state = s.nodes[node]->cut_from_peers = false;
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
      s.state.late_by = in(2, 12);
      s.state.fate = [this](const http::Call& c) {
        return c.target == "/multi" && chance(0.3) ? Fate::apply_late : Fate::normal;
      };
      co_await s.loop.sleep(in(0.5, 2));
    }
    s.state.fate = nullptr;
  }

  using Flags = std::vector<bool Worker::*>;
  Task<void> set_for_a_while(const std::vector<Worker*>& some, const Flags& flags) {
    const auto set = [&](bool on) {
      for (Worker* w : some) {
        for (const auto flag : flags) w->*flag = on;
      }
    };
    set(true);
    co_await s.loop.sleep(in(1, 30));
    set(false);
  }

  Task<void> reach_one_controller_alone(const std::vector<Worker*>& some, size_t controller) {
    for (Worker* w : some) {
      for (size_t i = 0; i < 3; ++i) {
        if (i != controller) s.cut.insert({i, w->id});
      }
    }
    co_await s.loop.sleep(in(2, 30));
    s.cut.clear();
  }

  Task<void> late_copies_of_reports() {
    for (int k = 0; k < 30; ++k) {
      for (auto& [id, w] : s.workers) {
        if (w->on && !w->hung && chance(0.3)) {
          s.loop.spawn(copy_later(wire::write_report(w->report())));
        }
      }
      co_await s.loop.sleep(in(0.3, 1));
    }
  }

  Task<void> trouble(Nanos begins) {
    co_await s.loop.sleep(begins);
    const size_t leader = s.leader().value_or(pick(3));
    const size_t node = chance(0.7) ? leader : pick(3);
    std::vector<Worker*> some;
    for (auto& [id, w] : s.workers) {
      if (w->on && chance(0.4)) some.push_back(w.get());
    }
    const Flags hung = {&Worker::hung}, mute = {&Worker::mute}, cut_off = {&Worker::cut};
    const Flags unreachable = {&Worker::drop_responses, &Worker::refuse_direct};
    const size_t kind = pick(13);
    log += " " + std::to_string(kind) + "@" +
           std::to_string(to_seconds(s.loop.now().time_since_epoch()).count() - 1000);
    switch (kind) {
      case 0:  // the state service refuses the leader alone, and a moment later it is out for all
        s.nodes[leader]->refused_by_state = true;
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
        co_await late_copies_of_reports();
        break;
    }
  }

  Rng rng{GetParam()};
  std::string log;
  Site s{3};
};

TEST_P(RandomMeetings, BreakNoRule) {
  s.cloud.capacity = {{"box/a/ordinary", 3}, {"box/b/ordinary", 2}, {"box/a/spot", 2}};
  s.run_for(seconds(2));
  std::vector<JobSpec> jobs;
  std::vector<std::string> kept;
  for (size_t n = 0; n < 9; ++n) {
    const JobSpec j = draw_job(n);
    s.specs[j.id] = j;
    s.rules.submitted(j);
    jobs.push_back(j);
    std::optional<Nanos> cancels;
    if (chance(0.4)) {
      cancels = in(0, 70);
    } else {
      kept.push_back(j.id);
    }
    s.loop.spawn(user(j, in(0, 30), cancels));
  }
  const uint32_t salt = static_cast<uint32_t>(pick(1000));
  const auto run_time = [salt](const TaskRef& t) {
    const size_t h = std::hash<std::string>{}(t.text()) + salt;
    return Nanos(seconds(h % 5 == 0 ? 60 : 3 + h % 17));
  };
  s.on_worker = [run_time](Worker& w) { w.run_time = run_time; };
  const size_t troubles = 2 + pick(2);
  for (size_t k = 0; k < troubles; ++k) s.loop.spawn(trouble(in(8, 60)));
  s.run_for(seconds(400));
  for (const auto& b : s.rules.broken()) ADD_FAILURE() << b << "; troubles:" << log;
  for (const auto& id : kept) {
    if (!s.rules.was_accepted(id)) continue;
    EXPECT_EQ(s.standing(id, pick(3)), "done") << id << "; troubles:" << log;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomMeetings, testing::Range(1u, 61u));

}  // namespace
}  // namespace dunlinknot::test
