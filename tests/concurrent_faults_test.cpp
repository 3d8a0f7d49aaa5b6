// Where two troubles meet (docs/concurrent_faults.md): each test brings one meeting about and
// asserts the protocol's rules through the checker of rules.hpp, which watches the whole scenario.
#include <gtest/gtest.h>

#include "random_scenario.hpp"
#include "site.hpp"

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
      s.blocked_links.insert({other, id});
      s.blocked_links.insert({third, id});
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
    fresh.nodes[l]->refused_by_store = true;
    fresh.run_for(refused_before / 2);
    ASSERT_EQ(fresh.cancel("run-000002", (l + 1) % 3).status, 200);
    fresh.run_for(refused_before / 2);
    fresh.store.outage = true;
    fresh.run_for(seconds(50));
    fresh.store.end_outage();
    fresh.nodes[l]->refused_by_store = false;
    fresh.run_for(seconds(30));
    expect_no_violations(fresh);
    EXPECT_EQ(fresh.job_state("run-000002"), "cancelled");
  }
}

TEST_F(Gap, AServedRenewalSaysNothingOfCancellations) {
  // The leader's own requests are served, but what it reads of the jobs does not come: the window
  // began anew with each renewal, and the cancelled tasks ran on for as long as that lasted.
  s.nodes[old]->cut_from_peers = true;
  tie_workers_to_old();
  s.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes?starts=job/") ? CallFault::lose_request
                                                           : CallFault::none;
  };
  s.run_for(seconds(8));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.run_for(seconds(60));
  expect_no_violations(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, AMomentOfServiceBetweenTwoOutagesDoesNotMoveTheWindow) {
  // A renewal gets through, the read does not.
  s.nodes[old]->cut_from_peers = true;
  tie_workers_to_old();
  s.nodes[old]->refused_by_store = true;
  s.run_for(Millis(200));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.store.outage = true;
  s.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes") ? CallFault::refuse : CallFault::none;
  };
  s.run_for(seconds(20));
  s.store.end_outage();
  s.nodes[old]->refused_by_store = false;
  s.run_for(seconds(1));
  s.store.outage = true;
  s.run_for(seconds(30));
  expect_no_violations(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, APeerThatToldAndCameBackCannotVouch) {
  // The other nodes are silent afterwards, and one of them has no memory of what it told.
  s.nodes[old]->refused_by_store = true;
  s.run_for(Millis(100));
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.store.outage = true;
  s.restart(other);
  s.run_for(seconds(45));
  expect_no_violations(s);
  EXPECT_EQ(on_machines(), 0u);
}

TEST_F(Gap, WhatOnlyTheLeaderItselfToldItKnows) {
  // Its user cancels at the leader, whose watch does not come; the others vouch for themselves.
  s.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes?starts=job/") ? CallFault::lose_request
                                                           : CallFault::none;
  };
  s.run_for(seconds(3));
  ASSERT_EQ(s.cancel(long_job.id, old).status, 200);
  s.run_for(seconds(6));
  EXPECT_EQ(on_machines(), 0u) << "stopped at once, not by the end of the leases";
  s.store.outage = true;
  s.run_for(seconds(45));
  expect_no_violations(s);
}

TEST_F(Gap, AnOutageForAllLongerThanTheWindowLosesNoTaskWhenNobodyToldOfACancellation) {
  s.run_for(seconds(5));
  s.store.outage = true;
  s.run_for(seconds(80));
  s.store.end_outage();
  s.run_for(seconds(20));
  EXPECT_EQ(on_machines(), 4u);
  EXPECT_EQ(s.starts, 4u) << "the leases were renewed all along";
  expect_no_violations(s);
}

TEST_F(Gap, ALeaderRefusedAloneGivesWaySoon) {
  s.nodes[old]->refused_by_store = true;
  s.run_for(seconds(6));
  ASSERT_TRUE(s.leader());
  EXPECT_NE(*s.leader(), old);
  EXPECT_FALSE(s.daemon(old).elector().leading());
  s.run_for(seconds(20));
  EXPECT_EQ(on_machines(), 4u) << "and its tasks run on";
  EXPECT_EQ(s.starts, 4u);
  expect_no_violations(s);
}

TEST_F(Gap, APeersWordStopsTheTasksAtOnce) {
  s.nodes[old]->refused_by_store = true;
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.daemon(old).on_peer_cancellation(long_job.id);
  s.run_for(seconds(2));
  EXPECT_EQ(on_machines(), 0u);
  expect_no_violations(s);
}

TEST_F(Gap, AMachineThatHangsMeanwhileGoesOnToNothing) {
  // It has the stop in its socket, or missed it, and goes on within its lease.
  for (const bool direct : {true, false}) {
    s.nodes[old]->refused_by_store = false;
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
  expect_no_violations(s);
}

TEST_F(Gap, AHeartbeatOlderThanADirectAnswerIsStillAnsweredWithTheStops) {
  // Its lease was renewed by an answer without them.
  const size_t l = *s.leader();
  auto& w = *s.workers.begin()->second;
  w.drop_heartbeats = true;
  w.refuse_direct = true;
  s.run_for(Millis(1600));
  const Heartbeat held = w.heartbeat();
  const Heartbeat newer = w.heartbeat();
  auto& d = s.daemon(l).context();
  d.leader_state.with([&](cluster::LeaderState& leader) {
    (void)leader.cluster.apply_direct_status(newer, s.clock.now());
  });
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.run_for(Millis(200));
  const http::Response response =
      s.request_and_wait(l, "POST", "/agent/beat", wire::write_heartbeat(held));
  ASSERT_EQ(response.status, 200);
  EXPECT_NE(response.body.find("stop"), std::string::npos);
}

TEST(ConcurrentFaults, AListingThatLacksAJobEndsItAtOnce) {
  // The watch was too old, and asking how the missing job ended got no answer: its cancellation was
  // never heard of again.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, w] : site.workers) w->run_time = [](const TaskRef&) { return seconds(400); };
  site.run_for(seconds(12));
  site.store.watches_too_old = true;
  site.store.call_fault = [&](const http::Call& call) {
    return call.target == "/keys/job/run-000001" ? CallFault::lose_request : CallFault::none;
  };
  site.store.erase("job/run-000001");
  site.store.put("final/run-000001", wire::write_final({true, 2}));
  site.run_for(seconds(2));
  site.store.watches_too_old = false;
  site.run_for(seconds(5));
  EXPECT_EQ(site.copies({"run-000001", 0}), 0u);
  EXPECT_EQ(site.copies({"run-000001", 1}), 0u);
}

TEST(ConcurrentFaults, AnAnswerOlderThanAJobsEndDoesNotBringItBack) {
  // Its progress was written with an unknown outcome, so the leader reads its record; it is
  // cancelled while that answer is under way.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  while (site.workers.empty()) site.run_for(Millis(50));
  for (auto& [id, w] : site.workers) {
    w->run_time = [](const TaskRef& task) { return seconds(task.index == 0 ? 5 : 300); };
  }
  bool lost = false, read = false;
  site.store.fault_delay = Millis(900);
  site.store.call_fault = [&](const http::Call& call) {
    if (!lost && is_transaction_on(call, "done/run-000001")) {
      lost = true;
      return CallFault::lose_reply;
    }
    if (lost && !read && call.target == "/keys/job/run-000001") {
      read = true;
      return CallFault::slow_reply;
    }
    return CallFault::none;
  };
  while (!read && site.clock.now() < Instant(seconds(1100))) site.run_for(Millis(20));
  ASSERT_TRUE(read);
  site.run_for(Millis(50));
  site.store.erase("job/run-000001");
  site.store.put("final/run-000001", wire::write_final({true, 2}));
  site.run_for(Millis(100));
  size_t back = 0;
  for (int k = 0; k < 100; ++k) {
    site.run_for(Millis(20));
    site.daemon(0).context().leader_state.with(
        [&](cluster::LeaderState& leader) { back += leader.cluster.job("run-000001") ? 1 : 0; });
  }
  EXPECT_EQ(back, 0u);
  site.run_for(seconds(10));
  EXPECT_EQ(site.copies({"run-000001", 1}), 0u);
}

TEST(ConcurrentFaults, CancellationsQuestionsAndRepeatsMeetTheEndOfAJobsLastTask) {
  // On all nodes at once, from well before the end to well after it.
  Site s(3);
  s.run_for(seconds(2));
  for (int i = 0; i < 40; ++i) {
    const JobSpec spec = job("run-0000" + std::to_string(10 + i));
    ASSERT_TRUE(s.submit(spec, 1).status / 100 == 2);
    while (s.copies({spec.id, 0}) == 0) s.run_for(Millis(50));
    s.run_for(Millis(4500 + 40 * i));
    wire::Writer writer;
    wire::write_job(writer, spec);
    const std::string body = writer.take();
    const auto one = [](Site& site, size_t node, std::string method, std::string target,
                        std::string b) -> Task<void> {
      (void)co_await site.request(node, std::move(method), std::move(target), std::move(b));
    };
    for (size_t n = 0; n < 3; ++n) {
      s.loop.spawn(one(s, n, "POST", "/v1/jobs/" + spec.id + "/withdraw", ""));
      s.loop.spawn(one(s, n, "GET", "/v1/jobs/" + spec.id, ""));
      s.loop.spawn(one(s, n, "POST", "/v1/jobs", body));
    }
    s.run_for(Millis(300));
    const std::string answer = s.job_state(spec.id, 0);
    EXPECT_TRUE(answer == "done" || answer == "cancelled") << answer;
    EXPECT_EQ(s.job_state(spec.id, 1), answer);
    EXPECT_EQ(s.job_state(spec.id, 2), answer);
  }
  s.run_for(seconds(60));
  expect_no_violations(s);
}

TEST(ConcurrentFaults, ATeamAtItsLimitWhoseMachineCannotBeAskedWhenTheLeaderChanges) {
  Site site(3);
  site.cloud.capacity["box/a/ordinary"] = 4;
  site.run_for(seconds(2));
  JobSpec first = job("run-000001", 2);
  first.team = "tiny";  // 4 cpus at most, a task takes 2
  ASSERT_EQ(site.submit(first).status, 201);
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, w] : site.workers) w->run_time = [](const TaskRef&) { return seconds(300); };
  site.run_for(seconds(12));
  ASSERT_EQ(site.starts, 2u);
  for (auto& [id, w] : site.workers) w->isolated = true;
  const size_t old = *site.leader();
  site.crash(old);
  ASSERT_EQ(site.cancel(first.id, (old + 1) % 3).status, 200);
  JobSpec next = job("run-000002", 2);
  next.team = "tiny";
  ASSERT_EQ(site.submit(next, (old + 1) % 3).status, 201);
  site.run_for(seconds(10));
  EXPECT_EQ(site.starts, 2u) << "the cancelled tasks may still be there, and count";
  site.run_for(seconds(110));
  EXPECT_EQ(site.job_state(next.id, (old + 1) % 3), "done");
  expect_no_violations(site);
}

TEST(ConcurrentFaults, TasksOfOneJobEndFarApartAcrossChangesOfLeader) {
  Site site(3);
  site.cloud.capacity["box/a/ordinary"] = 4;
  site.run_for(seconds(2));
  ASSERT_EQ(site.submit(job("run-000001", 3)).status, 201);
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, w] : site.workers) {
    w->run_time = [](const TaskRef& task) { return seconds(5 + 20 * task.index); };
  }
  for (int change = 0; change < 10; ++change) {  // ten in two minutes, some inside an outage
    site.run_for(seconds(8));
    site.store.outage = change % 3 == 1;
    site.restart(site.leader().value_or(0));
    site.run_for(seconds(4));
    if (site.store.outage) site.store.end_outage();
  }
  site.run_for(seconds(20));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.starts, 3u) << "nothing was run again";
  expect_no_violations(site);
}

class RandomConcurrentFaults : public testing::TestWithParam<uint32_t> {};

TEST_P(RandomConcurrentFaults, BreakNoRule) {
  RandomScenario(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomConcurrentFaults, testing::Range(1u, 61u));

}  // namespace
}  // namespace dunlinknot::test
