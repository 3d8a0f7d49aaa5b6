// Two faults at the same time (docs/concurrent_faults.md): each test causes one combination and
// checks the protocol's rules over the whole scenario with the rule checker of rules.hpp.
#include <gtest/gtest.h>

#include "random_scenario.hpp"
#include "site.hpp"

namespace dunlinknot::test {
namespace {

// A leader and two followers, and a running job of four tasks of 400 s.
struct RunningJobFaults : testing::Test {
  Site site{3};
  const JobSpec long_job = job("run-000001", 4);
  size_t first_leader = 0, follower = 0, other_follower = 0;

  void SetUp() override {
    site.run_for(seconds(2));
    ASSERT_TRUE(site.leader());
    first_leader = *site.leader();
    follower = (first_leader + 1) % 3;
    other_follower = (first_leader + 2) % 3;
    ASSERT_EQ(site.submit(long_job).status, 201);
    while (site.workers.empty()) site.run_for(Millis(100));
    for (auto& [id, worker] : site.workers)
      worker->run_time = [](const TaskRef&) { return seconds(400); };
    site.run_for(seconds(12));
    ASSERT_EQ(running_tasks(), 4u);
  }
  // The number of the job's running tasks on all machines.
  size_t running_tasks() const {
    size_t count = 0;
    for (uint32_t i = 0; i < long_job.tasks; ++i) count += site.copies({long_job.id, i});
    return count;
  }
  // The workers reach only the first leader.
  void block_links_to_followers() {
    for (auto& [id, worker] : site.workers) {
      site.blocked_links.insert({follower, id});
      site.blocked_links.insert({other_follower, id});
    }
  }
};

TEST_F(RunningJobFaults, StoreRefusesLeaderThenAllNodesBeyondCancellationPeriod) {
  for (const auto refusal_time : {Millis(300), Millis(2000)}) {
    Site separate_site(3);
    separate_site.run_for(seconds(2));
    const size_t leader = *separate_site.leader();
    separate_site.submit(job("run-000002", 4));
    while (separate_site.workers.empty()) separate_site.run_for(Millis(100));
    for (auto& [id, worker] : separate_site.workers)
      worker->run_time = [](const TaskRef&) { return seconds(400); };
    separate_site.run_for(seconds(12));
    separate_site.nodes[leader]->refused_by_store = true;
    separate_site.run_for(refusal_time / 2);
    ASSERT_EQ(separate_site.cancel("run-000002", (leader + 1) % 3).status, 200);
    separate_site.run_for(refusal_time / 2);
    separate_site.store.outage = true;
    separate_site.run_for(seconds(50));
    separate_site.store.end_outage();
    separate_site.nodes[leader]->refused_by_store = false;
    separate_site.run_for(seconds(30));
    expect_no_violations(separate_site);
    EXPECT_EQ(separate_site.job_state("run-000002"), "cancelled");
  }
}

TEST_F(RunningJobFaults, LeaseRenewalWithoutJobWatchDoesNotExtendRenewalWindow) {
  // The store serves the leader's requests except for the watch of the jobs. Guards against a fault
  // in which each renewal of the leader's lease restarted the renewal window, so that cancelled
  // tasks ran on for as long as the watch was not answered.
  site.nodes[first_leader]->cut_from_peers = true;
  block_links_to_followers();
  site.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes?starts=job/") ? CallFault::lose_request
                                                           : CallFault::none;
  };
  site.run_for(seconds(8));
  ASSERT_EQ(site.cancel(long_job.id, follower).status, 200);
  site.run_for(seconds(60));
  expect_no_violations(site);
  EXPECT_EQ(running_tasks(), 0u);
}

TEST_F(RunningJobFaults, ShortServiceBetweenTwoOutagesDoesNotExtendRenewalWindow) {
  // Between two outages a renewal of the leader's lease succeeds, but the watch of the jobs fails.
  site.nodes[first_leader]->cut_from_peers = true;
  block_links_to_followers();
  site.nodes[first_leader]->refused_by_store = true;
  site.run_for(Millis(200));
  ASSERT_EQ(site.cancel(long_job.id, follower).status, 200);
  site.store.outage = true;
  site.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes") ? CallFault::refuse : CallFault::none;
  };
  site.run_for(seconds(20));
  site.store.end_outage();
  site.nodes[first_leader]->refused_by_store = false;
  site.run_for(seconds(1));
  site.store.outage = true;
  site.run_for(seconds(30));
  expect_no_violations(site);
  EXPECT_EQ(running_tasks(), 0u);
}

TEST_F(RunningJobFaults, RestartedPeerCannotConfirmAbsenceOfCancellations) {
  // The follower that confirmed the cancellation is restarted and loses its record of it, so no
  // follower can report the cancellation to the leader.
  site.nodes[first_leader]->refused_by_store = true;
  site.run_for(Millis(100));
  ASSERT_EQ(site.cancel(long_job.id, follower).status, 200);
  site.store.outage = true;
  site.restart(follower);
  site.run_for(seconds(45));
  expect_no_violations(site);
  EXPECT_EQ(running_tasks(), 0u);
}

TEST_F(RunningJobFaults, CancellationConfirmedByLeaderStopsTasksAtOnce) {
  // The cancellation is requested at the leader, whose watch of the jobs is not answered; the
  // followers confirm only that they have accepted no cancellation themselves.
  site.store.call_fault = [&](const http::Call& call) {
    return call.target.starts_with("/changes?starts=job/") ? CallFault::lose_request
                                                           : CallFault::none;
  };
  site.run_for(seconds(3));
  ASSERT_EQ(site.cancel(long_job.id, first_leader).status, 200);
  site.run_for(seconds(6));
  EXPECT_EQ(running_tasks(), 0u)
      << "the tasks must be stopped at once, not at the end of the leases";
  site.store.outage = true;
  site.run_for(seconds(45));
  expect_no_violations(site);
}

TEST_F(RunningJobFaults, OutageBeyondRenewalWindowWithoutCancellationKeepsTasks) {
  site.run_for(seconds(5));
  site.store.outage = true;
  site.run_for(seconds(80));
  site.store.end_outage();
  site.run_for(seconds(20));
  EXPECT_EQ(running_tasks(), 4u);
  EXPECT_EQ(site.starts, 4u) << "the leases must be renewed during the outage";
  expect_no_violations(site);
}

TEST_F(RunningJobFaults, LeaderRefusedByStoreIsReplaced) {
  site.nodes[first_leader]->refused_by_store = true;
  site.run_for(seconds(6));
  ASSERT_TRUE(site.leader());
  EXPECT_NE(*site.leader(), first_leader);
  EXPECT_FALSE(site.daemon(first_leader).elector().leading());
  site.run_for(seconds(20));
  EXPECT_EQ(running_tasks(), 4u) << "the tasks must keep running";
  EXPECT_EQ(site.starts, 4u);
  expect_no_violations(site);
}

TEST_F(RunningJobFaults, CancellationReportedByPeerStopsTasksAtOnce) {
  site.nodes[first_leader]->refused_by_store = true;
  ASSERT_EQ(site.cancel(long_job.id, follower).status, 200);
  site.daemon(first_leader).on_peer_cancellation(long_job.id);
  site.run_for(seconds(2));
  EXPECT_EQ(running_tasks(), 0u);
  expect_no_violations(site);
}

TEST_F(RunningJobFaults, MachineHungDuringCancellationStopsTasksWhenItResumes) {
  // The stop command waits in the machine's socket or was not delivered; the machine resumes within
  // its lease.
  for (const bool direct : {true, false}) {
    site.nodes[first_leader]->refused_by_store = false;
    auto& worker = *site.workers.begin()->second;
    worker.refuse_direct = !direct;
    worker.hung = true;
    (void)site.cancel(long_job.id, follower);
    site.run_for(seconds(12));
    worker.hung = false;
    site.run_for(seconds(3));
    for (const auto& [key, running] : worker.tasks) EXPECT_EQ(running.state, TaskState::exited);
    site.run_for(seconds(40));
  }
  expect_no_violations(site);
}

TEST_F(RunningJobFaults, HeartbeatOlderThanDirectResponseIsAnsweredWithStops) {
  // Guards against a fault in which a heartbeat older than the last direct response renewed the
  // machine's lease by a response without the stop commands.
  const size_t leader = *site.leader();
  auto& worker = *site.workers.begin()->second;
  worker.drop_heartbeats = true;
  worker.refuse_direct = true;
  site.run_for(Millis(1600));
  const Heartbeat delayed = worker.heartbeat();
  const Heartbeat newer = worker.heartbeat();
  auto& context = site.daemon(leader).context();
  context.leader_state.with([&](cluster::LeaderState& leader_state) {
    (void)leader_state.cluster.apply_direct_status(newer, site.clock.now());
  });
  ASSERT_EQ(site.cancel(long_job.id, follower).status, 200);
  site.run_for(Millis(200));
  const http::Response response =
      site.request_and_wait(leader, "POST", "/agent/beat", wire::write_heartbeat(delayed));
  ASSERT_EQ(response.status, 200);
  EXPECT_NE(response.body.find("stop"), std::string::npos);
}

TEST(ConcurrentFaults, JobMissingFromListingIsEndedAtOnce) {
  // The watch is answered 410, and the read of the missing job's record gets no reply. Guards
  // against a fault in which the leader never learned of the cancellation.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, worker] : site.workers)
    worker->run_time = [](const TaskRef&) { return seconds(400); };
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

TEST(ConcurrentFaults, DelayedReadReplyDoesNotRestoreEndedJob) {
  // The outcome of a progress write is unknown, so the leader reads the job's record. The job is
  // cancelled while that reply is in flight.
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  while (site.workers.empty()) site.run_for(Millis(50));
  for (auto& [id, worker] : site.workers) {
    worker->run_time = [](const TaskRef& task) { return seconds(task.index == 0 ? 5 : 300); };
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
  size_t times_known = 0;
  for (int i = 0; i < 100; ++i) {
    site.run_for(Millis(20));
    site.daemon(0).context().leader_state.with([&](cluster::LeaderState& leader) {
      times_known += leader.cluster.job("run-000001") ? 1 : 0;
    });
  }
  EXPECT_EQ(times_known, 0u);
  site.run_for(seconds(10));
  EXPECT_EQ(site.copies({"run-000001", 1}), 0u);
}

TEST(ConcurrentFaults, RequestsDuringExitOfLastTaskGetOneFinalState) {
  // Cancellations, polls and repeated submissions on all nodes at once, from before the task's exit
  // until after it.
  Site site(3);
  site.run_for(seconds(2));
  for (int i = 0; i < 40; ++i) {
    const JobSpec spec = job("run-0000" + std::to_string(10 + i));
    ASSERT_TRUE(site.submit(spec, 1).status / 100 == 2);
    while (site.copies({spec.id, 0}) == 0) site.run_for(Millis(50));
    site.run_for(Millis(4500 + 40 * i));
    wire::Writer writer;
    wire::write_job(writer, spec);
    const std::string body = writer.take();
    const auto send_one = [](Site& target_site, size_t node, std::string method, std::string target,
                             std::string request_body) -> Task<void> {
      (void)co_await target_site.request(node, std::move(method), std::move(target),
                                         std::move(request_body));
    };
    for (size_t node = 0; node < 3; ++node) {
      site.loop.spawn(send_one(site, node, "POST", "/v1/jobs/" + spec.id + "/withdraw", ""));
      site.loop.spawn(send_one(site, node, "GET", "/v1/jobs/" + spec.id, ""));
      site.loop.spawn(send_one(site, node, "POST", "/v1/jobs", body));
    }
    site.run_for(Millis(300));
    const std::string answer = site.job_state(spec.id, 0);
    EXPECT_TRUE(answer == "done" || answer == "cancelled") << answer;
    EXPECT_EQ(site.job_state(spec.id, 1), answer);
    EXPECT_EQ(site.job_state(spec.id, 2), answer);
  }
  site.run_for(seconds(60));
  expect_no_violations(site);
}

TEST(ConcurrentFaults, TeamLimitCountsTasksOnUnreachableMachineAfterFailover) {
  Site site(3);
  site.cloud.capacity["box/a/ordinary"] = 4;
  site.run_for(seconds(2));
  JobSpec cancelled_job = job("run-000001", 2);
  cancelled_job.team = "tiny";  // limited to 4 cpus; a task takes 2
  ASSERT_EQ(site.submit(cancelled_job).status, 201);
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, worker] : site.workers)
    worker->run_time = [](const TaskRef&) { return seconds(300); };
  site.run_for(seconds(12));
  ASSERT_EQ(site.starts, 2u);
  for (auto& [id, worker] : site.workers) worker->isolated = true;
  const size_t first_leader = *site.leader();
  site.crash(first_leader);
  ASSERT_EQ(site.cancel(cancelled_job.id, (first_leader + 1) % 3).status, 200);
  JobSpec next_job = job("run-000002", 2);
  next_job.team = "tiny";
  ASSERT_EQ(site.submit(next_job, (first_leader + 1) % 3).status, 201);
  site.run_for(seconds(10));
  EXPECT_EQ(site.starts, 2u) << "the cancelled tasks may still run and count against the limit";
  site.run_for(seconds(110));
  EXPECT_EQ(site.job_state(next_job.id, (first_leader + 1) % 3), "done");
  expect_no_violations(site);
}

TEST(ConcurrentFaults, TasksEndingAcrossFailoversAreNotStartedAgain) {
  Site site(3);
  site.cloud.capacity["box/a/ordinary"] = 4;
  site.run_for(seconds(2));
  ASSERT_EQ(site.submit(job("run-000001", 3)).status, 201);
  while (site.workers.empty()) site.run_for(Millis(100));
  for (auto& [id, worker] : site.workers) {
    worker->run_time = [](const TaskRef& task) { return seconds(5 + 20 * task.index); };
  }
  // Ten changes of leader in two minutes, every third one during an outage.
  for (int change = 0; change < 10; ++change) {
    site.run_for(seconds(8));
    site.store.outage = change % 3 == 1;
    site.restart(site.leader().value_or(0));
    site.run_for(seconds(4));
    if (site.store.outage) site.store.end_outage();
  }
  site.run_for(seconds(20));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.starts, 3u) << "no task may be started again";
  expect_no_violations(site);
}

class RandomConcurrentFaults : public testing::TestWithParam<uint32_t> {};

TEST_P(RandomConcurrentFaults, NoRuleIsViolated) {
  RandomScenario(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomConcurrentFaults, testing::Range(1u, 61u));

}  // namespace
}  // namespace dunlinknot::test
