// Tests that late copies of commands, which were executed and answered before, start no task a
// second time: whether its attempt is still there, has ended, was forgotten, moved or cancelled.
#include "random_scenario.hpp"

namespace dunlinknot::test {
namespace {

// After a copy's commands were executed for the first time.
constexpr Millis kCopyDelays[] = {Millis(20),     Millis(400),    Millis(900),   Millis(1400),
                                  Millis(2500),   Millis(3900),   Millis(6000),  Millis(11'000),
                                  Millis(17'000), Millis(31'000), Millis(60'000)};

bool contains_run(const std::string& body) {
  const auto doc = wire::Document::parse(body);
  const wire::View orders = doc->root()["orders"];
  for (size_t i = 0; i < orders.size(); ++i) {
    if (orders.at(i)["verb"].text() == "run") return true;
  }
  return false;
}

// Executes copies of all commands that a worker receives, each at several later moments. The worker
// must outlive the loop's coroutines.
struct CommandCopies {
  EventLoop& loop;
  bool any_response = false;  // see ScriptedWorker::execute_copy
  size_t copies_with_run = 0;
  size_t copies_of_calls = 0;
  size_t calls_with_run = 0;

  void follow(ScriptedWorker& worker) {
    worker.on_commands = [this, &worker](const ScriptedWorker::ReceivedCommands& received) {
      if (received.direct && contains_run(received.body)) ++calls_with_run;
      for (const Millis delay : kCopyDelays) loop.spawn(execute_later(worker, received, delay));
    };
  }
  Task<void> execute_later(ScriptedWorker& worker, ScriptedWorker::ReceivedCommands received,
                           Millis delay) {
    co_await loop.sleep(delay);
    copies_of_calls += received.direct ? 1 : 0;
    copies_with_run += contains_run(received.body) ? 1 : 0;
    worker.execute_copy(received, any_response);
  }
};

// The random faults, cancellations and changes of leader of RandomScenario, with jobs whose tasks
// are preempted, fail or are over within a second, so that copies meet attempts in every state.
class LateCommandsScenario : public RandomScenario {
 public:
  LateCommandsScenario(uint32_t seed, bool any_response)
      : RandomScenario(seed), copies{site.loop, any_response} {}
  CommandCopies copies;
  size_t violations() { return site.rules.violations().size(); }

 protected:
  void prepare() override {
    site.cloud.capacity = {{"box/a/ordinary", 2}, {"box/b/ordinary", 2}, {"box/a/spot", 1}};
  }
  size_t job_count() const override { return 14; }
  Nanos duration() const override { return seconds(300); }
  JobSpec random_job(size_t index) override {
    JobSpec spec = RandomScenario::random_job(index);
    spec.priority = std::vector<Priority>{Priority::low, Priority::normal, Priority::high,
                                          Priority::production}[pick(4)];
    return spec;
  }
  void prepare_worker(ScriptedWorker& worker) override {
    copies.follow(worker);
    const auto job_run_time = worker.run_time;
    worker.run_time = [job_run_time](const TaskRef& task) {
      const bool is_short = std::hash<std::string>{}(task.text()) % 3 == 0;
      return is_short ? Nanos(Millis(300)) : job_run_time(task);
    };
    // A tenth of the starts fail.
    worker.fails = [this](const TaskRef&) { return chance(0.1); };
  }
  // Only the rules of the protocol are checked here, by RuleChecker.
  void check_jobs() override {}
};

class LateCommands : public testing::TestWithParam<uint32_t> {};

TEST_P(LateCommands, CopiesThatProtocolAllowsStartNothing) {
  constexpr uint32_t kScenarios = 8;
  size_t copies_with_run = 0, copies_of_calls = 0;
  for (uint32_t index = 0; index < kScenarios; ++index) {
    const uint32_t seed = GetParam() * kScenarios + index;
    SCOPED_TRACE("seed " + std::to_string(seed));
    LateCommandsScenario scenario(seed, false);
    scenario.run();
    EXPECT_EQ(scenario.copies.calls_with_run, 0u)
        << "direct calls may be executed late, so they must not start tasks";
    copies_with_run += scenario.copies.copies_with_run;
    copies_of_calls += scenario.copies.copies_of_calls;
  }
  EXPECT_GT(copies_with_run, kScenarios * 100);
  EXPECT_GT(copies_of_calls, kScenarios * 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateCommands, testing::Range(1u, 7u));

// One task fails on a machine, is forgotten there and runs on another; then the leader ends before
// the record of the first machine without the failed attempt is written.
struct MovedTask : testing::Test {
  MovedTask() {
    site.cloud.capacity = {{"box/a/ordinary", 2}};
    site.on_worker = [this](ScriptedWorker& worker) {
      copies.follow(worker);
      worker.run_time = [this, &worker](const TaskRef& task) {
        return Nanos(is_faulty(worker, task) ? seconds(1) : seconds(400));
      };
      worker.fails = [this, &worker](const TaskRef& task) { return is_faulty(worker, task); };
    };
    site.run_for(seconds(2));
    // Keeps both machines up.
    JobSpec filler = job("run-000001", 2);
    filler.need.cpus = 5;
    site.submit(filler);
    site.run_for(seconds(20));
    EXPECT_EQ(site.starts, 2u);
    faulty_machine = site.workers.begin()->first;
    site.store.call_fault = [this](const http::Call& call) {
      return has_failed() && is_transaction_on(call, "host/" + faulty_machine) ? CallFault::refuse
                                                                               : CallFault::none;
    };
    site.submit(moved);
    site.run_for(seconds(12));
  }
  bool is_faulty(const ScriptedWorker& worker, const TaskRef& task) const {
    return task.job == moved.id && worker.id == faulty_machine;
  }
  // Whether the first attempt has started on the faulty machine.
  bool has_failed() const {
    const auto worker = site.workers.find(faulty_machine);
    if (worker == site.workers.end()) return false;
    const auto& started = worker->second->started;
    return std::any_of(started.begin(), started.end(),
                       [&](const auto& start) { return start.first.job == moved.id; });
  }
  Site site{3};
  CommandCopies copies{site.loop};
  const JobSpec moved = job("run-000002");
  std::string faulty_machine;
};

TEST_F(MovedTask, NewLeaderDoesNotRepeatRunOfAttemptThatEnded) {
  ASSERT_TRUE(has_failed()) << "the task did not begin on the faulty machine";
  ASSERT_EQ(site.copies({moved.id, 0}), 1u) << "the task did not move to the other machine";
  const size_t starts = site.starts;
  site.crash(*site.leader());
  site.run_for(seconds(60));
  EXPECT_EQ(site.copies({moved.id, 0}), 1u);
  EXPECT_EQ(site.starts, starts);
  expect_no_violations(site);
}

TEST_F(MovedTask, CopiesOfRunAfterCancellationStartNothing) {
  ASSERT_TRUE(has_failed());
  ASSERT_EQ(site.cancel(moved.id, (*site.leader() + 1) % 3).status, 200);
  site.restart(*site.leader());
  site.run_for(seconds(60));
  EXPECT_EQ(site.copies({moved.id, 0}), 0u);
  expect_no_violations(site);
}

TEST(LateCommandsControl, RuleCheckerFindsCopiesThatProtocolExcludes) {
  // Shows that the scenarios would find a second start: a worker that executes copies of responses
  // after it has sent a later heartbeat runs tasks twice.
  size_t violations = 0;
  for (uint32_t seed = 1; seed <= 8; ++seed) {
    LateCommandsScenario scenario(seed, true);
    scenario.run_without_checks();
    violations += scenario.violations();
  }
  EXPECT_GT(violations, 0u);
}

}  // namespace
}  // namespace dunlinknot::test
