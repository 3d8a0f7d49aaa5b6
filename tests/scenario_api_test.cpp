// The users' API and the lives of jobs, amid failures of the whole service.
#include <gtest/gtest.h>

#include "support.hpp"

namespace dunlinknot::test {
namespace {

TEST(Api, AnswersAsTheProtocolSays) {
  Site s;
  EXPECT_EQ(s.ask(0, "GET", "/ready").status, 503) << "the machine types are not known yet";
  EXPECT_EQ(s.submit(job("run-000001")).status, 503);
  s.run_for(seconds(2));
  EXPECT_EQ(s.ask(0, "GET", "/ready").status, 200);
  EXPECT_EQ(s.submit(job("run-000001")).status, 201);
  EXPECT_EQ(s.submit(job("run-000001")).status, 200);
  EXPECT_EQ(s.standing("run-000404"), "404");
  EXPECT_EQ(s.standing("nonsense"), "404");
  EXPECT_EQ(s.ask(0, "POST", "/v1/jobs/run-000404/withdraw").status, 404);
  EXPECT_EQ(s.ask(0, "POST", "/v1/jobs", "junk").status, 400);
  EXPECT_EQ(s.ask(0, "DELETE", "/v1/jobs").status, 405);
  EXPECT_EQ(s.ask(0, "GET", "/nowhere").status, 404);
  JobSpec bad = job("run-000002");
  bad.team = "nobody";
  EXPECT_EQ(s.submit(bad).status, 422);
  bad = job("run-000002");
  bad.need.cpus = 9;
  EXPECT_EQ(s.submit(bad).status, 422);
  bad = job("run-000002");
  bad.zone = "nowhere";
  EXPECT_EQ(s.submit(bad).status, 422);
  bad.zone = "b";
  bad.types = {"crate"};
  EXPECT_EQ(s.submit(bad).status, 422) << "machines of that type are not to be had in that zone";
  bad = job("run-000002", 3);
  bad.team = "tiny";  // 4 cpus at most
  EXPECT_EQ(s.submit(bad).status, 201) << "an array counts by its task";
  bad.id = "run-000003";
  bad.gang = true;
  EXPECT_EQ(s.submit(bad).status, 422) << "a gang as a whole";
  // A known id is answered with its state, whatever the body says now.
  bad = job("run-000001");
  bad.team = "nobody";
  EXPECT_EQ(s.submit(bad).status, 200);
  bad.tasks = 0;
  EXPECT_EQ(s.submit(bad).status, 200);
}

// Half of the tasks, rounded up, may be in one zone: a gang needs a second one for the rest.
TEST(Api, AGangThatNoZonesCanHoldIsRefused) {
  Site s;
  s.run_for(seconds(2));
  JobSpec spread = job("run-000001", 2);
  spread.spread = true;
  spread.zone = "a";
  EXPECT_EQ(s.submit(spread).status, 201) << "an array may have half of its tasks run at a time";
  spread.gang = true;
  spread.id = "run-000002";
  EXPECT_EQ(s.submit(spread).status, 422) << "bound to one zone";
  spread.zone.reset();
  spread.types = {"crate"};
  EXPECT_EQ(s.submit(spread).status, 422) << "of a type that is offered in one zone";
  spread.types.clear();
  spread.one_zone = true;
  EXPECT_EQ(s.submit(spread).status, 422) << "in one zone, and in two";
  spread.one_zone = false;
  EXPECT_EQ(s.submit(spread).status, 201);
  spread.id = "run-000003";
  spread.tasks = 1;
  spread.zone = "a";
  EXPECT_EQ(s.submit(spread).status, 201) << "half of one, rounded up, is one";
  // Accepted once, known for ever, whatever the answer to a new one would be.
  spread.tasks = 2;
  EXPECT_EQ(s.submit(spread).status, 200);
}

TEST(Api, WithTheStateServiceGoneFinalAnswersStandAndTheRestIsPutOffAtOnce) {
  Site s;
  s.run_for(seconds(2));
  s.submit(job("run-000001"));
  s.submit(job("run-000002"));
  s.ask(0, "POST", "/v1/jobs/run-000002/withdraw");
  s.run_for(seconds(30));
  ASSERT_EQ(s.standing("run-000001"), "done");
  s.store.outage = true;
  const Instant before = s.clock.now();
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_EQ(s.standing("run-000002"), "cancelled");
  EXPECT_EQ(s.submit(job("run-000001")).status, 200);
  const auto put_off = s.submit(job("run-000003"));
  EXPECT_EQ(put_off.status, 503);
  EXPECT_GT(put_off.retry_after_s, 0);
  EXPECT_EQ(s.standing("run-000404"), "503") << "only the key-value store can say 404";
  EXPECT_LT(s.clock.now() - before, seconds(1)) << "nobody is held back";
}

TEST(Api, ASubmissionWithoutAnAnswerIsSentAgainAndAcceptedOnce) {
  Site s;
  s.run_for(seconds(2));
  int lost = 0;
  s.store.fate = [&](const http::Call& c) {
    return is_commit_of(c, "run-000001") && lost++ == 0 ? Fate::lose_reply : Fate::normal;
  };
  const int status = s.submit(job("run-000001")).status;
  EXPECT_TRUE(status == 200 || status == 201);
  s.store.fate = nullptr;
  s.run_for(seconds(40));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_EQ(s.starts, 1u);
}

TEST(Api, ALateCopyOfASubmissionDoesNotBringAFinishedJobBack) {
  Site s;
  s.run_for(seconds(2));
  int n = 0;
  s.store.late_by = seconds(60);
  s.store.fate = [&](const http::Call& c) {
    return is_commit_of(c, "run-000001") && n++ == 0 ? Fate::apply_late : Fate::normal;
  };
  s.submit(job("run-000001"));
  s.run_for(seconds(40));
  ASSERT_EQ(s.standing("run-000001"), "done");
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001"), "done");
  EXPECT_FALSE(s.store.data.contains("job/run-000001"));
  EXPECT_EQ(s.starts, 1u);
}

TEST(Api, MoreThanCanBeDoneIsRefusedAtOnceAndPollsGoOn) {
  Site s;
  s.op.max_submissions = 2;
  s.restart(0);
  s.run_for(seconds(2));
  s.submit(job("run-000001"));
  std::vector<int> statuses;
  const auto one = [](Site& site, std::string id, std::vector<int>& out) -> Task<void> {
    wire::Writer w;
    wire::write_job(w, job(id));
    http::Request r;
    r.method = "POST";
    r.target = "/v1/jobs";
    r.body = w.take();
    const http::Response a = co_await site.handle(0, std::move(r));
    out.push_back(a.status);
  };
  for (int i = 10; i < 16; ++i) s.loop.spawn(one(s, "run-0000" + std::to_string(i), statuses));
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 503), 4) << "before any time has passed";
  EXPECT_EQ(s.standing("run-000001"), "queued");
  s.run_for(seconds(1));
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 201), 2);
}

TEST(Jobs, OneHundredThousandTasksFitTheLimits) {
  Site s(1);
  s.cloud.capacity.clear();  // only accepted here; the machines are not what is tested
  s.run_for(seconds(2));
  JobSpec big = job("run-000001", 100'000);
  ASSERT_EQ(s.submit(big).status, 201);
  s.run_for(seconds(1));
  auto& d = s.daemon(0).context();
  // All but one task are done, over all chunks.
  d.leader_state.with([&](cluster::LeaderState& p) {
    for (uint32_t i = 0; i + 1 < 100'000; ++i) p.cluster.job("run-000001")->mark_done(i);
  });
  d.store_done.notify();
  s.run_for(seconds(3));
  EXPECT_TRUE(s.store.data.contains("done/run-000001/12"));
  EXPECT_LE(s.store.max_value, 8u * 1024);
  EXPECT_LE(s.store.max_writes, 16u);
  s.restart(0);
  s.run_for(seconds(6));
  s.daemon(0).context().leader_state.with([&](cluster::LeaderState& p) {
    ASSERT_EQ(p.cluster.job("run-000001")->done_count(), 99'999u);
    p.cluster.job("run-000001")->mark_done(99'999);
  });
  s.daemon(0).context().store_done.notify();
  s.run_for(seconds(12));
  EXPECT_EQ(s.standing("run-000001"), "done");
  for (const auto& [key, e] : s.store.data) EXPECT_FALSE(key.starts_with("done/")) << key;
}

TEST(Jobs, ACancellationBeatsAnAllocationThatIsUnderWay) {
  Site s(1);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 2));
  // The cancellation lands between the decision and the transaction that allocates it.
  bool done = false;
  s.store.fate = [&](const http::Call& c) {
    if (!done && is_commit_of(c, "host/")) {
      done = true;
      s.store.erase("job/run-000001");
      s.store.put("final/run-000001", wire::write_final({true, 2}));
    }
    return Fate::normal;
  };
  s.run_for(seconds(30));
  EXPECT_TRUE(done);
  EXPECT_EQ(s.starts, 0u);
  EXPECT_EQ(s.standing("run-000001"), "cancelled");
}

TEST(Jobs, OneThatFailsEverywhereBacksOff) {
  Site s(1);
  s.cloud.capacity["box/a/ordinary"] = 4;
  s.run_for(seconds(2));
  JobSpec j = job("run-000001", 4);
  j.need = {8, 0, 4};
  s.submit(j);
  s.run_for(Millis(2500));
  for (int i = 0; i < 1000; ++i) {  // on machines that come later too
    for (auto& [id, w] : s.workers) w->fails = [](const TaskRef&) { return true; };
    s.run_for(Millis(100));
  }
  EXPECT_LT(s.starts, 60u);
  EXPECT_GT(s.starts, 3u);
  EXPECT_EQ(s.ask(0, "POST", "/v1/jobs/run-000001/withdraw").status, 200);
  EXPECT_EQ(s.standing("run-000001"), "cancelled");
}

TEST(Api, AnIdleNodeStaysReady) {
  // Found on a rough day: a follower that no user asked anything for some seconds took its own
  // silence for a loss of the key-value store, was taken off the load balancer again and again, and
  // its users found no node.
  Site s(3);
  s.run_for(seconds(3));
  const size_t follower = (*s.leader() + 1) % 3;
  s.run_for(seconds(4));
  const uint64_t before = s.store.requests;
  EXPECT_EQ(s.ask(follower, "GET", "/ready").status, 200);
  const uint64_t asked = s.store.requests - before;
  EXPECT_GE(asked, 1u) << "it finds out rather than guess";
  const uint64_t again = s.store.requests;
  EXPECT_EQ(s.ask(follower, "GET", "/ready").status, 200);
  EXPECT_LT(s.store.requests - again, asked + 1) << "and not at every probe";
}

TEST(Jobs, EveryNodeAnswersAgainSoonAfterAnyMixOfFaults) {
  // A job about which no question is answered for 75 s counts as forgotten.
  Site s(3);
  s.run_for(seconds(2));
  s.submit(job("run-000001", 4));
  s.run_for(seconds(6));
  for (int round = 0; round < 4; ++round) {
    const auto n = static_cast<size_t>(round % 3);
    s.store.outage = true;
    s.cloud.trouble = true;
    s.nodes[n]->cut_from_store = true;
    s.run_for(seconds(round % 2 ? 3 : 25));
    s.restart((n + 1) % 3);
    s.store.end_outage();
    s.run_for(Millis(400));
    s.store.outage = true;
    s.run_for(seconds(5));
    s.store.end_outage();
    s.cloud.trouble = false;
    s.nodes[n]->cut_from_store = false;
    s.run_for(seconds(15));
    for (size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(s.ask(i, "GET", "/ready").status, 200) << "node " << i << ", round " << round;
      EXPECT_EQ(s.ask(i, "GET", "/v1/jobs/run-000001").status, 200) << "node " << i;
    }
  }
  s.run_for(seconds(60));
  EXPECT_EQ(s.standing("run-000001", 1), "done");
  expect_rules(s);
}

}  // namespace
}  // namespace dunlinknot::test
