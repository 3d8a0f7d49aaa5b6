// Where two troubles meet (docs/meetings.md): each test brings one meeting about and asserts the
// protocol's rules through the checker of rules.hpp, which watches the whole scenario.
#include <gtest/gtest.h>

#include <random>

#include "support.hpp"

namespace dunlinknot::test {
namespace {

void expect_rules(const Site& s) {
  for (const auto& b : s.rules.broken()) ADD_FAILURE() << b;
}

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
  const Beat held = w.report();
  const Beat newer = w.report();
  auto& d = s.daemon(l).domain();
  d.picture.with(
      [&](cluster::Picture& p) { (void)p.cluster.on_direct_report(newer, s.clock.now()); });
  ASSERT_EQ(s.cancel(long_job.id, other).status, 200);
  s.run_for(Millis(200));
  const http::Response r = s.ask(l, "POST", "/agent/beat", wire::write_beat(held));
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
  // The record is read, the cancellation is heard of, and only then the read's answer arrives.
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  s.run_for(seconds(1));
  auto& d = s.daemon(0).domain();
  ASSERT_EQ(s.cancel("run-000001").status, 200);
  s.run_for(seconds(1));
  d.picture.with([&](cluster::Picture& p) { EXPECT_EQ(p.cluster.job("run-000001"), nullptr); });
  EXPECT_EQ(s.state.data.count("job/run-000001"), 0u);
  expect_rules(s);
}

}  // namespace
}  // namespace dunlinknot::test
