// Tests of the rule checker itself: each test breaks one rule and expects exactly that violation.
#include "rules.hpp"

#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

struct RuleCheckerTest : testing::Test {
  FakeClock clock;
  settings::Platform platform = Site::platform(0, 1);
  RuleChecker rules{clock, platform};
  RuleChecker::Machine machine_a{"vm-1", "box", "a", false}, machine_b{"vm-2", "box", "b", false};
  TaskRef task_0{"run-000001", 0}, task_1{"run-000001", 1};

  void advance(Nanos duration) { clock.set(clock.now() + duration); }
  void accept(const JobSpec& spec) {
    rules.submitted(spec);
    rules.submit_answered(spec.id, 201, "queued", clock.now());
    advance(seconds(1));
  }
  void expect_violation(const std::string& rule) {
    ASSERT_EQ(rules.violations().size(), 1u);
    EXPECT_TRUE(rules.violations()[0].starts_with(rule + ":")) << rules.violations()[0];
  }
};

TEST_F(RuleCheckerTest, CorrectScenarioHasNoViolation) {
  accept(job("run-000001", 2));
  rules.started(machine_a, task_0, 1);
  rules.started(machine_b, task_1, 2);
  rules.poll_answered("run-000001", 200, "running", clock.now());
  rules.ended("vm-1", task_0, 1, false);
  rules.started(machine_b, task_0, 3);
  rules.ended("vm-2", task_0, 3, true);
  rules.ended("vm-2", task_1, 2, true);
  advance(seconds(1));
  rules.poll_answered("run-000001", 200, "done", clock.now());
  rules.poll_answered("run-000404", 404, "", clock.now());
  rules.cancel_requested("run-000001");
  advance(seconds(1));
  rules.cancel_answered("run-000001", 200, "done", clock.now());
  rules.scan();
  EXPECT_TRUE(rules.violations().empty());
}

TEST_F(RuleCheckerTest, TaskStartedOnTwoMachinesIsReported) {
  accept(job("run-000001", 2));
  rules.started(machine_a, task_0, 1);
  rules.started(machine_b, task_0, 2);
  expect_violation("ran_twice");
}

TEST_F(RuleCheckerTest, TeamAboveItsLimitIsReported) {
  JobSpec spec = job("run-000001", 3);
  spec.team = "tiny";  // limited to 4 cpus; a task takes 2
  accept(spec);
  rules.started(machine_a, task_0, 1);
  rules.started(machine_a, task_1, 2);
  EXPECT_TRUE(rules.violations().empty());
  rules.started(machine_b, {"run-000001", 2}, 3);
  expect_violation("quota");
}

TEST_F(RuleCheckerTest, OneZoneJobInTwoZonesIsReported) {
  JobSpec spec = job("run-000001", 2);
  spec.one_zone = true;
  accept(spec);
  rules.started(machine_a, task_0, 1);
  rules.started(machine_b, task_1, 2);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, SpreadJobAboveHalfInOneZoneIsReported) {
  JobSpec spec = job("run-000001", 2);
  spec.spread = true;
  accept(spec);
  rules.started(machine_a, task_0, 1);
  rules.started(machine_a, task_1, 2);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, TaskInExcludedZoneIsReported) {
  JobSpec spec = job("run-000001", 2);
  spec.zone = "a";
  accept(spec);
  rules.started(machine_b, task_0, 1);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, NonSpotTaskOnSpotMachineIsReported) {
  accept(job("run-000001", 2));
  machine_a.spot = true;
  rules.started(machine_a, task_0, 1);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, CancelledTaskRunningBeyondPeriodIsReported) {
  accept(job("run-000001", 2));
  rules.started(machine_a, task_0, 1);
  rules.cancel_requested("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  advance(to_nanos(platform.cancel_timeout));
  rules.scan();
  EXPECT_TRUE(rules.violations().empty());
  advance(Millis(1));
  rules.scan();
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, StartBeyondCancellationPeriodIsReported) {
  accept(job("run-000001", 2));
  rules.cancel_requested("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  rules.started(machine_a, task_0, 1);
  EXPECT_EQ(rules.late_starts(), 1u);
  rules.ended("vm-1", task_0, 1, false);
  EXPECT_TRUE(rules.violations().empty());
  advance(to_nanos(platform.cancel_timeout) + Millis(1));
  rules.started(machine_a, task_1, 2);
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, AcceptedJobAnswered404IsReported) {
  accept(job("run-000001", 2));
  rules.poll_answered("run-000001", 404, "", clock.now());
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, AcceptedJobAnswered422IsReported) {
  accept(job("run-000001", 2));
  rules.submit_answered("run-000001", 422, "", clock.now());
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, StateOfUnsubmittedJobIsReported) {
  rules.poll_answered("run-000404", 200, "queued", clock.now());
  expect_violation("invented");
}

TEST_F(RuleCheckerTest, DoneBeforeAllTasksCompletedIsReported) {
  accept(job("run-000001", 2));
  rules.started(machine_a, task_0, 1);
  rules.ended("vm-1", task_0, 1, true);
  rules.poll_answered("run-000001", 200, "done", clock.now());
  expect_violation("not_done");
}

TEST_F(RuleCheckerTest, RunningAfterCancelledIsReported) {
  accept(job("run-000001", 2));
  rules.cancel_requested("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  const Instant before = clock.now();
  rules.poll_answered("run-000001", 200, "running", before);  // sent before the cancellation
  EXPECT_TRUE(rules.violations().empty());
  advance(Millis(1));
  rules.poll_answered("run-000001", 200, "running", clock.now());
  expect_violation("went_back");
}

TEST_F(RuleCheckerTest, CancelledWithoutRequestIsReported) {
  accept(job("run-000001", 2));
  rules.poll_answered("run-000001", 200, "cancelled", clock.now());
  expect_violation("went_back");
}

}  // namespace
}  // namespace dunlinknot::test
