// The users' API and the life cycle of jobs, with faults of the services around the controllers.
#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

TEST(Api, AnswersFollowProtocol) {
  Site site;
  EXPECT_EQ(site.request_and_wait(0, "GET", "/ready").status, 503)
      << "the machine types have not been read yet";
  EXPECT_EQ(site.submit(job("run-000001")).status, 503);
  site.run_for(seconds(2));
  EXPECT_EQ(site.request_and_wait(0, "GET", "/ready").status, 200);
  EXPECT_EQ(site.submit(job("run-000001")).status, 201);
  EXPECT_EQ(site.submit(job("run-000001")).status, 200);
  EXPECT_EQ(site.job_state("run-000404"), "404");
  EXPECT_EQ(site.job_state("nonsense"), "404");
  EXPECT_EQ(site.request_and_wait(0, "POST", "/v1/jobs/run-000404/withdraw").status, 404);
  EXPECT_EQ(site.request_and_wait(0, "POST", "/v1/jobs", "junk").status, 400);
  EXPECT_EQ(site.request_and_wait(0, "DELETE", "/v1/jobs").status, 405);
  EXPECT_EQ(site.request_and_wait(0, "GET", "/nowhere").status, 404);
  JobSpec bad = job("run-000002");
  bad.team = "nobody";
  EXPECT_EQ(site.submit(bad).status, 422);
  bad = job("run-000002");
  bad.need.cpus = 9;
  EXPECT_EQ(site.submit(bad).status, 422);
  bad = job("run-000002");
  bad.zone = "nowhere";
  EXPECT_EQ(site.submit(bad).status, 422);
  bad.zone = "b";
  bad.types = {"crate"};
  EXPECT_EQ(site.submit(bad).status, 422) << "the machine type is not offered in that zone";
  bad = job("run-000002", 3);
  bad.team = "tiny";  // limited to 4 cpus
  EXPECT_EQ(site.submit(bad).status, 201) << "one task of an array must fit the limit";
  bad.id = "run-000003";
  bad.gang = true;
  EXPECT_EQ(site.submit(bad).status, 422) << "all tasks of a gang must fit the limit";
  // A known id is answered with the job's state, even if the body is invalid or differs.
  bad = job("run-000001");
  bad.team = "nobody";
  EXPECT_EQ(site.submit(bad).status, 200);
  bad.tasks = 0;
  EXPECT_EQ(site.submit(bad).status, 200);
}

// At most half of a spread job's tasks, rounded up, may run in one zone, so that a spread gang of
// more than one task needs two zones.
TEST(Api, SpreadGangWithoutSecondZoneIsRejected) {
  Site site;
  site.run_for(seconds(2));
  JobSpec spread = job("run-000001", 2);
  spread.spread = true;
  spread.zone = "a";
  EXPECT_EQ(site.submit(spread).status, 201) << "an array can run half of its tasks at a time";
  spread.gang = true;
  spread.id = "run-000002";
  EXPECT_EQ(site.submit(spread).status, 422) << "the job is restricted to one zone";
  spread.zone.reset();
  spread.types = {"crate"};
  EXPECT_EQ(site.submit(spread).status, 422) << "the machine type is offered in one zone only";
  spread.types.clear();
  spread.one_zone = true;
  EXPECT_EQ(site.submit(spread).status, 422) << "one_zone and spread exclude each other for a gang";
  spread.one_zone = false;
  EXPECT_EQ(site.submit(spread).status, 201);
  spread.id = "run-000003";
  spread.tasks = 1;
  spread.zone = "a";
  EXPECT_EQ(site.submit(spread).status, 201) << "half of one task, rounded up, is one task";
  // An accepted job stays known, even if the same request would be rejected for a new id.
  spread.tasks = 2;
  EXPECT_EQ(site.submit(spread).status, 200);
}

TEST(Api, StoreOutageKeepsFinalAnswersAndDefersOtherRequests) {
  Site site;
  site.run_for(seconds(2));
  site.submit(job("run-000001"));
  site.submit(job("run-000002"));
  site.request_and_wait(0, "POST", "/v1/jobs/run-000002/withdraw");
  site.run_for(seconds(30));
  ASSERT_EQ(site.job_state("run-000001"), "done");
  site.store.outage = true;
  const Instant before = site.clock.now();
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.job_state("run-000002"), "cancelled");
  EXPECT_EQ(site.submit(job("run-000001")).status, 200);
  const auto deferred = site.submit(job("run-000003"));
  EXPECT_EQ(deferred.status, 503);
  EXPECT_GT(deferred.retry_after_s, 0);
  EXPECT_EQ(site.job_state("run-000404"), "503")
      << "without the key-value store an unknown id cannot be answered with 404";
  EXPECT_LT(site.clock.now() - before, seconds(1)) << "requests must be answered at once";
}

TEST(Api, SubmissionWithoutReplyIsRetriedAndAcceptedOnce) {
  Site site;
  site.run_for(seconds(2));
  int commits = 0;
  site.store.call_fault = [&](const http::Call& call) {
    return is_transaction_on(call, "run-000001") && commits++ == 0 ? CallFault::lose_reply
                                                                   : CallFault::none;
  };
  const int status = site.submit(job("run-000001")).status;
  EXPECT_TRUE(status == 200 || status == 201);
  site.store.call_fault = nullptr;
  site.run_for(seconds(40));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_EQ(site.starts, 1u);
}

TEST(Api, LateSubmissionTransactionDoesNotRestoreFinishedJob) {
  Site site;
  site.run_for(seconds(2));
  int commits = 0;
  site.store.fault_delay = seconds(60);
  site.store.call_fault = [&](const http::Call& call) {
    return is_transaction_on(call, "run-000001") && commits++ == 0 ? CallFault::apply_late
                                                                   : CallFault::none;
  };
  site.submit(job("run-000001"));
  site.run_for(seconds(40));
  ASSERT_EQ(site.job_state("run-000001"), "done");
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  EXPECT_FALSE(site.store.data.contains("job/run-000001"));
  EXPECT_EQ(site.starts, 1u);
}

TEST(Api, SubmissionsAboveLimitAreRejectedAtOnceAndPollsContinue) {
  Site site;
  site.operator_settings.max_submissions = 2;
  site.restart(0);
  site.run_for(seconds(2));
  site.submit(job("run-000001"));
  std::vector<int> statuses;
  const auto submit_one = [](Site& target, std::string id,
                             std::vector<int>& results) -> Task<void> {
    wire::Writer writer;
    wire::write_job(writer, job(id));
    http::Request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = writer.take();
    const http::Response response = co_await target.handle(0, std::move(request));
    results.push_back(response.status);
  };
  for (int i = 10; i < 16; ++i)
    site.loop.spawn(submit_one(site, "run-0000" + std::to_string(i), statuses));
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 503), 4) << "rejections must not wait";
  EXPECT_EQ(site.job_state("run-000001"), "queued");
  site.run_for(seconds(1));
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 201), 2);
}

TEST(Jobs, JobOf100000TasksFitsStoreLimits) {
  Site site(1);
  site.cloud.capacity.clear();  // the job is only accepted; no machine is needed
  site.run_for(seconds(2));
  JobSpec big = job("run-000001", 100'000);
  ASSERT_EQ(site.submit(big).status, 201);
  site.run_for(seconds(1));
  auto& context = site.daemon(0).context();
  // All tasks but the last are marked as done, across all chunks of the progress.
  context.leader_state.with([&](cluster::LeaderState& leader) {
    for (uint32_t i = 0; i + 1 < 100'000; ++i) leader.cluster.job("run-000001")->mark_done(i);
  });
  context.store_progress.notify();
  site.run_for(seconds(3));
  EXPECT_TRUE(site.store.data.contains("done/run-000001/12"));
  EXPECT_LE(site.store.max_value, 8u * 1024);
  EXPECT_LE(site.store.max_writes, 16u);
  site.restart(0);
  site.run_for(seconds(6));
  site.daemon(0).context().leader_state.with([&](cluster::LeaderState& leader) {
    ASSERT_EQ(leader.cluster.job("run-000001")->done_count(), 99'999u);
    leader.cluster.job("run-000001")->mark_done(99'999);
  });
  site.daemon(0).context().store_progress.notify();
  site.run_for(seconds(12));
  EXPECT_EQ(site.job_state("run-000001"), "done");
  for (const auto& [key, value] : site.store.data) EXPECT_FALSE(key.starts_with("done/")) << key;
}

TEST(Jobs, CancellationOverridesAllocationInFlight) {
  Site site(1);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 2));
  // The cancellation is applied between the placement and the transaction that allocates the tasks.
  bool cancelled = false;
  site.store.call_fault = [&](const http::Call& call) {
    if (!cancelled && is_transaction_on(call, "host/")) {
      cancelled = true;
      site.store.erase("job/run-000001");
      site.store.put("final/run-000001", wire::write_final({true, 2}));
    }
    return CallFault::none;
  };
  site.run_for(seconds(30));
  EXPECT_TRUE(cancelled);
  EXPECT_EQ(site.starts, 0u);
  EXPECT_EQ(site.job_state("run-000001"), "cancelled");
}

TEST(Jobs, FailingJobBacksOff) {
  Site site(1);
  site.cloud.capacity["box/a/ordinary"] = 4;
  site.run_for(seconds(2));
  JobSpec spec = job("run-000001", 4);
  spec.need = {8, 0, 4};
  site.submit(spec);
  site.run_for(Millis(2500));
  for (int i = 0; i < 1000; ++i) {  // also on machines that are launched meanwhile
    for (auto& [id, worker] : site.workers) worker->fails = [](const TaskRef&) { return true; };
    site.run_for(Millis(100));
  }
  EXPECT_LT(site.starts, 60u);
  EXPECT_GT(site.starts, 3u);
  EXPECT_EQ(site.request_and_wait(0, "POST", "/v1/jobs/run-000001/withdraw").status, 200);
  EXPECT_EQ(site.job_state("run-000001"), "cancelled");
}

TEST(Api, IdleNodeStaysReady) {
  // Guards against a fault in which a follower without user requests for some seconds counted its
  // own lack of store requests as a loss of the key-value store. It reported not ready, and the
  // load balancer removed it repeatedly, so that its users found no node.
  Site site(3);
  site.run_for(seconds(3));
  const size_t follower = (*site.leader() + 1) % 3;
  site.run_for(seconds(4));
  const uint64_t before = site.store.requests;
  EXPECT_EQ(site.request_and_wait(follower, "GET", "/ready").status, 200);
  const uint64_t probes = site.store.requests - before;
  EXPECT_GE(probes, 1u) << "an idle node must probe the store";
  const uint64_t before_second = site.store.requests;
  EXPECT_EQ(site.request_and_wait(follower, "GET", "/ready").status, 200);
  EXPECT_LT(site.store.requests - before_second, probes + 1)
      << "a second readiness check must not cause more store requests";
}

TEST(Jobs, EveryNodeAnswersWithin15SecondsAfterCombinedFaults) {
  // A job whose polls are not answered for 75 s counts as forgotten.
  Site site(3);
  site.run_for(seconds(2));
  site.submit(job("run-000001", 4));
  site.run_for(seconds(6));
  for (int round = 0; round < 4; ++round) {
    const auto node = static_cast<size_t>(round % 3);
    site.store.outage = true;
    site.cloud.unavailable = true;
    site.nodes[node]->cut_from_store = true;
    site.run_for(seconds(round % 2 ? 3 : 25));
    site.restart((node + 1) % 3);
    site.store.end_outage();
    site.run_for(Millis(400));
    site.store.outage = true;
    site.run_for(seconds(5));
    site.store.end_outage();
    site.cloud.unavailable = false;
    site.nodes[node]->cut_from_store = false;
    site.run_for(seconds(15));
    for (size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(site.request_and_wait(i, "GET", "/ready").status, 200)
          << "node " << i << ", round " << round;
      EXPECT_EQ(site.request_and_wait(i, "GET", "/v1/jobs/run-000001").status, 200) << "node " << i;
    }
  }
  site.run_for(seconds(60));
  EXPECT_EQ(site.job_state("run-000001", 1), "done");
  expect_no_violations(site);
}

// Guards against lookups and submissions in a busy loop while the store fails at once: they used up
// the request budget of all users.
TEST(Api, RequestsDuringFailuresOfStoreAreRetriedWithPauses) {
  Site site(1);
  site.run_for(seconds(2));
  ASSERT_EQ(site.submit(job("run-000001")).status, 201);
  site.store.call_fault = [](const http::Call& call) {
    const bool of_user =
        call.target == "/keys/job/run-000001" || is_transaction_on(call, "final/run-000002");
    return of_user ? CallFault::fail : CallFault::none;
  };
  constexpr uint64_t kMaxRequests = 100;  // of the user and of the controller itself
  uint64_t requests = site.store.requests;
  EXPECT_EQ(site.job_state("run-000001"), "503");
  EXPECT_LT(site.store.requests - requests, kMaxRequests);
  requests = site.store.requests;
  EXPECT_EQ(site.submit(job("run-000002")).status, 503);
  EXPECT_LT(site.store.requests - requests, kMaxRequests);
  site.store.call_fault = nullptr;
  EXPECT_EQ(site.submit(job("run-000002")).status, 201);
}

// Guards against a busy loop of a controller that reads an empty catalog.
TEST(Api, EmptyCatalogIsReadAgainWithPauses) {
  Site site(1);
  const std::vector<MachineType> types = std::exchange(site.cloud.types, {});
  site.store.put(std::string(wire::kCatalogKey), wire::write_catalog({}));
  site.restart(0);
  const uint64_t requests = site.store.requests;
  constexpr auto kEmpty = seconds(10);
  site.run_for(kEmpty);
  constexpr uint64_t kMaxRequestsPerSecond = 20;
  EXPECT_LT(site.store.requests - requests, kMaxRequestsPerSecond * kEmpty.count());
  EXPECT_EQ(site.request_and_wait(0, "GET", "/ready").status, 503);
  site.store.put(std::string(wire::kCatalogKey), wire::write_catalog(types));
  site.run_for(seconds(2));
  EXPECT_EQ(site.request_and_wait(0, "GET", "/ready").status, 200);
}

}  // namespace
}  // namespace dunlinknot::test
