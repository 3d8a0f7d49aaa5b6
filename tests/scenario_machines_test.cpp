// Machines and the allocation store amid failures, against scripted peers.
#include <gtest/gtest.h>

#include "support.hpp"

namespace dunlinknot::test {
namespace {

TEST(Machines, ACutOneComesBackWithoutItsTasksRunningTwice) {
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 8));
  s.run_for(seconds(6));
  ASSERT_GT(s.starts, 0u);
  auto& w = *s.workers.begin()->second;
  for (auto& [id, other] : s.workers) other->run_time = [](const TaskRef&) { return seconds(9); };
  w.cut = true;
  s.run_for(seconds(18));
  w.cut = false;
  s.run_for(seconds(90));
  EXPECT_EQ(s.standing("run-000001"), "done");
  expect_rules(s);
}

TEST(Machines, ResponsesThatComeTooLateStartNothing) {
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 4));
  s.run_for(Millis(3000));
  for (auto& [id, w] : s.workers) w->drop_responses = true;
  s.run_for(seconds(8));
  EXPECT_EQ(s.starts, 0u);
  for (auto& [id, w] : s.workers) w->drop_responses = false;
  s.run_for(seconds(40));
  EXPECT_EQ(s.standing("run-000001"), "done");
  expect_rules(s);
}

TEST(Machines, ALaunchWithoutAnAnswerIsRepeatedUnderItsOwnName) {
  Site s(1);
  s.cloud.lose_launch_replies = true;
  s.run_for(seconds(2));
  s.submit(job("run-000001", 4));
  s.run_for(seconds(12));
  s.cloud.lose_launch_replies = false;
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_LE(s.cloud.machines.size(), 2u) << "no machine was launched twice for one request_machine";
}

TEST(Machines, ACancelledJobsTasksAreGoneWithinTheTimeEvenBehindACutLeader) {
  Site s(3);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  s.run_for(seconds(4));
  for (auto& [id, w] : s.workers) w->run_time = [](const TaskRef&) { return seconds(300); };
  s.run_for(seconds(4));
  ASSERT_EQ(s.copies({"run-000001", 0}), 1u);
  // The leader loses the key-value store; the workers reach no other node.
  const size_t old = *s.leader();
  s.nodes[old]->cut_from_store = true;
  s.nodes[old]->cut_from_peers = true;
  for (size_t i = 0; i < 3; ++i) {
    for (auto& [id, w] : s.workers) {
      if (i != old) s.cut.insert({i, id});
      w->refuse_direct = true;
    }
  }
  s.run_for(seconds(1));
  const size_t node = (old + 1) % 3;
  ASSERT_EQ(s.ask(node, "POST", "/v1/jobs/run-000001/withdraw").status, 200);
  s.run_for(seconds(39));
  EXPECT_EQ(s.copies({"run-000001", 0}), 0u);
  EXPECT_EQ(s.copies({"run-000001", 1}), 0u);
}

TEST(AllocationStore, AllocationsSurviveLostRepliesAndLateTransactions) {
  for (const Fate f : {Fate::lose_reply, Fate::lose_request, Fate::apply_late}) {
    Site s(1);
    s.run_for(seconds(2));
    int n = 0;
    s.store.fate = [&](const http::Call& c) {
      return is_commit_of(c, "host/") && n++ % 2 == 0 ? f : Fate::normal;
    };
    s.submit(job("run-000001", 12));
    s.run_for(seconds(120));
    EXPECT_EQ(s.standing("run-000001"), "done") << static_cast<int>(f);
    EXPECT_EQ(s.starts, 12u) << static_cast<int>(f);
    expect_rules(s);
  }
}

TEST(AllocationStore, CompletionsSurviveLostRepliesAndLateTransactions) {
  for (const Fate f : {Fate::lose_reply, Fate::lose_request, Fate::apply_late}) {
    Site s(1);
    s.run_for(seconds(2));
    int n = 0;
    s.store.fate = [&](const http::Call& c) {
      const bool progress = is_commit_of(c, "done/") || is_commit_of(c, "final/run");
      return progress && is_commit_of(c, "epoch") && n++ % 3 == 0 ? f : Fate::normal;
    };
    s.submit(job("run-000001", 12));
    s.run_for(seconds(120));
    EXPECT_EQ(s.standing("run-000001"), "done") << static_cast<int>(f);
    EXPECT_EQ(s.starts, 12u) << static_cast<int>(f);
  }
}

TEST(AllocationStore, ALateTransactionOfAFormerLeaderFails) {
  Site s(3);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  const size_t first = *s.leader();
  bool held = false;
  s.store.late_by = seconds(20);
  s.store.fate = [&](const http::Call& c) {
    if (!held && is_commit_of(c, "host/")) {
      held = true;
      return Fate::apply_late;
    }
    return Fate::normal;
  };
  s.run_for(Millis(6000));
  ASSERT_TRUE(held);
  s.crash(first);
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001", *s.leader()), "done");
  expect_rules(s);
  EXPECT_EQ(s.starts, 2u);
}

TEST(Machines, OneThatHearsNothingLosesItsWorkToOthersAndIsDeleted) {
  // Reports arrive, answers and commands do not. It swallowed its tasks for ever.
  Site s(1);
  s.run_for(seconds(2));
  JobSpec j = job("run-000001", 8);
  s.submit(j);
  s.run_for(seconds(12));
  ASSERT_EQ(s.workers.size(), 2u);
  s.submit(job("run-000002", 40));
  s.run_for(seconds(2));
  auto& w = *s.workers.begin()->second;
  w.drop_responses = true;
  w.refuse_direct = true;
  s.run_for(seconds(60));
  EXPECT_FALSE(w.on) << "deleted";
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_EQ(s.standing("run-000002"), "done");
  expect_rules(s);
}

TEST(Machines, AnInterruptedOneThatFallsSilentIsDeletedAndItsTasksGoElsewhere) {
  // Its tasks waited for the end of its lease, though the cloud had said that it would take it.
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001"));
  while (s.workers.empty()) s.run_for(Millis(50));
  auto& w = *s.workers.begin()->second;
  w.run_time = [](const TaskRef&) { return seconds(60); };
  s.run_for(seconds(12));
  ASSERT_EQ(s.workers.size(), 1u);
  ASSERT_EQ(s.copies({"run-000001", 0}), 1u);
  w.interruption_notice = Seconds(4);
  s.run_for(seconds(2));
  EXPECT_TRUE(w.on) << "it may still save and complete what it has";
  w.cut = true;
  s.run_for(seconds(5));
  EXPECT_FALSE(w.on);
  EXPECT_EQ(s.cloud.deletions.size(), 1u);
  s.run_for(seconds(12));
  EXPECT_EQ(s.workers.size(), 2u) << "well before the lease of 14 s was over";
  EXPECT_EQ(s.starts, 2u);
  expect_rules(s);
}

TEST(Machines, ARunGoesOutWithTheAnswerToTheHeartbeatThatToldOfTheRoom) {
  // Found on a autoscaler: every task waited for the heartbeat after the one that told of the room.
  Site s(1);
  s.run_for(seconds(2));
  std::map<std::string, std::vector<Instant>> starts;
  s.submit(job("run-000001", 24));  // tasks of 5 s, more than the machines hold at once
  while (s.workers.empty()) s.run_for(Millis(50));
  s.run_for(Millis(50));
  for (auto& [id, worker] : s.workers) {
    worker->on_start = [&s, &at = starts[id], counted = worker->on_start](const TaskRef& t) {
      counted(t);
      at.push_back(s.loop.now());
    };
  }
  s.run_for(seconds(30));
  EXPECT_EQ(s.standing("run-000001"), "done");
  size_t seen = 0;
  for (const auto& [id, at] : starts) {
    for (size_t i = 1; i < at.size(); ++i) {
      if (at[i] - at[i - 1] < seconds(2)) continue;
      ++seen;
      // Reports come every 1.5 s: the fourth after the start tells of the end.
      EXPECT_LT(at[i] - at[i - 1], Millis(6900));
    }
  }
  EXPECT_GT(seen, 0u);
  expect_rules(s);
}

TEST(Machines, LateCopiesOfHeartbeatsChangeNothing) {
  // Of a machine that was deleted, from seconds to well over a lease late, also after a take-over.
  Site s(3);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 4));
  s.run_for(seconds(12));
  ASSERT_FALSE(s.workers.empty());
  auto& w = *s.workers.begin()->second;
  const std::string copy = wire::write_heartbeat(w.heartbeat());
  s.run_for(seconds(60));  // idle: returned
  ASSERT_FALSE(w.on);
  const auto send = [&](size_t node) { return s.ask(node, "POST", "/agent/beat", copy).status; };
  EXPECT_NE(send(*s.leader()), 200);
  s.crash(*s.leader());
  s.run_for(seconds(8));
  ASSERT_TRUE(s.leader());
  (void)send(*s.leader());
  s.submit(job("run-000002", 4), *s.leader());
  for (int i = 0; i < 20; ++i) {
    (void)send(*s.leader());
    s.run_for(seconds(2));
  }
  EXPECT_EQ(s.standing("run-000002", *s.leader()), "done") << "nothing was given to the dead one";
  expect_rules(s);
}

}  // namespace
}  // namespace dunlinknot::test
