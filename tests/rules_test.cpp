// The checker of the rules, shown to notice what it is there for: each trace breaks one rule.
#include "rules.hpp"

#include <gtest/gtest.h>

#include "site.hpp"

namespace dunlinknot::test {
namespace {

struct Trace : testing::Test {
  FakeClock clock;
  settings::Platform platform = Site::platform(0, 1);
  RuleChecker rules{clock, platform};
  RuleChecker::Machine a{"vm-1", "box", "a", false}, b{"vm-2", "box", "b", false};
  TaskRef t0{"run-000001", 0}, t1{"run-000001", 1};

  void pass(Nanos d) { clock.set(clock.now() + d); }
  void accept(const JobSpec& spec) {
    rules.submitted(spec);
    rules.submit_answered(spec.id, 201, "queued", clock.now());
    pass(seconds(1));
  }
  void expect_broken(const std::string& rule) {
    ASSERT_EQ(rules.violations().size(), 1u);
    EXPECT_TRUE(rules.violations()[0].starts_with(rule + ":")) << rules.violations()[0];
  }
};

TEST_F(Trace, AnOrdinaryLifeBreaksNothing) {
  accept(job("run-000001", 2));
  rules.started(a, t0, 1);
  rules.started(b, t1, 2);
  rules.poll_answered("run-000001", 200, "running", clock.now());
  rules.ended("vm-1", t0, 1, false);
  rules.started(b, t0, 3);
  rules.ended("vm-2", t0, 3, true);
  rules.ended("vm-2", t1, 2, true);
  pass(seconds(1));
  rules.poll_answered("run-000001", 200, "done", clock.now());
  rules.poll_answered("run-000404", 404, "", clock.now());
  rules.cancel_asked("run-000001");
  pass(seconds(1));
  rules.cancel_answered("run-000001", 200, "done", clock.now());
  rules.scan();
  EXPECT_TRUE(rules.violations().empty());
}

TEST_F(Trace, ATaskOnTwoMachines) {
  accept(job("run-000001", 2));
  rules.started(a, t0, 1);
  rules.started(b, t0, 2);
  expect_broken("ran_twice");
}

TEST_F(Trace, ATeamBeyondItsLimit) {
  JobSpec spec = job("run-000001", 3);
  spec.team = "tiny";  // 4 cpus, a task takes 2
  accept(spec);
  rules.started(a, t0, 1);
  rules.started(a, t1, 2);
  EXPECT_TRUE(rules.violations().empty());
  rules.started(b, {"run-000001", 2}, 3);
  expect_broken("quota");
}

TEST_F(Trace, ATaskApartFromTheOthersOfItsJob) {
  JobSpec spec = job("run-000001", 2);
  spec.one_zone = true;
  accept(spec);
  rules.started(a, t0, 1);
  rules.started(b, t1, 2);
  expect_broken("wrong_place");
}

TEST_F(Trace, TooManyTasksInOneZone) {
  JobSpec spec = job("run-000001", 2);
  spec.spread = true;
  accept(spec);
  rules.started(a, t0, 1);
  rules.started(a, t1, 2);
  expect_broken("wrong_place");
}

TEST_F(Trace, ATaskOnAMachineThatItsJobDoesNotAllow) {
  JobSpec spec = job("run-000001", 2);
  spec.zone = "a";
  accept(spec);
  rules.started(b, t0, 1);
  expect_broken("wrong_place");
}

TEST_F(Trace, ATaskOnASpotMachineThatMayNot) {
  accept(job("run-000001", 2));
  a.spot = true;
  rules.started(a, t0, 1);
  expect_broken("wrong_place");
}

TEST_F(Trace, ACancelledTaskThatStays) {
  accept(job("run-000001", 2));
  rules.started(a, t0, 1);
  rules.cancel_asked("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  pass(to_nanos(platform.cancel));
  rules.scan();
  EXPECT_TRUE(rules.violations().empty());
  pass(Millis(1));
  rules.scan();
  expect_broken("ran_cancelled");
}

TEST_F(Trace, AStartAfterACancellation) {
  accept(job("run-000001", 2));
  rules.cancel_asked("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  rules.started(a, t0, 1);
  EXPECT_EQ(rules.late_starts(), 1u);
  rules.ended("vm-1", t0, 1, false);
  EXPECT_TRUE(rules.violations().empty());
  pass(to_nanos(platform.cancel) + Millis(1));
  rules.started(a, t1, 2);
  expect_broken("ran_cancelled");
}

TEST_F(Trace, AnAcceptedJobThatIsNotKnown) {
  accept(job("run-000001", 2));
  rules.poll_answered("run-000001", 404, "", clock.now());
  expect_broken("forgotten");
}

TEST_F(Trace, AnAcceptedJobThatIsRefused) {
  accept(job("run-000001", 2));
  rules.submit_answered("run-000001", 422, "", clock.now());
  expect_broken("forgotten");
}

TEST_F(Trace, AnAnswerForAJobOfNobody) {
  rules.poll_answered("run-000404", 200, "queued", clock.now());
  expect_broken("invented");
}

TEST_F(Trace, DoneBeforeItsTasksAre) {
  accept(job("run-000001", 2));
  rules.started(a, t0, 1);
  rules.ended("vm-1", t0, 1, true);
  rules.poll_answered("run-000001", 200, "done", clock.now());
  expect_broken("not_done");
}

TEST_F(Trace, ACancelledJobThatRunsAgain) {
  accept(job("run-000001", 2));
  rules.cancel_asked("run-000001");
  rules.cancel_answered("run-000001", 200, "cancelled", clock.now());
  const Instant before = clock.now();
  rules.poll_answered("run-000001", 200, "running", before);  // asked before: it may still say so
  EXPECT_TRUE(rules.violations().empty());
  pass(Millis(1));
  rules.poll_answered("run-000001", 200, "running", clock.now());
  expect_broken("went_back");
}

TEST_F(Trace, ACancellationThatNobodyAskedFor) {
  accept(job("run-000001", 2));
  rules.poll_answered("run-000001", 200, "cancelled", clock.now());
  expect_broken("went_back");
}

}  // namespace
}  // namespace dunlinknot::test
