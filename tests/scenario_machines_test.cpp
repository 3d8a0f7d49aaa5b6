// Machines and the allocation store amid failures, against scripted peers.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

TEST(Machines, ACutOneComesBackWithoutItsTasksRunningTwice) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 8));
  site.run_for(seconds(6));
  ASSERT_GT(site.starts, 0u);
  auto& w = *site.workers.begin()->second;
  for (auto& [id, other] : site.workers)
    other->run_time = [](const TaskRef&) { return seconds(9); };
  w.isolated = true;
  site.run_for(seconds(18));
  w.isolated = false;
  site.run_for(seconds(90));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  expect_no_violations(site);
}

TEST(Machines, ResponsesThatComeTooLateStartNothing) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(Millis(3000));
  for (auto& [id, w] : site.workers) w->drop_responses = true;
  site.run_for(seconds(8));
  EXPECT_EQ(site.starts, 0u);
  for (auto& [id, w] : site.workers) w->drop_responses = false;
  site.run_for(seconds(40));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  expect_no_violations(site);
}

TEST(Machines, ALaunchWithoutAnAnswerIsRepeatedUnderItsOwnName) {
  Site site(1);
  site.cloud.lose_launch_replies = true;
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(12));
  site.cloud.lose_launch_replies = false;
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_LE(site.cloud.machines.size(), 2u)
      << "no machine was launched twice for one request_machine";
}

TEST(Machines, ACancelledJobsTasksAreGoneWithinTheTimeEvenBehindACutLeader) {
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  site.run_for(seconds(4));
  for (auto& [id, w] : site.workers) w->run_time = [](const TaskRef&) { return seconds(300); };
  site.run_for(seconds(4));
  ASSERT_EQ(site.copies({"run-000001", 0}), 1u);
  // The leader loses the key-value store; the workers reach no other node.
  const size_t old = *site.leader();
  site.nodes[old]->cut_from_store = true;
  site.nodes[old]->cut_from_peers = true;
  for (size_t i = 0; i < 3; ++i) {
    for (auto& [id, w] : site.workers) {
      if (i != old) site.blocked_links.insert({i, id});
      w->refuse_direct = true;
    }
  }
  site.run_for(seconds(1));
  const size_t node = (old + 1) % 3;
  ASSERT_EQ(site.request_and_wait(node, "POST", "/v1/jobs/run-000001/withdraw").status, 200);
  site.run_for(seconds(39));
  EXPECT_EQ(site.copies({"run-000001", 0}), 0u);
  EXPECT_EQ(site.copies({"run-000001", 1}), 0u);
}

TEST(AllocationStore, AllocationsSurviveLostRepliesAndLateTransactions) {
  for (const CallFault f :
       {CallFault::lose_reply, CallFault::lose_request, CallFault::apply_late}) {
    Site site(1);
    site.run_for(seconds(2));
    int n = 0;
    site.store.call_fault = [&](const http::Call& call) {
      return is_transaction_on(call, "host/") && n++ % 2 == 0 ? f : CallFault::none;
    };
    site.submit(job("run-000001", 12));
    site.run_for(seconds(120));
    EXPECT_EQ(site.job_state("run-000001"), "done") << static_cast<int>(f);
    EXPECT_EQ(site.starts, 12u) << static_cast<int>(f);
    expect_no_violations(site);
  }
}

TEST(AllocationStore, CompletionsSurviveLostRepliesAndLateTransactions) {
  for (const CallFault f :
       {CallFault::lose_reply, CallFault::lose_request, CallFault::apply_late}) {
    Site site(1);
    site.run_for(seconds(2));
    int n = 0;
    site.store.call_fault = [&](const http::Call& call) {
      const bool progress =
          is_transaction_on(call, "done/") || is_transaction_on(call, "final/run");
      return progress && is_transaction_on(call, "epoch") && n++ % 3 == 0 ? f : CallFault::none;
    };
    site.submit(job("run-000001", 12));
    site.run_for(seconds(120));
    EXPECT_EQ(site.job_state("run-000001"), "done") << static_cast<int>(f);
    EXPECT_EQ(site.starts, 12u) << static_cast<int>(f);
  }
}

TEST(AllocationStore, ALateTransactionOfAFormerLeaderFails) {
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  const size_t first = *site.leader();
  bool held = false;
  site.store.fault_delay = seconds(20);
  site.store.call_fault = [&](const http::Call& call) {
    if (!held && is_transaction_on(call, "host/")) {
      held = true;
      return CallFault::apply_late;
    }
    return CallFault::none;
  };
  site.run_for(Millis(6000));
  ASSERT_TRUE(held);
  site.crash(first);
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001", *site.leader()), "done");
  expect_no_violations(site);
  EXPECT_EQ(site.starts, 2u);
}

TEST(Machines, OneThatHearsNothingLosesItsWorkToOthersAndIsDeleted) {
  // Reports arrive, answers and commands do not. It swallowed its tasks for ever.
  Site site(1);
  site.run_for(seconds(2));
  JobSpec spec = job("run-000001", 8);
  site.submit(spec);
  site.run_for(seconds(12));
  ASSERT_EQ(site.workers.size(), 2u);
  site.submit(job("run-000002", 40));
  site.run_for(seconds(2));
  auto& w = *site.workers.begin()->second;
  w.drop_responses = true;
  w.refuse_direct = true;
  site.run_for(seconds(60));
  EXPECT_FALSE(w.powered_on) << "deleted";
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.job_state("run-000002"), "done");
  expect_no_violations(site);
}

TEST(Machines, AnInterruptedOneThatFallsSilentIsDeletedAndItsTasksGoElsewhere) {
  // Its tasks waited for the end of its lease, though the cloud had said that it would take it.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001"));
  while (site.workers.empty()) site.run_for(Millis(50));
  auto& w = *site.workers.begin()->second;
  w.run_time = [](const TaskRef&) { return seconds(60); };
  site.run_for(seconds(12));
  ASSERT_EQ(site.workers.size(), 1u);
  ASSERT_EQ(site.copies({"run-000001", 0}), 1u);
  w.interruption_notice = Seconds(4);
  site.run_for(seconds(2));
  EXPECT_TRUE(w.powered_on) << "it may still save and complete what it has";
  w.isolated = true;
  site.run_for(seconds(5));
  EXPECT_FALSE(w.powered_on);
  EXPECT_EQ(site.cloud.deletions.size(), 1u);
  site.run_for(seconds(12));
  EXPECT_EQ(site.workers.size(), 2u) << "well before the lease of 14 s was over";
  EXPECT_EQ(site.starts, 2u);
  expect_no_violations(site);
}

TEST(Machines, ARunGoesOutWithTheAnswerToTheHeartbeatThatToldOfTheRoom) {
  // Found on a autoscaler: every task waited for the heartbeat after the one that told of the room.
  Site site(1);
  site.run_for(seconds(2));
  std::map<std::string, std::vector<Instant>> starts;
  site.submit(job("run-000001", 24));  // tasks of 5 s, more than the machines hold at once
  while (site.workers.empty()) site.run_for(Millis(50));
  site.run_for(Millis(50));
  for (auto& [id, worker] : site.workers) {
    worker->on_start = [&site, &at = starts[id], counted = worker->on_start](const TaskRef& task) {
      counted(task);
      at.push_back(site.loop.now());
    };
  }
  site.run_for(seconds(30));
  EXPECT_EQ(site.job_state("run-000001"), "done");
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
  expect_no_violations(site);
}

TEST(Machines, LateCopiesOfHeartbeatsChangeNothing) {
  // Of a machine that was deleted, from seconds to well over a lease late, also after a take-over.
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(12));
  ASSERT_FALSE(site.workers.empty());
  auto& w = *site.workers.begin()->second;
  const std::string copy = wire::write_heartbeat(w.heartbeat());
  site.run_for(seconds(60));  // idle: returned
  ASSERT_FALSE(w.powered_on);
  const auto send = [&](size_t node) {
    return site.request_and_wait(node, "POST", "/agent/beat", copy).status;
  };
  EXPECT_NE(send(*site.leader()), 200);
  site.crash(*site.leader());
  site.run_for(seconds(8));
  ASSERT_TRUE(site.leader());
  (void)send(*site.leader());
  site.submit(job("run-000002", 4), *site.leader());
  for (int i = 0; i < 20; ++i) {
    (void)send(*site.leader());
    site.run_for(seconds(2));
  }
  EXPECT_EQ(site.job_state("run-000002", *site.leader()), "done")
      << "nothing was given to the dead one";
  expect_no_violations(site);
}

}  // namespace
}  // namespace dunlinknot::test
