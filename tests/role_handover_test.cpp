// Handovers of the singleton roles while requests are in flight. Holders are suspended, crash, are
// disconnected or refused, and messages arrive late; with one fault at a time and with several at
// once. RoleHistory checks the whole run.
#include <gtest/gtest.h>

#include <random>

#include "role_history.hpp"

namespace dunlinknot::test {
namespace {

constexpr size_t kControllers = 3;

bool is_termination(const http::Call& call) {
  return call.target == "/rentals/delete";
}
bool is_launch(const http::Call& call) {
  return call.target == "/rentals" && call.method == "POST";
}

// Three controllers that have run for a few seconds, and the history of their requests.
struct RoleScenario {
  explicit RoleScenario(bool roles = true) {
    site.operator_settings.roles = roles;
    site.operator_settings.idle_return = Seconds(3);
    site.cloud.list_lag = seconds(6);
    for (size_t i = 0; i < kControllers; ++i) site.restart(i);
    site.run_for(seconds(5));
  }
  // Pauses the controller that is about to send the first call for which `matches` is true, and
  // returns it; null when there was none within 30 s.
  Site::Node* pause_before_sending(bool (*matches)(const http::Call&)) {
    Site::Node* paused_node = nullptr;
    site.on_send = [&, matches](Site::Node& node, const http::Call& call) {
      if (paused_node || !matches(call)) return;
      node.paused = true;
      paused_node = &node;
    };
    for (int i = 0; i < 3000 && !paused_node; ++i) site.run_for(Millis(10));
    site.on_send = nullptr;
    return paused_node;
  }
  void expect_no_history_violations() {
    for (const auto& violation : history.violations()) ADD_FAILURE() << violation;
    expect_no_violations(site);
  }

  Site site{kControllers};
  RoleHistory history{site};
};

size_t index_of(const Site& site, const Site::Node* node) {
  for (size_t i = 0; i < site.nodes.size(); ++i) {
    if (site.nodes[i].get() == node) return i;
  }
  return site.nodes.size();
}

// The holder has decided to terminate an idle machine and checked its lease; it is suspended before
// it sends the request. Then a job is submitted that can run on that machine, and the holder
// resumes.
void pause_holder_before_termination(RoleScenario& scenario) {
  scenario.site.submit(job("run-000001"), 0);
  Site::Node* paused_node = scenario.pause_before_sending(is_termination);
  ASSERT_NE(paused_node, nullptr);
  const size_t other_node = (index_of(scenario.site, paused_node) + 1) % kControllers;
  for (auto& [id, worker] : scenario.site.workers) {
    worker->run_time = [](const TaskRef&) { return seconds(30); };
  }
  scenario.site.submit(job("run-000002"), other_node);
  scenario.site.run_for(seconds(25));
  paused_node->paused = false;
  scenario.site.run_for(seconds(90));
  EXPECT_EQ(scenario.site.job_state("run-000002", other_node), "done");
}

TEST(RoleHandover, TerminationSentLateByPausedHolderHasNoEffect) {
  RoleScenario scenario;
  pause_holder_before_termination(scenario);
  scenario.expect_no_history_violations();
  EXPECT_GE(scenario.history.counts().fenced_without_effect, 1u)
      << "the late request must have been sent and have had no effect";
}

// The same without intents: verifies that the checks detect such a violation.
TEST(RoleHandover, ChecksDetectLateTerminationWithoutIntents) {
  RoleScenario scenario(false);
  pause_holder_before_termination(scenario);
  EXPECT_FALSE(scenario.history.violations().empty());
}

TEST(RoleHandover, LaunchSentLateByPausedHolderLaunchesNoSecondMachine) {
  RoleScenario scenario;
  scenario.site.cloud.capacity["box/a/ordinary"] = 5;
  scenario.site.submit(job("run-000001"), 0);
  Site::Node* paused_node = scenario.pause_before_sending(is_launch);
  ASSERT_NE(paused_node, nullptr);
  scenario.site.run_for(seconds(20));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u);
  paused_node->paused = false;
  scenario.site.run_for(seconds(90));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u)
      << "the successor must repeat the launch under the same name";
  EXPECT_EQ(scenario.history.running_machine_count(), 0u);
  scenario.expect_no_history_violations();
}

TEST(RoleHandover, LaunchExecutedAfterFailoverLaunchesNoSecondMachine) {
  RoleScenario scenario;
  scenario.site.cloud.capacity["box/a/ordinary"] = 5;
  scenario.site.cloud.fault_delay = seconds(120);
  bool first_launch = true;
  scenario.site.cloud.call_fault = [&](const http::Call& call) {
    return is_launch(call) && std::exchange(first_launch, false) ? CallFault::apply_late
                                                                 : CallFault::none;
  };
  scenario.site.submit(job("run-000001"), 0);
  scenario.site.run_for(seconds(2));
  ASSERT_FALSE(first_launch);
  scenario.site.restart(*scenario.site.leader());
  scenario.site.run_for(seconds(200));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u);
  EXPECT_EQ(scenario.history.running_machine_count(), 0u);
  scenario.expect_no_history_violations();
}

// The cloud has no capacity when the successor repeats the launch, and the former holder's request
// is executed much later. Until then the launch's name must stay open, and no launch may be sent
// under another name.
TEST(RoleHandover, LaunchIntentStaysOpenWithoutCapacityWhileDuplicateIsInFlight) {
  RoleScenario scenario;
  auto& capacity = scenario.site.cloud.capacity["box/a/ordinary"];
  capacity = 0;
  scenario.site.cloud.fault_delay = seconds(60);
  bool first_launch = true;
  scenario.site.cloud.call_fault = [&](const http::Call& call) {
    return is_launch(call) && std::exchange(first_launch, false) ? CallFault::apply_late
                                                                 : CallFault::none;
  };
  JobSpec spec = job("run-000001");
  spec.types = {"box"};
  spec.zone = "a";
  scenario.site.submit(spec, 0);
  scenario.site.run_for(seconds(2));
  scenario.site.restart(*scenario.site.leader());
  scenario.site.run_for(seconds(30));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 0u);
  capacity = 2;
  scenario.site.run_for(seconds(120));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u)
      << "the late duplicate must have the same name as the repeated launch";
  EXPECT_EQ(scenario.site.job_state("run-000001", 0), "done");
  EXPECT_EQ(scenario.history.running_machine_count(), 0u);
  scenario.expect_no_history_violations();
}

// The launch was answered, but its machine is still booting and not yet in the cloud's list when
// the leader restarts.
TEST(RoleHandover, MachineNotYetListedAfterRestartIsNotLaunchedAgain) {
  RoleScenario scenario;
  scenario.site.cloud.capacity["box/a/ordinary"] = 5;
  scenario.site.submit(job("run-000001"), 0);
  for (int i = 0; i < 300 && scenario.site.cloud.launches == 0; ++i)
    scenario.site.run_for(Millis(10));
  ASSERT_EQ(scenario.site.cloud.launches, 1u);
  scenario.site.run_for(Millis(200));  // the answer arrives
  scenario.site.restart(*scenario.site.leader());
  scenario.site.run_for(seconds(60));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u);
  EXPECT_EQ(scenario.site.job_state("run-000001", 0), "done");
  scenario.expect_no_history_violations();
}

// A new leader has not yet received a heartbeat from an idle machine that can run the waiting job.
TEST(RoleHandover, NewLeaderLaunchesNoMachineBeforeIdleMachinesAreKnown) {
  RoleScenario scenario;
  scenario.site.operator_settings.idle_return = Seconds(600);
  for (size_t i = 0; i < kControllers; ++i) scenario.site.restart(i);
  scenario.site.cloud.capacity["box/a/ordinary"] = 5;
  scenario.site.run_for(seconds(5));
  scenario.site.submit(job("run-000001"), 0);
  scenario.site.run_for(seconds(40));
  ASSERT_EQ(scenario.site.cloud.machines.size(), 1u);
  const size_t leader = *scenario.site.leader();
  scenario.site.crash(leader);
  scenario.site.submit(job("run-000002"), (leader + 1) % kControllers);
  scenario.site.run_for(seconds(20));
  EXPECT_EQ(scenario.site.cloud.machines.size(), 1u);
  EXPECT_EQ(scenario.site.job_state("run-000002", (leader + 1) % kControllers), "done");
  scenario.expect_no_history_violations();
}

enum class Fault {
  crash,             // the leader crashes and restarts after 0.2 s or up to 6 s
  crash_all,         // all controllers crash while requests are in flight
  pause,             // the leader is suspended, possibly for much longer than its lease
  refused_by_store,  // the key-value store refuses requests of the leader only
  cut_from_store,    // the leader is disconnected from the key-value store
  cut_from_cloud,    // the leader is disconnected from the cloud but not from the key-value store
  late_cloud_requests,   // launches and terminations are executed late
  lost_cloud_responses,  // launches and terminations are executed, but their responses are lost
  late_transactions,     // transactions are applied late
  crash_successor,       // the leader crashes, and its successor crashes during the failover
  cloud_outage,          // the cloud answers no requests
};
constexpr int kFaultKinds = 11;

// One random run: submits jobs and injects faults of the given kinds, waits until all faults have
// ended, and expects no violations. The seed determines the run.
class RandomRun {
 public:
  RandomRun(uint64_t seed, std::vector<Fault> kinds) : random_(seed), kinds_(std::move(kinds)) {
    scenario_.site.cloud.capacity["box/a/ordinary"] = 4;
    scenario_.site.cloud.capacity["crate/a/ordinary"] = 2;
    scenario_.site.cloud.fault_delay = seconds(15);
    scenario_.site.store.fault_delay = seconds(4);
    scenario_.site.on_worker = [this](ScriptedWorker& worker) {
      worker.run_time = [this](const TaskRef& task) { return seconds(2 + (task.index + 3) % 5); };
    };
  }

  void run() {
    constexpr int kSeconds = 100;
    for (int second = 0; second < kSeconds; ++second) {
      end_faults();
      if (draw(4) == 0) submit_next();
      if (draw(5) == 0) start_fault(kinds_[draw(kinds_.size())]);
      scenario_.site.run_for(seconds(1));
    }
    while (!fault_ends_.empty()) {
      end_faults();
      scenario_.site.run_for(seconds(1));
    }
    scenario_.site.cloud.call_fault = nullptr;
    scenario_.site.store.call_fault = nullptr;
    scenario_.site.run_for(seconds(240));
    expect_all_settled();
  }

 private:
  struct FaultEnd {
    Instant at;
    std::function<void()> action;
  };
  size_t draw(size_t bound) { return random_() % bound; }

  void submit_next() {
    const JobSpec spec = job("run-" + std::to_string(100'000 + accepted_.size()),
                             static_cast<uint32_t>(1 + draw(8)));
    for (size_t i = 0; i < kControllers; ++i) {
      if (scenario_.site.nodes[i]->crashed || scenario_.site.nodes[i]->paused) continue;
      const http::Response response = scenario_.site.submit(spec, i);
      if (response.status != 200 && response.status != 201) continue;
      accepted_.push_back(spec.id);
      return;
    }
  }

  void end_fault_later(size_t max_seconds, std::function<void()> end) {
    fault_ends_.push_back(
        {scenario_.site.clock.now() + seconds(1 + draw(max_seconds)), std::move(end)});
  }
  void end_faults() {
    std::vector<FaultEnd> due;
    std::erase_if(fault_ends_, [&](FaultEnd& end) {
      if (end.at > scenario_.site.clock.now()) return false;
      due.push_back(std::move(end));
      return true;
    });
    for (FaultEnd& end : due) end.action();
  }
  void crash(size_t node) {
    if (scenario_.site.nodes[node]->crashed) return;
    scenario_.site.nodes[node]->paused = false;
    scenario_.site.crash(node);
    const Nanos downtime = draw(2) == 0 ? Nanos(Millis(200)) : Nanos(seconds(1 + draw(6)));
    fault_ends_.push_back(
        {scenario_.site.clock.now() + downtime, [this, node] { scenario_.site.restart(node); }});
  }
  // Resets the flag of this process only. If the node was restarted meanwhile, the fault ended with
  // the old process.
  void set_flag_temporarily(bool Site::Node::*flag, size_t node, size_t max_seconds) {
    Site::Node* process = scenario_.site.nodes[node].get();
    process->*flag = true;
    end_fault_later(max_seconds, [process, flag] { process->*flag = false; });
  }
  void fault_some_cloud_calls(CallFault call_fault) {
    scenario_.site.cloud.call_fault = [this, call_fault](const http::Call& call) {
      const bool affected = is_launch(call) || is_termination(call);
      return affected && draw(3) == 0 ? call_fault : CallFault::none;
    };
    end_fault_later(15, [this] { scenario_.site.cloud.call_fault = nullptr; });
  }

  void start_fault(Fault fault) {
    const size_t leader = scenario_.site.leader().value_or(draw(kControllers));
    switch (fault) {
      case Fault::crash:
        return crash(leader);
      case Fault::crash_all:
        for (size_t i = 0; i < kControllers; ++i) crash(i);
        return;
      case Fault::pause:
        return set_flag_temporarily(&Site::Node::paused, leader, 12);
      case Fault::refused_by_store:
        return set_flag_temporarily(&Site::Node::refused_by_store, leader, 10);
      case Fault::cut_from_store:
        return set_flag_temporarily(&Site::Node::cut_from_store, leader, 10);
      case Fault::cut_from_cloud:
        return set_flag_temporarily(&Site::Node::cut_from_cloud, leader, 10);
      case Fault::late_cloud_requests:
        return fault_some_cloud_calls(CallFault::apply_late);
      case Fault::lost_cloud_responses:
        return fault_some_cloud_calls(CallFault::lose_reply);
      case Fault::late_transactions:
        scenario_.site.store.call_fault = [this](const http::Call& call) {
          return call.target == "/multi" && draw(8) == 0 ? CallFault::apply_late : CallFault::none;
        };
        return end_fault_later(10, [this] { scenario_.site.store.call_fault = nullptr; });
      case Fault::crash_successor:
        crash(leader);
        for (int i = 0; i < 1000 && !scenario_.site.leader(); ++i)
          scenario_.site.run_for(Millis(10));
        if (scenario_.site.leader()) crash(*scenario_.site.leader());
        return;
      case Fault::cloud_outage:
        scenario_.site.cloud.unavailable = true;
        return end_fault_later(8, [this] { scenario_.site.cloud.unavailable = false; });
    }
  }

  void expect_all_settled() {
    for (const auto& violation : scenario_.history.violations()) ADD_FAILURE() << violation;
    EXPECT_EQ(scenario_.site.duplicate_starts, 0u);
    for (const auto& violation : scenario_.site.rules.violations()) ADD_FAILURE() << violation;
    for (const std::string& id : accepted_)
      EXPECT_EQ(scenario_.site.job_state(id, 0), "done") << id;
    EXPECT_EQ(scenario_.history.running_machine_count(), 0u)
        << "machines left running at the end of the run";
    for (const auto& [key, entry] : scenario_.site.store.data) {
      EXPECT_FALSE(key.starts_with(roles::scale_in_key(""))) << key << " is still open";
    }
    EXPECT_GT(scenario_.history.counts().changed, 0u);
  }

  RoleScenario scenario_;
  std::mt19937_64 random_;
  std::vector<Fault> kinds_;
  std::vector<std::string> accepted_;
  std::vector<FaultEnd> fault_ends_;
};

class RoleFaults : public testing::TestWithParam<int> {};

TEST_P(RoleFaults, SingleFaultKindCausesNoViolation) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    RandomRun(seed, {static_cast<Fault>(GetParam())}).run();
  }
}
INSTANTIATE_TEST_SUITE_P(Kinds, RoleFaults, testing::Range(0, kFaultKinds));

class RoleConcurrentFaults : public testing::TestWithParam<int> {};

TEST_P(RoleConcurrentFaults, AllFaultKindsTogetherCauseNoViolation) {
  std::vector<Fault> all_kinds;
  all_kinds.reserve(kFaultKinds);
  for (int i = 0; i < kFaultKinds; ++i) all_kinds.push_back(static_cast<Fault>(i));
  RandomRun(static_cast<uint64_t>(100 + GetParam()), all_kinds).run();
}
INSTANTIATE_TEST_SUITE_P(Seeds, RoleConcurrentFaults, testing::Range(0, 36));

}  // namespace
}  // namespace dunlinknot::test
