// Machines and the allocation store under faults, against scripted peers.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

TEST(Machines, ReconnectedMachineDoesNotRunItsTasksTwice) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 8));
  site.run_for(seconds(6));
  ASSERT_GT(site.starts, 0u);
  auto& disconnected = *site.workers.begin()->second;
  for (auto& [id, worker] : site.workers)
    worker->run_time = [](const TaskRef&) { return seconds(9); };
  disconnected.isolated = true;
  site.run_for(seconds(18));
  disconnected.isolated = false;
  site.run_for(seconds(90));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  expect_no_violations(site);
}

TEST(Machines, LateHeartbeatResponsesStartNoTask) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(Millis(3000));
  for (auto& [id, worker] : site.workers) worker->drop_responses = true;
  site.run_for(seconds(8));
  EXPECT_EQ(site.starts, 0u);
  for (auto& [id, worker] : site.workers) worker->drop_responses = false;
  site.run_for(seconds(40));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  expect_no_violations(site);
}

TEST(Machines, LaunchWithoutReplyIsRepeatedUnderSameRequestName) {
  Site site(1);
  site.cloud.lose_launch_replies = true;
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(12));
  site.cloud.lose_launch_replies = false;
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_LE(site.cloud.machines.size(), 2u)
      << "a repeated launch request must not launch a second machine";
}

TEST(Machines, CancelledTasksStopWithinPeriodWhenLeaderIsPartitioned) {
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  site.run_for(seconds(4));
  for (auto& [id, worker] : site.workers)
    worker->run_time = [](const TaskRef&) { return seconds(300); };
  site.run_for(seconds(4));
  ASSERT_EQ(site.copies({"run-000001", 0}), 1u);
  // The leader reaches neither the key-value store nor its peers; the workers reach only the
  // leader, and direct commands do not reach them.
  const size_t leader = *site.leader();
  site.nodes[leader]->cut_from_store = true;
  site.nodes[leader]->cut_from_peers = true;
  for (size_t i = 0; i < 3; ++i) {
    for (auto& [id, worker] : site.workers) {
      if (i != leader) site.blocked_links.insert({i, id});
      worker->refuse_direct = true;
    }
  }
  site.run_for(seconds(1));
  const size_t node = (leader + 1) % 3;
  ASSERT_EQ(site.request_and_wait(node, "POST", "/v1/jobs/run-000001/withdraw").status, 200);
  site.run_for(seconds(39));
  EXPECT_EQ(site.copies({"run-000001", 0}), 0u);
  EXPECT_EQ(site.copies({"run-000001", 1}), 0u);
}

TEST(AllocationStore, AllocationsSurviveLostRepliesAndLateTransactions) {
  for (const CallFault fault :
       {CallFault::lose_reply, CallFault::lose_request, CallFault::apply_late}) {
    Site site(1);
    site.run_for(seconds(2));
    int transactions = 0;
    site.store.call_fault = [&](const http::Call& call) {
      return is_transaction_on(call, "host/") && transactions++ % 2 == 0 ? fault : CallFault::none;
    };
    site.submit(job("run-000001", 12));
    site.run_for(seconds(120));
    EXPECT_EQ(site.job_state("run-000001"), "done") << static_cast<int>(fault);
    EXPECT_EQ(site.starts, 12u) << static_cast<int>(fault);
    expect_no_violations(site);
  }
}

TEST(AllocationStore, CompletionsSurviveLostRepliesAndLateTransactions) {
  for (const CallFault fault :
       {CallFault::lose_reply, CallFault::lose_request, CallFault::apply_late}) {
    Site site(1);
    site.run_for(seconds(2));
    int transactions = 0;
    site.store.call_fault = [&](const http::Call& call) {
      const bool progress =
          is_transaction_on(call, "done/") || is_transaction_on(call, "final/run");
      return progress && is_transaction_on(call, "epoch") && transactions++ % 3 == 0
                 ? fault
                 : CallFault::none;
    };
    site.submit(job("run-000001", 12));
    site.run_for(seconds(120));
    EXPECT_EQ(site.job_state("run-000001"), "done") << static_cast<int>(fault);
    EXPECT_EQ(site.starts, 12u) << static_cast<int>(fault);
  }
}

TEST(AllocationStore, LateTransactionOfPreviousLeaderFails) {
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  const size_t first = *site.leader();
  bool delayed = false;
  site.store.fault_delay = seconds(20);
  site.store.call_fault = [&](const http::Call& call) {
    if (!delayed && is_transaction_on(call, "host/")) {
      delayed = true;
      return CallFault::apply_late;
    }
    return CallFault::none;
  };
  site.run_for(Millis(6000));
  ASSERT_TRUE(delayed);
  site.crash(first);
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001", *site.leader()), "done");
  expect_no_violations(site);
  EXPECT_EQ(site.starts, 2u);
}

TEST(Machines, UnreachableMachineIsDeletedAndItsTasksRunElsewhere) {
  // Heartbeats arrive, but responses and direct commands do not. Guards against a fault in which
  // the tasks allocated to such a machine were never started anywhere.
  Site site(1);
  site.run_for(seconds(2));
  JobSpec spec = job("run-000001", 8);
  site.submit(spec);
  site.run_for(seconds(12));
  ASSERT_EQ(site.workers.size(), 2u);
  site.submit(job("run-000002", 40));
  site.run_for(seconds(2));
  auto& unreachable = *site.workers.begin()->second;
  unreachable.drop_responses = true;
  unreachable.refuse_direct = true;
  site.run_for(seconds(60));
  EXPECT_FALSE(unreachable.powered_on) << "the unreachable machine must be deleted";
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.job_state("run-000002"), "done");
  expect_no_violations(site);
}

TEST(Machines, InterruptedMachineWithoutHeartbeatsIsDeletedAndItsTasksRunElsewhere) {
  // Guards against a fault in which the tasks waited for the end of the machine's lease, although
  // the cloud had announced the interruption.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001"));
  while (site.workers.empty()) site.run_for(Millis(50));
  auto& interrupted = *site.workers.begin()->second;
  interrupted.run_time = [](const TaskRef&) { return seconds(60); };
  site.run_for(seconds(12));
  ASSERT_EQ(site.workers.size(), 1u);
  ASSERT_EQ(site.copies({"run-000001", 0}), 1u);
  interrupted.interruption_notice = Seconds(4);
  site.run_for(seconds(2));
  EXPECT_TRUE(interrupted.powered_on) << "its tasks may still save or complete";
  interrupted.isolated = true;
  site.run_for(seconds(5));
  EXPECT_FALSE(interrupted.powered_on);
  EXPECT_EQ(site.cloud.deletions.size(), 1u);
  site.run_for(seconds(12));
  EXPECT_EQ(site.workers.size(), 2u) << "must be replaced before the lease of 14 s expires";
  EXPECT_EQ(site.starts, 2u);
  expect_no_violations(site);
}

TEST(Machines, RunCommandIsSentInResponseToHeartbeatThatReportsFreeCapacity) {
  // Guards against a fault in which every task waited for the heartbeat after the one that reported
  // the free capacity.
  Site site(1);
  site.run_for(seconds(2));
  std::map<std::string, std::vector<Instant>> starts;
  site.submit(job("run-000001", 24));  // tasks of 5 s, more than the machines can run at once
  while (site.workers.empty()) site.run_for(Millis(50));
  site.run_for(Millis(50));
  for (auto& [id, worker] : site.workers) {
    worker->on_start = [&site, &start_times = starts[id],
                        original = worker->on_start](const TaskRef& task) {
      original(task);
      start_times.push_back(site.loop.now());
    };
  }
  site.run_for(seconds(30));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  size_t intervals = 0;
  for (const auto& [id, start_times] : starts) {
    for (size_t i = 1; i < start_times.size(); ++i) {
      if (start_times[i] - start_times[i - 1] < seconds(2)) continue;
      ++intervals;
      // With a heartbeat every 1.5 s, the fourth one after the start reports the exit.
      EXPECT_LT(start_times[i] - start_times[i - 1], Millis(6900));
    }
  }
  EXPECT_GT(intervals, 0u);
  expect_no_violations(site);
}

TEST(Machines, LateDuplicateHeartbeatsChangeNothing) {
  // Copies of one heartbeat of a deleted machine are delivered from seconds to well over a lease
  // late, before and after a failover.
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(12));
  ASSERT_FALSE(site.workers.empty());
  auto& worker = *site.workers.begin()->second;
  const std::string copy = wire::write_heartbeat(worker.heartbeat());
  site.run_for(seconds(60));  // the idle machine is returned to the cloud
  ASSERT_FALSE(worker.powered_on);
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
      << "no task may be allocated to the deleted machine";
  expect_no_violations(site);
}

// Guards against a launch that is repeated in every scheduling cycle although the cloud rejects it
// as invalid: it used up the request rate of the cloud.
TEST(Launches, OfferWhoseLaunchCloudRejectsIsInBackoff) {
  Site site(1);
  site.run_for(seconds(2));
  size_t rejected = 0;
  site.cloud.call_fault = [&](const http::Call& call) {
    const bool is_launch = call.target == "/rentals" && call.method == "POST" &&
                           call.body.find("box") != std::string::npos;
    if (!is_launch) return CallFault::none;
    ++rejected;
    return CallFault::reject;
  };
  JobSpec spec = job("run-000001");
  spec.types = {"box"};
  spec.zone = "a";
  ASSERT_EQ(site.submit(spec).status, 201);
  site.run_for(seconds(12));
  EXPECT_EQ(rejected, 1u) << "the first backoff takes 15 s";
  site.cloud.call_fault = nullptr;
  site.run_for(seconds(30));
  EXPECT_EQ(site.job_state(spec.id), "done");
}

}  // namespace
}  // namespace dunlinknot::test
